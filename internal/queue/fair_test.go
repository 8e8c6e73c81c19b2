// SPDX-License-Identifier: Apache-2.0

package queue_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"switchbank.example/switchbank/internal/queue"
)

func TestLimits(t *testing.T) {
	q := queue.NewFair[int](queue.Limits{PerTeam: 2, Total: 3})
	for i, want := range []struct {
		team string
		kind queue.Kind
	}{{"a", ""}, {"a", ""}, {"a", queue.KindTeamFull}, {"b", ""}, {"b", queue.KindFull}} {
		err := q.Push(want.team, 1, i)
		var qe *queue.Error
		kind := queue.Kind("")
		if errors.As(err, &qe) {
			kind = qe.Kind
		}
		if kind != want.kind {
			t.Errorf("push %d returned %v, want kind %q", i, err, want.kind)
		}
	}
}

// TestBurstDelaysOnlyItsTeam pushes a thousand items of one team and then one item of another,
// which must be served at its next turn.
func TestBurstDelaysOnlyItsTeam(t *testing.T) {
	q := queue.NewFair[string](queue.Limits{PerTeam: 1000, Total: 2000})
	for range 1000 {
		if err := q.Push("burst", 1, "burst"); err != nil {
			t.Fatal(err)
		}
	}
	for range 10 {
		q.Pop()
	}
	if err := q.Push("counter", 1, "counter"); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		if v, _ := q.Pop(); v == "counter" {
			return
		} else if i == 2 {
			t.Error("the counter's item waits behind the burst")
		}
	}
}

func TestWeights(t *testing.T) {
	q := queue.NewFair[string](queue.Limits{PerTeam: 1000, Total: 2000})
	for range 300 {
		_ = q.Push("heavy", 2, "heavy")
		_ = q.Push("light", 1, "light")
	}
	heavy := 0
	for range 300 {
		if v, _ := q.Pop(); v == "heavy" {
			heavy++
		}
	}
	if heavy < 198 || heavy > 202 {
		t.Errorf("the heavy team was served %d of 300 times, want 198 to 202", heavy)
	}
}

// TestItemsAreNeitherLostNorDuplicated pushes, pops and removes items at random and checks that
// each comes out once and that those of a team stay in order.
func TestItemsAreNeitherLostNorDuplicated(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(7)
	props := gopter.NewProperties(params)
	props.Property("each item comes out once, in order", prop.ForAll(func(ops []int) bool {
		q := queue.NewFair[int](queue.Limits{PerTeam: 1 << 20, Total: 1 << 20})
		next, n := 0, 0
		last := make(map[int]int)
		pop := func() bool {
			v, ok := q.Pop()
			if !ok {
				return n == 0
			}
			n--
			team := v % 5
			if prev, seen := last[team]; seen && v <= prev {
				return false
			}
			last[team] = v
			return true
		}
		for _, op := range ops {
			switch {
			case op < 60:
				v := next*5 + op%5
				next++
				n++
				if q.Push(fmt.Sprint(op%5), float64(1+op%3), v) != nil {
					return false
				}
			case op < 65:
				before := q.Len()
				q.Remove(fmt.Sprint(op%5), func(v int) bool { return v%3 == 0 })
				n -= before - q.Len()
			default:
				if !pop() {
					return false
				}
			}
		}
		for n > 0 {
			if !pop() {
				return false
			}
		}
		return q.Len() == 0
	}, gen.SliceOf(gen.IntRange(0, 99))))
	props.TestingRun(t)
}

func BenchmarkPushPop120Teams(b *testing.B) {
	const teams = 120
	q := queue.NewFair[int](queue.Limits{PerTeam: 1 << 20, Total: 1 << 20})
	names := make([]string, teams)
	for i := range names {
		names[i] = fmt.Sprintf("team-%d", i)
		for range 16 {
			_ = q.Push(names[i], 1, i)
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		_ = q.Push(names[i%teams], 1, i)
		q.Pop()
	}
}
