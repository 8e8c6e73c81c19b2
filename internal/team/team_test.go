// SPDX-License-Identifier: Apache-2.0

package team_test

import (
	"fmt"
	"testing"

	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/team"
)

// TestCheck gives invalid declarations, and how they take effect.
func TestCheck(t *testing.T) {
	a, b, shared := team.Digest("a"), team.Digest("b"), team.Digest("shared")
	teams, problems := team.Check([]team.Team{
		{Name: "red", Weight: 2, TokenSHA256: []string{a, shared}},
		{Name: "", Weight: 1, TokenSHA256: []string{team.Digest("nobody")}},
		{Name: "blue", Weight: -1, Limit: resource.Amount{CPUMilli: -1, MemoryMB: 5}, TokenSHA256: []string{b, shared}},
		{Name: "red", Weight: 1},
	})
	if len(teams) != 2 || len(problems) != 6 {
		t.Fatalf("got %d teams and the problems %v", len(teams), problems)
	}
	if teams[1].Weight != 1 || teams[1].Limit != (resource.Amount{MemoryMB: 5}) {
		t.Errorf("blue has the weight %v and the limit %v", teams[1].Weight, teams[1].Limit)
	}
	index := team.NewIndex(teams)
	for token, want := range map[string]string{"a": "red", "b": "blue", "shared": "", "nobody": "", "": "", a: ""} {
		got := ""
		if found, ok := index.ByToken(token); ok {
			got = found.Name
		}
		if got != want {
			t.Errorf("token %q identifies %q, want %q", token, got, want)
		}
	}
}

// BenchmarkByToken looks up a token among 1,000 teams with four each.
func BenchmarkByToken(b *testing.B) {
	var teams []team.Team
	for i := range 1000 {
		x := team.Team{Name: fmt.Sprintf("team-%d", i)}
		for k := range 4 {
			x.TokenSHA256 = append(x.TokenSHA256, team.Digest(fmt.Sprintf("token-%d-%d", i, k)))
		}
		teams = append(teams, x)
	}
	index := team.NewIndex(teams)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := index.ByToken("token-500-2"); !ok {
			b.Fatal("not found")
		}
	}
}
