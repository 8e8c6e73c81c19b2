// SPDX-License-Identifier: Apache-2.0

package admission_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/admission"
)

func refuse(m *admission.Memory, id string, now, retryAfter time.Duration) {
	m.Refuse(request(id, nil), admission.Decision{RetryAfter: retryAfter}, now)
}

// known returns whether a memory knows a job, and since when.
func known(m *admission.Memory, id string, now time.Duration) (bool, time.Duration) {
	r := request(id, nil)
	m.Complete(&r, now)
	return r.Returning, r.Sent
}

// expected returns what a new job finds expected.
func expected(m *admission.Memory, team string, priority int, now time.Duration) admission.Expected {
	r := request("new", nil)
	r.Team, r.Job.Priority = team, priority
	m.Complete(&r, now)
	return r.Expected
}

// TestMemoryForgets guards against a returning job that counts as new, and against refusals that
// are kept for ever.
func TestMemoryForgets(t *testing.T) {
	m := admission.NewMemory()
	refuse(m, "late", 0, time.Minute)
	refuse(m, "a", 0, 2*time.Second)
	refuse(m, "a", 3*time.Second, 2*time.Second)
	if ok, sent := known(m, "a", 10*time.Second); !ok || sent != 10*time.Second {
		t.Errorf("a refused job is known %t, first sent %v ago", ok, sent)
	}
	if ok, _ := known(m, "a", 34*time.Second); ok {
		t.Error("a refused job is known 31 s after its last refusal")
	}
	if ok, _ := known(m, "late", 62*time.Second); !ok {
		t.Error("a job whose caller was told to return in a minute is forgotten then")
	}
	if n := m.Len(); n != 1 {
		t.Errorf("%d refusals are kept", n)
	}
	if ok, _ := known(m, "late", 64*time.Second); ok || m.Len() != 0 {
		t.Error("a job whose caller did not return is known")
	}
}

// TestExpectedWork guards against new jobs that wait for callers which have returned, have given up
// or belong to other teams.
func TestExpectedWork(t *testing.T) {
	const work = 48_000
	for name, c := range map[string]struct {
		team     string
		priority int
		now      time.Duration
		want     admission.Expected
	}{
		"same class":        {"t1", 2, 0, admission.Expected{Class: 2 * work, Ahead: 3 * work}},
		"other team":        {"t2", 2, 0, admission.Expected{Ahead: 3 * work}},
		"less urgent":       {"t1", 3, 0, admission.Expected{Ahead: 3 * work}},
		"more urgent":       {"t1", 0, 0, admission.Expected{}},
		"did not return":    {"t1", 2, 6 * time.Second, admission.Expected{Ahead: work}},
		"late one is close": {"t1", 2, 20 * time.Second, admission.Expected{Class: work, Ahead: work}},
	} {
		m := admission.NewMemory()
		refuse(m, "a", 0, 2*time.Second)
		refuse(m, "b", 0, 2*time.Second)
		refuse(m, "late", 0, 30*time.Second)
		if got := expected(m, c.team, c.priority, c.now); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

// TestMemoryIsBounded guards against a flood of refused jobs that fills the memory or a message.
func TestMemoryIsBounded(t *testing.T) {
	m := admission.NewMemory()
	for i := range 3 * admission.MaxRemembered {
		refuse(m, fmt.Sprintf("%016x", i), time.Duration(i)*time.Millisecond, time.Second)
	}
	if n := m.Len(); n != admission.MaxRemembered {
		t.Errorf("%d refusals are kept, want %d", n, admission.MaxRemembered)
	}
	news, last := m.News(0, "peer", 6*time.Second)
	if len(news) != admission.MaxRecords || news[len(news)-1].ID != fmt.Sprintf("%016x", 3*admission.MaxRemembered-1) {
		t.Errorf("%d records, want the %d newest", len(news), admission.MaxRecords)
	}
	if news, _ := m.News(last, "peer", 6*time.Second); len(news) != 0 {
		t.Errorf("%d records are sent again", len(news))
	}
	other := admission.NewMemory()
	for range 20 {
		other.Learn("n1", append(news, news...), 0)
	}
	if n := other.Len(); n > admission.MaxRecords {
		t.Errorf("a message with too many records adds %d", n)
	}
}

// TestExchange guards against a caller that counts as new at another node, and against a job that
// other nodes expect though it has been admitted.
func TestExchange(t *testing.T) {
	a, b, c := admission.NewMemory(), admission.NewMemory(), admission.NewMemory()
	// The clocks of the nodes have different origins.
	const now, nowB = 100 * time.Second, 7 * time.Second
	refuse(a, "x", now-2*time.Second, 5*time.Second)
	news, last := a.News(0, "b", now)
	b.Learn("a", news, nowB)
	if ok, sent := known(b, "x", nowB); !ok || sent != 2*time.Second {
		t.Errorf("the other node knows the job: %t, first sent %v ago", ok, sent)
	}
	if back, _ := b.News(0, "a", nowB); len(back) != 0 {
		t.Errorf("a node is told what it has told: %+v", back)
	}
	onward, _ := b.News(0, "c", nowB)
	c.Learn("b", onward, now)
	if ok, _ := known(c, "x", now); !ok {
		t.Error("a third node does not know the job")
	}
	b.Admit(request("x", nil), nowB)
	admitted, _ := b.News(0, "a", nowB)
	a.Learn("b", admitted, now)
	if e := expected(a, "t1", 2, now); e != (admission.Expected{}) {
		t.Errorf("the admitted job is expected: %+v", e)
	}
	// An old record of the refusal tells nothing new.
	a.Learn("c", news, now)
	if e := expected(a, "t1", 2, now); e != (admission.Expected{}) {
		t.Errorf("the admitted job is expected after an old record: %+v", e)
	}
	if news, _ := a.News(last+1000, "restarted", now); len(news) == 0 {
		t.Error("a position beyond the last change, of another incarnation, hides the news")
	}
}

// TestInvalidRecords guards against absurd figures of another node.
func TestInvalidRecords(t *testing.T) {
	m := admission.NewMemory()
	valid := admission.Record{ID: "ok", Work: 5, Attempts: 1}
	records := []admission.Record{
		{},
		{ID: "attempts"},
		{ID: "work", Attempts: 1, Work: -1},
		{ID: "much", Attempts: 1, Work: math.MaxInt64},
		{ID: "first", Attempts: 1, FirstMS: -1},
		{ID: "last", Attempts: 1, LastMS: 10, FirstMS: 5},
		{ID: "retry", Attempts: 1, RetryMS: math.MinInt64},
		{ID: "long", Attempts: 1, RetryMS: math.MaxInt64},
		{ID: string(make([]byte, 100)), Attempts: 1},
		{ID: "team", Team: string(make([]byte, 1000)), Attempts: 1},
		valid,
	}
	m.Learn("n1", records, time.Minute)
	if ok, _ := known(m, "ok", time.Minute); !ok || m.Len() != 1 {
		t.Errorf("%d records are kept, the valid one: %t", m.Len(), ok)
	}
}

// TestClockJumps guards against refusals that stay for ever, and work that is expected for ever,
// after the clock has jumped.
func TestClockJumps(t *testing.T) {
	m := admission.NewMemory()
	refuse(m, "a", time.Minute, 2*time.Second)
	refuse(m, "b", time.Hour, 2*time.Second)
	if ok, _ := known(m, "a", time.Hour); ok {
		t.Error("a refusal of an hour ago is known")
	}
	if e := expected(m, "t1", 2, time.Minute); e != (admission.Expected{}) || m.Len() != 0 {
		t.Errorf("after a jump back %d refusals are known, expected %+v", m.Len(), e)
	}
	refuse(m, "c", time.Minute, 2*time.Second)
	if ok, sent := known(m, "c", time.Minute-time.Second); !ok || sent != 0 {
		t.Errorf("after a small step back a refusal is known: %t, first sent %v ago", ok, sent)
	}
}

// TestShares guards against a share that keeps what a team sent long ago, and against teams without
// bound.
func TestShares(t *testing.T) {
	s := admission.NewShares()
	if got := s.Of("t1", 2, 0); got != 1 {
		t.Errorf("share without work: %v", got)
	}
	r := request("a", nil)
	other := r
	other.Team = "t2"
	s.Add(r, 0)
	s.Add(other, 10*time.Second)
	if got := s.Of("t1", 2, 10*time.Second); math.Abs(got-1.0/3) > 0.001 {
		t.Errorf("share of work that is a half-life old: %v, want a third", got)
	}
	if got := s.Of("t1", 0, 0); got != 1 {
		t.Errorf("share of another priority: %v", got)
	}
	for i := range 1000 {
		r.Team = fmt.Sprint(i)
		s.Add(r, time.Duration(i)*time.Millisecond)
	}
	if got := s.Of("999", 2, time.Second); got < 1.0/260 {
		t.Errorf("share among 1,000 teams: %v, so that more than 256 are kept", got)
	}
}
