// SPDX-License-Identifier: Apache-2.0

package tables_test

import (
	"fmt"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/tables"
)

// partClock is a PartHealth with a clock for its calls.
type partClock struct {
	*tables.PartHealth
	now time.Time
	// serviceAnswered is when a call of any part was last answered.
	serviceAnswered time.Time
}

func newPartClock() *partClock {
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	return &partClock{PartHealth: tables.NewPartHealth(), now: now, serviceAnswered: now}
}

// fail makes a call of a part that fails after took, while another part answers.
func (c *partClock) fail(part string, took time.Duration) (becameAway bool) {
	sent := c.now
	c.now = c.now.Add(took)
	c.serviceAnswered = c.now
	return c.Failed(part, sent, c.now, c.serviceAnswered)
}

// check checks the state of a part.
func (c *partClock) check(t *testing.T, part string, want tables.PartState) {
	t.Helper()
	if got := c.State(part, c.now); got != want {
		t.Errorf("part %s is in state %d, want %d", part, got, want)
	}
}

// TestPartThatResetsIsAway checks that a part counts as away after its calls have been reset for
// 0.1 s, not before, and that it is back with the first answer. It guards against calls that are
// held while the outage lasts, and refused after it.
func TestPartThatResetsIsAway(t *testing.T) {
	c := newPartClock()
	began := c.now
	for !c.fail("a", time.Millisecond) {
		c.check(t, "a", tables.PartAnswers)
		c.now = c.now.Add(20 * time.Millisecond)
	}
	if after := c.now.Sub(began); after < 100*time.Millisecond || after > 130*time.Millisecond {
		t.Errorf("the part is away after %s", after)
	}
	c.check(t, "a", tables.PartAway)
	if outage, away := c.Answered("a", c.now.Add(time.Second)); !away || outage < time.Second {
		t.Errorf("away=%t for %s", away, outage)
	}
	c.check(t, "a", tables.PartAnswers)
}

// TestOneLostAnswerIsNoOutage guards against refusals after single failures: a lost answer, which
// is noticed after 0.2 s, and single resets that are seconds apart.
func TestOneLostAnswerIsNoOutage(t *testing.T) {
	c := newPartClock()
	for range 5 {
		if c.fail("a", 200*time.Millisecond) {
			t.Fatal("the part is away")
		}
		c.now = c.now.Add(2 * time.Second)
	}
	c.check(t, "a", tables.PartAnswers)
}

// TestServiceAwayLeavesPartsAlone guards against parts that count as away because no part
// answers: the service as a whole is unavailable then, and is probed as a whole.
func TestServiceAwayLeavesPartsAlone(t *testing.T) {
	c := newPartClock()
	for range 20 {
		sent := c.now
		c.now = c.now.Add(20 * time.Millisecond)
		if c.Failed("a", sent, c.now, c.serviceAnswered) {
			t.Fatal("the part is away")
		}
	}
	c.check(t, "a", tables.PartAnswers)
}

// TestOtherPartsAreSuspected checks that the other parts are suspected while one is away, until
// they answer, and for a while after. It guards against writes of unknown outcome in each of the
// parts that fail together, and against reads before each write once all parts answer.
func TestOtherPartsAreSuspected(t *testing.T) {
	c := newPartClock()
	c.Answered("c", c.now)
	c.now = c.now.Add(time.Millisecond)
	c.fail("a", 200*time.Millisecond)
	c.fail("a", 200*time.Millisecond)
	c.check(t, "a", tables.PartAway)
	c.check(t, "b", tables.PartSuspect)
	c.check(t, "c", tables.PartSuspect)
	c.Answered("b", c.now)
	c.check(t, "b", tables.PartAnswers)
	if !c.fail("c", 200*time.Millisecond) {
		t.Error("a suspected part isn't away after a failure")
	}
	c.now = c.now.Add(1500 * time.Millisecond)
	c.check(t, "b", tables.PartSuspect)
	c.Answered("a", c.now)
	c.Answered("c", c.now)
	c.now = c.now.Add(time.Second)
	c.check(t, "b", tables.PartAnswers)
}

// TestReportedOutageIsNoProof checks that an outage which another node reports makes a part
// suspected and not away. It guards against refusals in parts that answer this node.
func TestReportedOutageIsNoProof(t *testing.T) {
	c := newPartClock()
	c.Suspect(c.now)
	c.check(t, "a", tables.PartSuspect)
	c.now = c.now.Add(3 * time.Second)
	c.check(t, "a", tables.PartAnswers)
}

// TestProbesOfAwayParts checks that a part that is away is probed at intervals. It guards against
// probes that multiply with the callers, and against a part that nobody asks again.
func TestProbesOfAwayParts(t *testing.T) {
	const interval = 100 * time.Millisecond
	c := newPartClock()
	c.fail("a", 200*time.Millisecond)
	if c.StartProbe("a", c.now.Add(time.Minute), interval) {
		t.Error("a part that isn't away is probed")
	}
	c.fail("a", 200*time.Millisecond)
	probes := 0
	for range 100 {
		c.now = c.now.Add(10 * time.Millisecond)
		if c.StartProbe("a", c.now, interval) {
			probes++
		}
	}
	if probes != 10 {
		t.Errorf("%d probes within a second", probes)
	}
	c.now = c.now.Add(interval)
	if due := c.DueProbes(c.now, interval, 10); len(due) != 1 || due[0] != "a" {
		t.Errorf("%v are due for a probe", due)
	}
}

// TestPartHealthIsBounded guards against memory that grows with the number of parts that fail or
// answer.
func TestPartHealthIsBounded(t *testing.T) {
	c := newPartClock()
	for i := range 3 * tables.MaxTrackedParts {
		c.Answered(fmt.Sprintf("good-%d", i), c.now)
		c.fail(fmt.Sprintf("bad-%d", i), 200*time.Millisecond)
		c.fail(fmt.Sprintf("bad-%d", i), 200*time.Millisecond)
	}
	if n := c.Away(); n != tables.MaxTrackedParts {
		t.Errorf("%d parts are tracked as away, want %d", n, tables.MaxTrackedParts)
	}
	last := fmt.Sprintf("bad-%d", 3*tables.MaxTrackedParts-1)
	c.check(t, last, tables.PartAway)
}
