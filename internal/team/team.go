// SPDX-License-Identifier: Apache-2.0

// Package team describes the parties that share a cell: their names, tokens, weights and
// limits. It does no I/O.
//
// A token identifies a team. Only the SHA-256 digest of a token is kept, so that no token can
// get into a log, a row or a message between nodes.
//
// # Usage
//
//	teams, problems := team.Check(declared) // log each problem; it names no token
//	index := team.NewIndex(teams)
//	t, ok := index.ByToken(token)
package team

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strings"

	"switchbank.example/switchbank/internal/resource"
)

// Team is a party that shares the cell.
type Team struct {
	Name string `json:"name" yaml:"name"`
	// Weight is the team's share relative to those of other teams.
	Weight float64 `json:"weight" yaml:"weight"`
	// Quota is the capacity that the team may always use. Beyond it, the team may
	// borrow idle capacity.
	Quota resource.Amount `json:"quota" yaml:"quota"`
	// Limit is the most that the team may use; a resource of 0 has no limit.
	Limit resource.Amount `json:"limit" yaml:"limit"`
	// TokenSHA256 holds the hex digests of the team's tokens.
	TokenSHA256 []string `json:"token_sha256,omitempty" yaml:"token_sha256"`
}

// Digest returns the hex digest under which a token is kept.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// AnyDigestOf reports whether one of the hex digests is that of the token. It compares all of
// them in constant time, so that the time taken reveals nothing about them.
func AnyDigestOf(digests []string, token string) bool {
	got := []byte(Digest(token))
	ok := 0
	for _, want := range digests {
		ok |= subtle.ConstantTimeCompare(got, []byte(strings.ToLower(want)))
	}
	return ok == 1
}

// Index finds teams by their tokens and names.
type Index struct {
	byDigest map[[sha256.Size]byte]*Team
	byName   map[string]*Team
}

// NewIndex returns an index of teams that Check has accepted.
func NewIndex(teams []Team) *Index {
	x := &Index{byDigest: make(map[[sha256.Size]byte]*Team), byName: make(map[string]*Team, len(teams))}
	for i := range teams {
		t := &teams[i]
		x.byName[t.Name] = t
		for _, d := range t.TokenSHA256 {
			var key [sha256.Size]byte
			if n, err := hex.Decode(key[:], []byte(d)); err == nil && n == len(key) {
				x.byDigest[key] = t
			}
		}
	}
	return x
}

// ByToken returns the team that a token identifies. The look-up depends on the digest only, so
// that the time taken reveals nothing about the tokens in force.
func (x *Index) ByToken(token string) (*Team, bool) {
	if token == "" {
		return nil, false
	}
	t, ok := x.byDigest[sha256.Sum256([]byte(token))]
	return t, ok
}

// ByName returns the team with a name.
func (x *Index) ByName(name string) (*Team, bool) {
	t, ok := x.byName[name]
	return t, ok
}

// Problem is something wrong with the declaration of a team, and what is done about it.
type Problem struct {
	// Place names the team by its position, and by its name if it has one.
	Place  string
	Detail string
}

// Check returns the teams as they take effect, and what is wrong with their declarations:
//   - a team without a name, or with the name of an earlier one, is left out;
//   - a weight of 0 or below counts as 1;
//   - a limit below 0 counts as none;
//   - a token that two teams declare identifies neither of them.
func Check(declared []Team) (teams []Team, problems []Problem) {
	names, holders := make(map[string]bool), make(map[string]int)
	for i, t := range declared {
		place := fmt.Sprintf("teams[%d] %q", i, t.Name)
		report := func(detail string) { problems = append(problems, Problem{place, detail}) }
		if t.Name == "" || names[t.Name] {
			report("has no name of its own and is left out")
			continue
		}
		names[t.Name] = true
		if !(t.Weight > 0) {
			report("has a weight of 0 or below, which counts as 1")
			t.Weight = 1
		}
		if limit := t.Limit.Max(resource.Amount{}); limit != t.Limit {
			report("has a limit below 0, which counts as none")
			t.Limit = limit
		}
		for d := range uniqueDigests(t.TokenSHA256) {
			holders[d]++
		}
		teams = append(teams, t)
	}
	for i := range teams {
		t := &teams[i]
		var own []string
		for _, d := range t.TokenSHA256 {
			if holders[d] == 1 {
				own = append(own, d)
			}
		}
		if len(own) < len(t.TokenSHA256) {
			problems = append(problems, Problem{fmt.Sprintf("team %q", t.Name), "declares a token of another team, which identifies neither"})
		}
		t.TokenSHA256 = own
	}
	return teams, problems
}

// uniqueDigests returns a set of digests.
func uniqueDigests(digests []string) map[string]bool {
	set := make(map[string]bool, len(digests))
	for _, d := range digests {
		set[d] = true
	}
	return set
}
