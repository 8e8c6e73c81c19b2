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

// LoadFS reads and checks the YAML files of a file system.
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
	b, err := merge(files)
	if err != nil {
		return nil, &Error{"load", KindInvalid, err}
	}
	b.fill()
	return b, nil
}

// merge puts the files together, checking each value where it stands.
func merge(files []file) (*Bundle, error) {
	var b Bundle
	seen := make(map[string]string)
	for i := range files {
		f := &files[i]
		if err := f.check(seen); err != nil {
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
	slices.SortFunc(b.Teams, func(x, y Team) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(b.Classes, func(x, y Class) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(b.Services, func(x, y Service) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(b.Review.Reviewers, func(x, y Reviewer) int { return cmp.Compare(x.Name, y.Name) })
	return &b, nil
}

func (f *file) at(path, detail string) error { return yamlx.ErrorAt(f.name, f.data, path, detail) }

// named checks that a name is well formed and used once for its kind of thing.
func (f *file) named(seen map[string]string, kind, name, path string) error {
	if !api.ValidName(name) {
		return f.at(path, "want 1 to 128 of a-z, 0-9, '.' and '-', not at the ends")
	}
	if where, ok := seen[kind+name]; ok {
		return f.at(path, fmt.Sprintf("%s %q is declared in %s already", kind, name, where))
	}
	seen[kind+name] = f.name
	return nil
}

func (f *file) check(seen map[string]string) error {
	for i, t := range f.bundle.Teams {
		if err := f.checkTeam(seen, t, fmt.Sprintf("$.teams[%d]", i)); err != nil {
			return err
		}
	}
	for i, c := range f.bundle.Classes {
		if err := f.checkClass(seen, c, fmt.Sprintf("$.classes[%d]", i)); err != nil {
			return err
		}
	}
	for i, s := range f.bundle.Services {
		if err := f.checkService(seen, s, fmt.Sprintf("$.services[%d]", i)); err != nil {
			return err
		}
	}
	for i, r := range f.bundle.Review.Reviewers {
		p := fmt.Sprintf("$.review.reviewers[%d]", i)
		if err := f.named(seen, "reviewer ", r.Name, p+".name"); err != nil {
			return err
		}
		if _, err := ParsePublicKey(r.Key); err != nil {
			return f.at(p+".key", "want an ed25519 public key in base64")
		}
	}
	return f.checkNumbers()
}

func (f *file) checkTeam(seen map[string]string, t Team, p string) error {
	if err := f.named(seen, "team ", t.Name, p+".name"); err != nil {
		return err
	}
	if t.Weight < 0 {
		return f.at(p+".weight", "want a number above 0")
	}
	if negative(t.Quota) {
		return f.at(p+".quota", "want amounts of 0 or more")
	}
	if negative(t.Limit) {
		return f.at(p+".limit", "want amounts of 0 or more")
	}
	for i, digest := range t.TokenSHA256 {
		if raw, err := hex.DecodeString(digest); err != nil || len(raw) != 32 {
			return f.at(fmt.Sprintf("%s.token_sha256[%d]", p, i), "want 64 hex digits")
		}
	}
	return nil
}

func (f *file) checkClass(seen map[string]string, c Class, p string) error {
	if err := f.named(seen, "class ", c.Name, p+".name"); err != nil {
		return err
	}
	if c.Priority < 0 || c.Priority > maxPriority {
		return f.at(p+".priority", "want 0 to 1000")
	}
	if c.GraceMS < 0 || c.GraceMS > maxGraceMS {
		return f.at(p+".grace_ms", "want 0 to 3600000 milliseconds")
	}
	return nil
}

func (f *file) checkService(seen map[string]string, s Service, p string) error {
	if err := f.named(seen, "service ", s.Name, p+".name"); err != nil {
		return err
	}
	if s.QueuePerTeam < 0 || s.QueuePerTeam > maxQueue {
		return f.at(p+".queue_per_team", "want 0 to 100000 requests")
	}
	if s.QueueTotal < 0 || s.QueueTotal > maxQueue {
		return f.at(p+".queue_total", "want 0 to 100000 requests")
	}
	return nil
}

func (f *file) checkNumbers() error {
	b := &f.bundle
	switch {
	case b.Placement.Waiting < 0 || b.Placement.Packing < 0:
		return f.at("$.placement", "want weights of 0 or more")
	case b.Limits.BodyBytes < 0 || b.Limits.BodyBytes > maxBodyBytes:
		return f.at("$.limits.body_bytes", "want 0 to 16777216 bytes")
	case b.Limits.TimeoutMS < 0 || b.Limits.TimeoutMS > maxTimeoutMS:
		return f.at("$.limits.timeout_ms", "want 0 to 600000 milliseconds")
	case b.Limits.RetryShare < 0 || b.Limits.RetryShare > 1:
		return f.at("$.limits.retry_share", "want 0 to 1")
	case b.Review.Required < 0:
		return f.at("$.review.required", "want 0 or more")
	}
	return nil
}

func negative(a resource.Amount) bool {
	return a.CPUMilli < 0 || a.MemoryMB < 0 || a.Accelerators < 0
}

// Weights returns the placement weights; it is what a pool asks for at each decision.
func (b *Bundle) Weights() policy.Weights { return b.Placement }
