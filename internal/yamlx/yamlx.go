// SPDX-License-Identifier: Apache-2.0

// Package yamlx reads YAML strictly and says where it is wrong.
//
// # Usage
//
//	err := yamlx.Decode("node.yaml", data, &cfg) // node.yaml:3: unknown field "prot"
//	err = yamlx.ErrorAt("node.yaml", data, "$.lease.ttl", "want a duration")
package yamlx

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/pkg/errors"
)

// Error is the error type of this package; its operation is the reading of File.
type Error struct {
	File string
	Line int
	// Key is the path of the wrong value, as $.a.b[0], where it is known.
	Key    string
	Detail string
}

// Error returns file:line: key: detail.
func (e *Error) Error() string {
	where := e.File
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key != "" {
		return fmt.Sprintf("%s: %s: %s", where, e.Key, e.Detail)
	}
	return fmt.Sprintf("%s: %s", where, e.Detail)
}

// positioned is what the errors of the YAML library have in common.
type positioned interface {
	GetToken() *token.Token
	GetMessage() string
}

// Decode reads v from data; unknown and doubled keys are errors, an empty file is not.
func Decode(file string, data []byte, v any) error {
	err := decode(data, v)
	if err == nil || errors.Is(err, io.EOF) {
		return nil
	}
	e := &Error{File: file, Detail: err.Error()}
	var p positioned
	if errors.As(err, &p) {
		e.Detail = p.GetMessage()
		if tk := p.GetToken(); tk != nil {
			e.Line, e.Key = tk.Position.Line, tk.Value
		}
		return e
	}
	e.find(data)
	return e
}

// decode reads v from data. The YAML library panics on some malformed documents,
// such as a tag where a list is expected; that is an error of the document too.
func decode(data []byte, v any) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Errorf("malformed document: %v", p)
		}
	}()
	return yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(v)
}

// find looks for the value that an error without a position quotes, such as a
// duration that can't be read.
func (e *Error) find(data []byte) {
	f, err := parser.ParseBytes(data, 0)
	if err != nil {
		return
	}
	for _, doc := range f.Docs {
		if doc.Body != nil {
			ast.Walk(finder{e}, doc.Body)
		}
	}
}

type finder struct{ e *Error }

// Visit notes the first value that the error quotes.
func (v finder) Visit(n ast.Node) ast.Visitor {
	pair, ok := n.(*ast.MappingValueNode)
	if ok && v.e.Line == 0 && strings.Contains(v.e.Detail, strconv.Quote(pair.Value.String())) {
		v.e.Line, v.e.Key = pair.GetToken().Position.Line, strings.TrimPrefix(pair.Value.GetPath(), "$.")
	}
	return v
}

// ErrorAt returns an error for the value at path, as $.a.b[0], with its line.
func ErrorAt(file string, data []byte, path, detail string) error {
	return &Error{File: file, Line: line(data, path), Key: path, Detail: detail}
}

// line returns the line of the value at path, or of the nearest parent that is there.
func line(data []byte, path string) int {
	f, err := parser.ParseBytes(data, 0)
	if err != nil {
		return 0
	}
	for path != "$" && path != "" {
		p, err := yaml.PathString(path)
		if err != nil {
			return 0
		}
		if node, err := p.FilterFile(f); err == nil && node != nil {
			return node.GetToken().Position.Line
		}
		path = parent(path)
	}
	return 0
}

func parent(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}
