// SPDX-License-Identifier: Apache-2.0

// Package quota divides a team's limit among the shards of a service, so that the owner of each
// shard keeps to its part without asking anyone, and moves parts between them. It does no I/O.
//
// At first all shards have equal parts. A shard that has no use for its part gives some of it
// to another one. Each shard counts what it has ever given to each other shard, and what each
// other shard has ever given to it. Both only rise, so that the messages which carry them may
// be lost, repeated and late. A shard must have persisted what it gives before the other one
// counts it: the sum of all parts then never exceeds the whole, whoever owns the shards.
//
// Parts are in millionths of the limit, so that they stay valid when the limit changes.
//
// # Usage
//
//	l := quota.NewLedger(shard, shards)
//	l.Give("inkasoft", other, 20_000) // persist l.State(), then tell the other shard
//	l.Receive(other, 0, totals)
//	limit := quota.Scale(team.Limit, l.Part("inkasoft"))
package quota

import (
	"math/bits"
	"slices"

	"switchbank.example/switchbank/internal/resource"
)

// Whole is the sum of the parts of all shards.
const Whole = 1_000_000

// Ledger holds one shard's parts of the teams' limits.
type Ledger struct {
	shard, shards int
	// base is the shard's part before anything was given or received.
	base int64
	// generation is 0, or a number by which what the shard gives is told from gifts that it has
	// forgotten. It counts then only on what it receives after each shard's first answer, since it
	// may have given away all else: discounted holds, by team, the totals of the first answers.
	generation int64
	discounted map[string]map[source]int64
	// missing are the shards whose first answer is missing.
	missing map[int]bool
	// given holds, by team, the totals given to each shard, and received those received.
	given    map[string][]int64
	received map[string]map[source]int64
}

// source is a shard, with its generation, that has given something.
type source struct {
	shard      int
	generation int64
}

// State is what is persisted of a ledger.
type State struct {
	Generation int64 `json:"generation,omitempty"`
	// Given holds, by team, the totals given to each shard.
	Given      map[string][]int64 `json:"given"`
	Discounted []Discount         `json:"discounted,omitempty"`
}

// Discount is a total that was received from a shard and doesn't count.
type Discount struct {
	Team       string `json:"team"`
	Shard      int    `json:"shard"`
	Generation int64  `json:"generation,omitempty"`
	Total      int64  `json:"total"`
}

// Valid reports whether no total is below 0.
func (s *State) Valid() bool {
	for _, totals := range s.Given {
		if slices.ContainsFunc(totals, func(n int64) bool { return n < 0 }) {
			return false
		}
	}
	return !slices.ContainsFunc(s.Discounted, func(d Discount) bool { return d.Total < 0 })
}

// NewLedger returns the ledger of the shard with that index, with an equal part of each limit.
func NewLedger(shard, shards int) *Ledger {
	shards = max(1, shards)
	base := int64(Whole / shards)
	if shard < Whole%shards {
		base++
	}
	return &Ledger{
		shard: shard, shards: shards, base: base, given: make(map[string][]int64),
		received: make(map[string]map[source]int64), discounted: make(map[string]map[source]int64),
	}
}

// Part returns the shard's part of a team's limit. It is below 0 while the shard doesn't know yet
// what it has received.
func (l *Ledger) Part(team string) int64 {
	part := l.base
	for _, n := range l.received[team] {
		part += n
	}
	for _, n := range l.discounted[team] {
		part -= n
	}
	for _, n := range l.given[team] {
		part -= n
	}
	return part
}

// Has reports whether there is another shard with that index.
func (l *Ledger) Has(other int) bool { return other >= 0 && other < l.shards && other != l.shard }

// MayGive reports whether the shard knows what it may give.
func (l *Ledger) MayGive() bool { return len(l.missing) == 0 }

// Give gives a part of a team's limit to another shard, which may count it once the State is
// persisted.
func (l *Ledger) Give(team string, to int, part int64) {
	if l.given[team] == nil {
		l.given[team] = make([]int64, l.shards)
	}
	l.given[team][to] += part
}

// Generation returns the generation of what the shard gives.
func (l *Ledger) Generation() int64 { return l.generation }

// GivenTo returns what another shard was given in total, by team.
func (l *Ledger) GivenTo(shard int) map[string]int64 {
	totals := make(map[string]int64)
	for team, list := range l.given {
		if list[shard] > 0 {
			totals[team] = list[shard]
		}
	}
	return totals
}

// Forget records that it isn't known what the shard has given. The generation must be above all
// that it had before.
func (l *Ledger) Forget(generation int64) {
	l.generation, l.base = generation, 0
	l.missing = make(map[int]bool)
	for i := range l.shards {
		if i != l.shard {
			l.missing[i] = true
		}
	}
}

// Receive records what another shard has given to this one in total, by team, and reports whether
// that is more than was known. A shard that has forgotten what it gave may only be told answers
// to what it has asked since.
func (l *Ledger) Receive(from int, generation int64, totals map[string]int64) (more bool) {
	if !l.Has(from) {
		return false
	}
	first := l.missing[from]
	delete(l.missing, from)
	by := source{from, generation}
	for team, total := range totals {
		if total <= l.received[team][by] {
			continue
		}
		set(l.received, team, by, total)
		if first {
			set(l.discounted, team, by, total)
		}
		more = true
	}
	return more
}

func set(m map[string]map[source]int64, team string, by source, total int64) {
	if m[team] == nil {
		m[team] = make(map[source]int64)
	}
	m[team][by] = total
}

// State returns what has to be persisted.
func (l *Ledger) State() State {
	state := State{Generation: l.generation, Given: make(map[string][]int64, len(l.given))}
	for team, list := range l.given {
		state.Given[team] = slices.Clone(list)
	}
	for team, totals := range l.discounted {
		for by, total := range totals {
			state.Discounted = append(state.Discounted, Discount{team, by.shard, by.generation, total})
		}
	}
	return state
}

// Restore sets what was persisted.
func (l *Ledger) Restore(state State) {
	if l.generation = state.Generation; l.generation > 0 {
		l.base = 0
	}
	for team, list := range state.Given {
		l.given[team] = make([]int64, l.shards)
		copy(l.given[team], list)
	}
	for _, d := range state.Discounted {
		set(l.discounted, d.Team, source{d.Shard, d.Generation}, d.Total)
	}
}

// Scale returns a part of a limit, rounded down. A resource without a limit has none in any part.
func Scale(limit resource.Amount, part int64) resource.Amount {
	return resource.Amount{
		CPUMilli: scale(limit.CPUMilli, part), MemoryMB: scale(limit.MemoryMB, part), Accelerators: scale(limit.Accelerators, part),
	}
}

// NoLimit stands for a resource without a limit.
const NoLimit = 1 << 62

func scale(limit, part int64) int64 {
	if limit <= 0 {
		return NoLimit
	}
	part = min(max(part, 0), Whole)
	hi, lo := bits.Mul64(uint64(limit), uint64(part))
	q, _ := bits.Div64(hi, lo, Whole)
	return int64(q)
}

// PartFor returns the part of a limit that holds an amount, rounded up; at most Whole.
func PartFor(limit, amount resource.Amount) int64 {
	return max(partFor(limit.CPUMilli, amount.CPUMilli), partFor(limit.MemoryMB, amount.MemoryMB), partFor(limit.Accelerators, amount.Accelerators))
}

func partFor(limit, amount int64) int64 {
	switch {
	case limit <= 0 || amount <= 0:
		return 0
	case amount >= limit:
		return Whole
	}
	hi, lo := bits.Mul64(uint64(amount), Whole)
	q, r := bits.Div64(hi, lo, uint64(limit))
	if r > 0 {
		q++
	}
	return int64(q)
}

// PartWithin returns the largest part of a limit that an amount covers, rounded down.
func PartWithin(limit, amount resource.Amount) int64 {
	return min(partWithin(limit.CPUMilli, amount.CPUMilli), partWithin(limit.MemoryMB, amount.MemoryMB), partWithin(limit.Accelerators, amount.Accelerators))
}

func partWithin(limit, amount int64) int64 {
	switch {
	case limit <= 0:
		return Whole
	case amount <= 0:
		return 0
	case amount >= limit:
		return Whole
	}
	hi, lo := bits.Mul64(uint64(amount), Whole)
	q, _ := bits.Div64(hi, lo, uint64(limit))
	return int64(q)
}
