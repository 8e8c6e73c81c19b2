// SPDX-License-Identifier: Apache-2.0

package bundle_test

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"io/fs"
	"strings"
	"testing"
	"testing/fstest"

	"switchbank.example/switchbank/examples"
	"switchbank.example/switchbank/internal/bundle"
	"switchbank.example/switchbank/internal/team"
	standin "switchbank.example/switchbank/standin/platform"
)

func TestLoadExample(t *testing.T) {
	sub, err := fs.Sub(examples.Bundle, "bundle")
	if err != nil {
		t.Fatal(err)
	}
	b, err := bundle.LoadFS(sub)
	if err != nil {
		t.Fatal(err)
	}
	if len(b.Teams) != 3 || len(b.Classes) != 3 || b.Placement.Packing != 0.6 {
		t.Errorf("have %+v", b)
	}
}

func TestLoadErrorNamesFileLineAndKey(t *testing.T) {
	tests := []struct {
		name, yaml string
		want       []string
	}{
		{"unknown key", "teams:\n  - name: a\n    wieght: 2\n", []string{"x.yaml:3", "wieght"}},
		{"doubled key", "limits: {timeout_ms: 5}\nlimits: {timeout_ms: 6}\n", []string{"x.yaml:2", "limits"}},
		{"wrong type", "limits:\n  timeout_ms: soon\n", []string{"x.yaml:2"}},
		{"doubled name", "teams:\n  - name: a\n  - name: a\n", []string{"x.yaml:3", "$.teams[1].name", "already"}},
		{"bad name", "teams:\n  - name: A B\n", []string{"x.yaml:2", "$.teams[0].name"}},
		{"negative", "teams:\n  - name: a\n    quota: {cpu_milli: -1}\n", []string{"x.yaml:3", "$.teams[0].quota"}},
		{"bad token", "teams:\n  - name: a\n    token_sha256: [xyz]\n", []string{"x.yaml:3", "token_sha256[0]"}},
		{"priority", "classes:\n  - {name: a, priority: 5000}\n", []string{"x.yaml:2", "priority"}},
		{"reviewer's key", "review:\n  reviewers:\n    - {name: a, key: abc}\n", []string{"x.yaml:3", "key"}},
		{"too many signatures", "review: {required: 2}\n", []string{"review.required"}},
		{"not YAML", "teams: [\n", []string{"x.yaml"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := bundle.LoadFS(fstest.MapFS{"x.yaml": {Data: []byte(tt.yaml)}})
			if err == nil {
				t.Fatal("the invalid bundle was accepted")
			}
			for _, w := range tt.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("error %q does not contain %q", err, w)
				}
			}
		})
	}
}

type reviewer struct {
	name string
	key  ed25519.PrivateKey
}

func newReviewer(name string, seed byte) (reviewer, bundle.Reviewer) {
	key := ed25519.NewKeyFromSeed([]byte(strings.Repeat(string(rune(seed)), ed25519.SeedSize)))
	pub := key.Public().(ed25519.PublicKey)
	return reviewer{name, key}, bundle.Reviewer{Name: name, Key: base64.StdEncoding.EncodeToString(pub)}
}

func (r reviewer) sign(b *bundle.Bundle) bundle.Signature {
	return bundle.Sign(b.Digest(), r.name, r.key)
}

func kindOf(err error) bundle.Kind {
	var be *bundle.Error
	if errors.As(err, &be) {
		return be.Kind
	}
	return ""
}

// rollOut proposes and accepts b as the successor of version base.
func rollOut(t *testing.T, s *bundle.Store, b *bundle.Bundle, base int64, change string, sigs ...bundle.Signature) error {
	t.Helper()
	p := bundle.Proposal{Base: base, Change: change, Operator: change, Signatures: sigs}
	if _, err := s.Propose(t.Context(), b, p); err != nil {
		return err
	}
	_, err := s.Accept(t.Context(), change)
	return err
}

// TestRequiredSignatures checks that the review of the bundle in force decides how many
// signatures the next bundle needs, so that a bundle can't relax the rules for itself.
func TestRequiredSignatures(t *testing.T) {
	r1, pub1 := newReviewer("r1", 'a')
	r2, pub2 := newReviewer("r2", 'b')
	mallory, _ := newReviewer("r2", 'c')
	p := standin.New()
	s := bundle.NewStore(p, p, bundle.Review{Required: 1, Reviewers: []bundle.Reviewer{pub1}})
	strict := bundle.Default()
	strict.Review = bundle.Review{Required: 2, Reviewers: []bundle.Reviewer{pub1, pub2}}
	if err := rollOut(t, s, strict, 0, "unsigned"); kindOf(err) != bundle.KindSignature {
		t.Errorf("without a signature: %v", err)
	}
	if err := rollOut(t, s, strict, 0, "first", r1.sign(strict)); err != nil {
		t.Fatal(err)
	}
	loose := bundle.Default()
	loose.Review = bundle.Review{Required: 0}
	for name, sigs := range map[string][]bundle.Signature{
		"one":           {r1.sign(loose)},
		"one twice":     {r1.sign(loose), r1.sign(loose)},
		"a false key":   {r1.sign(loose), mallory.sign(loose)},
		"of another":    {r1.sign(loose), r2.sign(strict)},
		"none":          nil,
		"unknown names": {{Reviewer: "nobody", Value: "AAAA"}, {Reviewer: "", Value: ""}},
	} {
		if err := rollOut(t, s, loose, 1, "loose-"+strings.ReplaceAll(name, " ", "-"), sigs...); kindOf(err) != bundle.KindSignature {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := rollOut(t, s, loose, 1, "second", r1.sign(loose), r2.sign(loose)); err != nil {
		t.Error(err)
	}
}

// TestConcurrentProposals has two operators propose on the same base: one wins, and the
// error that the other gets names the winner.
func TestConcurrentProposals(t *testing.T) {
	p := standin.New()
	s := bundle.NewStore(p, p, bundle.Review{})
	a, b := bundle.Default(), bundle.Default()
	a.Limits.TimeoutMS, b.Limits.TimeoutMS = 1000, 2000
	if _, err := s.Propose(t.Context(), a, bundle.Proposal{Change: "anna-1", Operator: "anna"}); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Propose(t.Context(), b, bundle.Proposal{Change: "bela-1", Operator: "bela"}); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Accept(t.Context(), "anna-1"); kindOf(err) != bundle.KindConflict {
		t.Errorf("accept of a replaced proposal: %v", err)
	}
	head, err := s.Accept(t.Context(), "bela-1")
	if err != nil || head.Version != 1 {
		t.Fatal(head, err)
	}
	_, err = s.Propose(t.Context(), a, bundle.Proposal{Change: "anna-2", Operator: "anna"})
	if kindOf(err) != bundle.KindConflict || !strings.Contains(err.Error(), "bela") {
		t.Errorf("the error does not name the winner: %v", err)
	}
}

// TestAcceptReplyLost checks that an accept whose reply was lost can be repeated.
func TestAcceptReplyLost(t *testing.T) {
	p := standin.New()
	s := bundle.NewStore(p, p, bundle.Review{})
	if _, err := s.Propose(t.Context(), bundle.Default(), bundle.Proposal{Change: "c", Operator: "o"}); err != nil {
		t.Fatal(err)
	}
	p.SetFaults(standin.Faults{LoseReplies: 1})
	if _, err := s.Accept(t.Context(), "c"); kindOf(err) != bundle.KindStore {
		t.Errorf("accept with a lost reply: %v", err)
	}
	head, err := s.Accept(t.Context(), "c")
	if err != nil || head.Version != 1 {
		t.Errorf("repeated accept: %+v, %v", head, err)
	}
}

// TestHistoryIsBounded accepts more bundles than the history keeps.
func TestHistoryIsBounded(t *testing.T) {
	p := standin.New()
	s := bundle.NewStore(p, p, bundle.Review{})
	const more = 5
	for v := range int64(bundle.MaxHistory + more) {
		if err := rollOut(t, s, bundle.Default(), v, fmt.Sprintf("change-%d", v)); err != nil {
			t.Fatal(err)
		}
	}
	heads, err := s.History(t.Context())
	if err != nil || len(heads) != bundle.MaxHistory || heads[0].Version != more+1 {
		t.Errorf("%d heads, the first %+v, %v", len(heads), heads[0], err)
	}
}

func TestDiff(t *testing.T) {
	a, b := bundle.Default(), bundle.Default()
	a.Teams = []team.Team{{Name: "x", Weight: 1}, {Name: "y", Weight: 1}}
	b.Teams = []team.Team{{Name: "x", Weight: 2}, {Name: "z", Weight: 1}}
	got := make(map[string]bool)
	for _, c := range bundle.Diff(a, b) {
		got[c.Op+strings.Fields(c.Description)[1]] = true
	}
	for _, want := range []string{"~x:", "+z:", "-y"} {
		if !got[want] {
			t.Errorf("change %s is missing in %v", want, got)
		}
	}
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte("teams:\n  - name: a\n    weight: 2\n"))
	f.Add([]byte("review: {required: 1, reviewers: [{name: r, key: eA==}]}"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = bundle.LoadFS(fstest.MapFS{"x.yaml": {Data: data}})
	})
}
