// SPDX-License-Identifier: Apache-2.0

package bundle

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"io/fs"
	"os"
	"path"
	"slices"

	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/policy"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/team"
	"switchbank.example/switchbank/internal/yamlx"
)

const (
	maxPriority  = 1000
	maxQueue     = 100_000
	maxBodyBytes = 16 << 20
	maxTimeoutMS = 600_000
	maxGraceMS   = 3_600_000
)

// file is one YAML file of a bundle.
type file struct {
	name   string
	data   []byte
	bundle Bundle
}

// Load reads and checks the YAML files of a directory.
func Load(dir string) (*Bundle, error) { return LoadFS(os.DirFS(dir)) }

// LoadFS reads and checks the YAML files at the root of a file system.
func LoadFS(fsys fs.FS) (*Bundle, error) {
	names, err := fs.Glob(fsys, "*.yaml")
	if err != nil {
		return nil, &Error{"load", KindInvalid, err}
	}
	if len(names) == 0 {
		return nil, &Error{"load", KindInvalid, errors.New("there is no .yaml file")}
	}
	files := make([]file, len(names))
	for i, n := range names {
		data, err := fs.ReadFile(fsys, n)
		if err != nil {
			return nil, &Error{"load", KindInvalid, err}
		}
		files[i] = file{name: path.Base(n), data: data}
		if err := yamlx.Decode(n, data, &files[i].bundle); err != nil {
			return nil, &Error{"load", KindInvalid, err}
		}
	}
	b, err := mergeFiles(files)
	if err != nil {
		return nil, &Error{"load", KindInvalid, err}
	}
	b.setDefaults()
	return b, nil
}

// mergeFiles combines the files into one bundle. Each file is checked by itself, so that an
// error names the file and line.
func mergeFiles(files []file) (*Bundle, error) {
	var b Bundle
	declaredIn := make(map[string]string)
	for i := range files {
		f := &files[i]
		if err := f.check(declaredIn); err != nil {
			return nil, err
		}
		b.Teams = append(b.Teams, f.bundle.Teams...)
		b.Classes = append(b.Classes, f.bundle.Classes...)
		b.Services = append(b.Services, f.bundle.Services...)
		b.Review.Reviewers = append(b.Review.Reviewers, f.bundle.Review.Reviewers...)
		b.Review.Required = cmp.Or(b.Review.Required, f.bundle.Review.Required)
		b.Placement = cmp.Or(b.Placement, f.bundle.Placement)
		b.Limits = cmp.Or(b.Limits, f.bundle.Limits)
	}
	if b.Review.Required > len(b.Review.Reviewers) {
		return nil, errors.Errorf("review.required: %d signatures are asked of %d reviewers", b.Review.Required, len(b.Review.Reviewers))
	}
	slices.SortFunc(b.Teams, func(x, y team.Team) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(b.Classes, func(x, y Class) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(b.Services, func(x, y Service) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(b.Review.Reviewers, func(x, y Reviewer) int { return cmp.Compare(x.Name, y.Name) })
	return &b, nil
}

// errorAt returns an error that names the file and the line of a YAML path.
func (f *file) errorAt(path, detail string) error { return yamlx.ErrorAt(f.name, f.data, path, detail) }

// checkName checks that a name is well formed and unique among objects of its kind, and
// adds it to declaredIn, which maps kind and name to the declaring file.
func (f *file) checkName(declaredIn map[string]string, kind, name, path string) error {
	if !api.ValidName(name) {
		return f.errorAt(path, "want 1 to 128 of a-z, 0-9, '.' and '-', not at the ends")
	}
	if other, ok := declaredIn[kind+name]; ok {
		return f.errorAt(path, fmt.Sprintf("%s %q is declared in %s already", kind, name, other))
	}
	declaredIn[kind+name] = f.name
	return nil
}

// check checks all values of the file.
func (f *file) check(declaredIn map[string]string) error {
	for i, t := range f.bundle.Teams {
		if err := f.checkTeam(declaredIn, t, fmt.Sprintf("$.teams[%d]", i)); err != nil {
			return err
		}
	}
	for i, c := range f.bundle.Classes {
		if err := f.checkClass(declaredIn, c, fmt.Sprintf("$.classes[%d]", i)); err != nil {
			return err
		}
	}
	for i, s := range f.bundle.Services {
		if err := f.checkService(declaredIn, s, fmt.Sprintf("$.services[%d]", i)); err != nil {
			return err
		}
	}
	for i, r := range f.bundle.Review.Reviewers {
		p := fmt.Sprintf("$.review.reviewers[%d]", i)
		if err := f.checkName(declaredIn, "reviewer ", r.Name, p+".name"); err != nil {
			return err
		}
		if _, err := ParsePublicKey(r.Key); err != nil {
			return f.errorAt(p+".key", "want an ed25519 public key in base64")
		}
	}
	return f.checkNumbers()
}

func (f *file) checkTeam(declaredIn map[string]string, t team.Team, p string) error {
	if err := f.checkName(declaredIn, "team ", t.Name, p+".name"); err != nil {
		return err
	}
	if t.Weight < 0 {
		return f.errorAt(p+".weight", "want a number above 0")
	}
	if hasNegative(t.Quota) {
		return f.errorAt(p+".quota", "want amounts of 0 or more")
	}
	if hasNegative(t.Limit) {
		return f.errorAt(p+".limit", "want amounts of 0 or more")
	}
	for i, digest := range t.TokenSHA256 {
		if raw, err := hex.DecodeString(digest); err != nil || len(raw) != 32 {
			return f.errorAt(fmt.Sprintf("%s.token_sha256[%d]", p, i), "want 64 hex digits")
		}
	}
	return nil
}

func (f *file) checkClass(declaredIn map[string]string, c Class, p string) error {
	if err := f.checkName(declaredIn, "class ", c.Name, p+".name"); err != nil {
		return err
	}
	if c.Priority < 0 || c.Priority > maxPriority {
		return f.errorAt(p+".priority", "want 0 to 1000")
	}
	if c.GraceMS < 0 || c.GraceMS > maxGraceMS {
		return f.errorAt(p+".grace_ms", "want 0 to 3600000 milliseconds")
	}
	return nil
}

func (f *file) checkService(declaredIn map[string]string, s Service, p string) error {
	if err := f.checkName(declaredIn, "service ", s.Name, p+".name"); err != nil {
		return err
	}
	if s.QueuePerTeam < 0 || s.QueuePerTeam > maxQueue {
		return f.errorAt(p+".queue_per_team", "want 0 to 100000 requests")
	}
	if s.QueueTotal < 0 || s.QueueTotal > maxQueue {
		return f.errorAt(p+".queue_total", "want 0 to 100000 requests")
	}
	return nil
}

// checkNumbers checks the numbers outside lists.
func (f *file) checkNumbers() error {
	b := &f.bundle
	switch {
	case b.Placement.Waiting < 0 || b.Placement.Packing < 0:
		return f.errorAt("$.placement", "want weights of 0 or more")
	case b.Limits.BodyBytes < 0 || b.Limits.BodyBytes > maxBodyBytes:
		return f.errorAt("$.limits.body_bytes", "want 0 to 16777216 bytes")
	case b.Limits.TimeoutMS < 0 || b.Limits.TimeoutMS > maxTimeoutMS:
		return f.errorAt("$.limits.timeout_ms", "want 0 to 600000 milliseconds")
	case b.Limits.RetryShare < 0 || b.Limits.RetryShare > 1:
		return f.errorAt("$.limits.retry_share", "want 0 to 1")
	case b.Review.Required < 0:
		return f.errorAt("$.review.required", "want 0 or more")
	}
	return nil
}

// hasNegative reports whether an amount of any resource is below 0.
func hasNegative(a resource.Amount) bool {
	return a.CPUMilli < 0 || a.MemoryMB < 0 || a.Accelerators < 0
}

// Weights returns the placement weights. A pool reads them for each decision.
func (b *Bundle) Weights() policy.Weights { return b.Placement }
