// SPDX-License-Identifier: Apache-2.0

package quota_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"switchbank.example/switchbank/internal/quota"
	"switchbank.example/switchbank/internal/resource"
)

// message tells a shard what another one has given to it in total.
type message struct {
	from, to   int
	generation int64
	total      int64
}

// system is the ledgers of all shards, what they have persisted, and messages on their way.
type system struct {
	ledgers  []*quota.Ledger
	saved    []quota.State
	messages []message
	// epoch numbers the owners. In a system that loses rows, unreadable are the shards whose
	// persisted state can't be read at present, and lost is set once one could not.
	epoch       int64
	loses, lost bool
	unreadable  map[int]bool
}

const teamName = "red"

// TestPartsExceedWhole gives parts at random between shards whose messages are lost, repeated and
// late, and whose owners are replaced, before or after they have persisted what they gave. In
// every fourth seed, what some shards have persisted becomes unreadable.
func TestPartsExceedWhole(t *testing.T) {
	const seeds, steps = 300, 400
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // Each seed must be reproducible.
		shards := []int{2, 3, 15}[seed%3]
		s := &system{saved: make([]quota.State, shards), unreadable: make(map[int]bool), loses: seed%4 == 3}
		for i := range shards {
			s.ledgers = append(s.ledgers, quota.NewLedger(i, shards))
		}
		for step := range steps {
			s.step(rng)
			if sum := s.sum(); sum > quota.Whole {
				t.Fatalf("seed %d, step %d: the parts are %d in total", seed, step, sum)
			}
		}
		for i := range shards {
			s.deliver(i)
		}
		if sum := s.sum(); sum > quota.Whole || (sum < quota.Whole && !s.lost) {
			t.Fatalf("seed %d: the parts are %d in the end, want %d", seed, sum, quota.Whole)
		}
	}
}

func (s *system) step(rng *rand.Rand) {
	i := rng.IntN(len(s.ledgers))
	switch rng.IntN(4) {
	case 0: // A shard gives, and persists that or is lost before.
		l, to := s.ledgers[i], rng.IntN(len(s.ledgers))
		if part := l.Part(teamName); to != i && part > 0 && l.MayGive() {
			l.Give(teamName, to, 1+rng.Int64N(part))
			if rng.IntN(4) > 0 {
				s.saved[i] = l.State()
				delete(s.unreadable, i)
				s.messages = append(s.messages, message{i, to, l.Generation(), l.GivenTo(to)[teamName]})
			} else {
				s.replaceOwner(i)
			}
		}
	case 1: // A message arrives, and may arrive again.
		if len(s.messages) > 0 {
			m := s.messages[rng.IntN(len(s.messages))]
			s.ledgers[m.to].Receive(m.from, m.generation, map[string]int64{teamName: m.total})
		}
	case 2: // A message is lost.
		if len(s.messages) > 0 {
			k := rng.IntN(len(s.messages))
			s.messages = slices.Delete(s.messages, k, k+1)
		}
	case 3:
		if rng.IntN(5) == 0 {
			if s.loses && rng.IntN(6) == 0 {
				s.unreadable[i], s.lost = true, true
			}
			s.replaceOwner(i)
		}
	}
}

// replaceOwner replaces a shard's owner by one that knows only what was persisted.
func (s *system) replaceOwner(i int) {
	s.ledgers[i] = quota.NewLedger(i, len(s.ledgers))
	if !s.unreadable[i] {
		s.ledgers[i].Restore(s.saved[i])
		return
	}
	s.epoch++
	s.ledgers[i].Forget(s.epoch)
	// Messages are answers to the owner's own requests.
	s.messages = slices.DeleteFunc(s.messages, func(m message) bool { return m.to == i })
}

// deliver tells a shard all that the others have given to it.
func (s *system) deliver(to int) {
	for from, l := range s.ledgers {
		s.ledgers[to].Receive(from, l.Generation(), l.GivenTo(to))
	}
}

func (s *system) sum() (sum int64) {
	for _, l := range s.ledgers {
		sum += max(0, l.Part(teamName))
	}
	return sum
}

func TestScale(t *testing.T) {
	limit := resource.Amount{CPUMilli: 1_000_001, MemoryMB: 0, Accelerators: 3}
	got := quota.Scale(limit, quota.Whole/2)
	if want := (resource.Amount{CPUMilli: 500_000, MemoryMB: quota.NoLimit, Accelerators: 1}); got != want {
		t.Errorf("half of %v is %v, want %v", limit, got, want)
	}
	if got := quota.Scale(limit, -5).CPUMilli; got != 0 {
		t.Errorf("a part below 0 is %d", got)
	}
	need := resource.Amount{CPUMilli: 9_000, Accelerators: 1}
	part := quota.PartFor(limit, need)
	if got := quota.Scale(limit, part); !got.Fits(need) {
		t.Errorf("part %d of %v is %v, which doesn't hold %v", part, limit, got, need)
	}
	if got := quota.PartWithin(limit, need); got > part || !need.Fits(quota.Scale(resource.Amount{CPUMilli: limit.CPUMilli, Accelerators: limit.Accelerators, MemoryMB: 1}, got)) {
		t.Errorf("part %d is not within %v", got, need)
	}
}
