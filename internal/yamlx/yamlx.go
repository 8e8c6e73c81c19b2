// SPDX-License-Identifier: Apache-2.0

// Package yamlx decodes YAML strictly: unknown and duplicate keys are errors. Errors name
// the file, line and key.
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
	// Key is the path or name of the invalid value, such as $.a.b[0], if it is known.
	Key    string
	Detail string
}

// Error returns file:line: key: detail.
func (e *Error) Error() string {
	position := e.File
	if e.Line > 0 {
		position = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key != "" {
		return fmt.Sprintf("%s: %s: %s", position, e.Key, e.Detail)
	}
	return fmt.Sprintf("%s: %s", position, e.Detail)
}

// positionedError is implemented by the errors of the YAML library that have a position.
type positionedError interface {
	GetToken() *token.Token
	GetMessage() string
}

// Decode decodes data into v. Unknown and duplicate keys are errors, an empty file is not.
// file is named in errors.
func Decode(file string, data []byte, v any) error {
	err := decode(data, v)
	if err == nil || errors.Is(err, io.EOF) {
		return nil
	}
	e := &Error{File: file, Detail: err.Error()}
	var p positionedError
	if errors.As(err, &p) {
		e.Detail = p.GetMessage()
		if tk := p.GetToken(); tk != nil {
			e.Line, e.Key = tk.Position.Line, tk.Value
		}
		return e
	}
	e.locateQuotedValue(data)
	return e
}

// decode decodes data into v. The YAML library panics on some malformed documents, such as
// a tag where a list is expected; decode returns those panics as errors.
func decode(data []byte, v any) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Errorf("malformed document: %v", p)
		}
	}()
	return yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(v)
}

// locateQuotedValue looks for the value that an error without a position quotes, such as a
// duration that can't be read.
func (e *Error) locateQuotedValue(data []byte) {
	f, err := parser.ParseBytes(data, 0)
	if err != nil {
		return
	}
	for _, doc := range f.Docs {
		if doc.Body != nil {
			ast.Walk(valueFinder{e}, doc.Body)
		}
	}
}

type valueFinder struct{ e *Error }

// Visit records the position of the first value that the error message quotes.
func (v valueFinder) Visit(n ast.Node) ast.Visitor {
	pair, ok := n.(*ast.MappingValueNode)
	if ok && v.e.Line == 0 && strings.Contains(v.e.Detail, strconv.Quote(pair.Value.String())) {
		v.e.Line, v.e.Key = pair.GetToken().Position.Line, strings.TrimPrefix(pair.Value.GetPath(), "$.")
	}
	return v
}

// ErrorAt returns an error for the value at path, such as $.a.b[0], with its line.
func ErrorAt(file string, data []byte, path, detail string) error {
	return &Error{File: file, Line: lineOf(data, path), Key: path, Detail: detail}
}

// lineOf returns the line of the value at path, or of its nearest parent that exists; 0 if
// there is none.
func lineOf(data []byte, path string) int {
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
		path = parentPath(path)
	}
	return 0
}

// parentPath removes the last element of a path.
func parentPath(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}
