// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/internal/scheduler"
)

// faultyNode is a node that calls the advice service, and whose behaviour a test changes.
type faultyNode struct {
	name string
	mu   sync.Mutex
	mode nodeMode
	// slowness is how many times longer than stated the service takes; 0: not longer.
	slowness float64
	sent     int
}

// nodeMode is how a faultyNode behaves.
type nodeMode string

const (
	nodeWorks   nodeMode = ""
	nodeAway    nodeMode = "away"    // it gives no answer
	nodeRefuses nodeMode = "refuses" // it fails at once
)

var errRefused = errors.New("refused")

func (n *faultyNode) Name() string { return n.name }

func (n *faultyNode) set(mode nodeMode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mode = mode
}

func (n *faultyNode) Advise(ctx context.Context, step scheduler.StepID, _ []string) ([]cluster.Ticket, time.Duration, error) {
	n.mu.Lock()
	n.sent++
	mode, slowness := n.mode, max(n.slowness, 1)
	n.mu.Unlock()
	switch mode {
	case nodeWorks:
	case nodeAway:
		<-ctx.Done()
		return nil, 0, ctx.Err()
	case nodeRefuses:
		time.Sleep(time.Millisecond)
		return nil, 0, errRefused
	}
	select {
	case <-time.After(time.Duration(float64(statedDuration(step)) * slowness)):
		return nil, 2500 * time.Millisecond, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// faultSim is a queue of calls with nodes that fail, come and go.
type faultSim struct {
	queue *owner.AdviceQueue
	nodes []*faultyNode

	listMu sync.Mutex
	list   []owner.Adviser

	mu      sync.Mutex
	added   map[string]time.Time
	took    map[string]time.Duration
	replies map[string]int
	// expired is how many answers had tickets that had run out when they arrived.
	expired int
	// noRetry is set if failed calls are not made again.
	noRetry bool
}

// runFaultSim runs a test in virtual time with a number of nodes.
func runFaultSim(t *testing.T, nodes int, test func(t *testing.T, s *faultSim)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &faultSim{added: make(map[string]time.Time), took: make(map[string]time.Duration), replies: make(map[string]int)}
		for i := range nodes {
			n := &faultyNode{name: fmt.Sprintf("n%02d", i)}
			s.nodes, s.list = append(s.nodes, n), append(s.list, n)
		}
		s.queue = owner.NewAdviceQueue(ctx, s.advisers, s.answered)
		ended := dispatchUntil(ctx, s.queue)
		test(t, s)
		cancel()
		<-ended
		time.Sleep(time.Minute)
	})
}

func (s *faultSim) advisers() []owner.Adviser {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	return s.list
}

func (s *faultSim) setAdvisers(list []owner.Adviser) {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	s.list = list
}

// addSince requests a call for a job that has been standing since a time.
func (s *faultSim) addSince(job string, priority int, stands time.Time) {
	s.mu.Lock()
	if _, again := s.added[job]; !again {
		s.added[job] = time.Now()
	}
	s.mu.Unlock()
	step := scheduler.StepID{Job: job}
	s.queue.Add(scheduler.RequestAdvice{Step: step, ExpectedDuration: statedDuration(step), Rank: scheduler.Rank{Priority: priority}, StandsSince: stands})
}

// add requests a call for a job that stands since the first request.
func (s *faultSim) add(job string, priority int) {
	s.mu.Lock()
	since, again := s.added[job]
	s.mu.Unlock()
	if !again {
		since = time.Now()
	}
	s.addSince(job, priority, since)
}

// repliesTo returns how many answers a job's call got, and how long the last one took; ok is false if none
// was answered.
func (s *faultSim) repliesTo(job string) (n int, took time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	took, ok = s.took[job]
	return s.replies[job], took, ok
}

// miscounted returns how many calls were added, and how many of them had no answer and several.
func (s *faultSim) miscounted() (calls, none, several int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for job := range s.added {
		switch n := s.replies[job]; {
		case n == 0:
			none++
		case n > 1:
			several++
		}
	}
	return len(s.added), none, several
}

// expiredAnswers returns how many calls were answered, and how many of the answers had expired.
func (s *faultSim) expiredAnswers() (answered, expired int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.took), s.expired
}

// sentThrough returns how many calls went through a node.
func (n *faultyNode) sentThrough() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

func (s *faultSim) answered(a scheduler.RequestAdvice, answer owner.Advice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replies[a.Step.Job]++
	if answer.Err != nil {
		if !s.noRetry {
			time.AfterFunc(60*time.Millisecond, func() { s.add(a.Step.Job, a.Rank.Priority) })
		}
		return
	}
	if !time.Now().Before(answer.IssuedAt.Add(answer.ValidFor - 250*time.Millisecond)) {
		s.expired++
	}
	s.took[a.Step.Job] = time.Since(s.added[a.Step.Job])
}

// checkLongest checks that all calls of jobs with a prefix were answered within a time.
func (s *faultSim) checkLongest(t *testing.T, prefix string, most time.Duration) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	name, longest, open := "", time.Duration(0), 0
	for job, at := range s.added {
		if !strings.HasPrefix(job, prefix) {
			continue
		}
		took, ok := s.took[job]
		if !ok {
			open++
			took = time.Since(at)
		}
		if took > longest {
			name, longest = job, took
		}
	}
	if longest > most {
		t.Errorf("the call of %s took %s, at most %s are allowed; %d calls have no answer", name, longest, most, open)
	}
}

// TestNodeAwaySlowsFewCalls guards against one node that can't reach the service and, while calls are few,
// counts as a slow service, so that each call is waited for longer.
func TestNodeAwaySlowsFewCalls(t *testing.T) {
	runFaultSim(t, 17, func(t *testing.T, s *faultSim) {
		s.nodes[6].set(nodeAway)
		for i := range 8 {
			s.add(fmt.Sprintf("long-%d", i), 2)
			time.Sleep(15 * time.Second)
		}
		s.checkLongest(t, "long", 3*time.Second)
	})
}

// TestRepeatedCallIsNeverSent guards against a call that may not go to its first node again when only that
// one is left, so that it is never answered.
func TestRepeatedCallIsNeverSent(t *testing.T) {
	runFaultSim(t, 3, func(t *testing.T, s *faultSim) {
		s.noRetry = true
		s.nodes[1].set(nodeAway)
		s.add("long-a", 2) // goes to n01
		time.Sleep(100 * time.Millisecond)
		s.add("long-b", 2) // n02, answered
		time.Sleep(700 * time.Millisecond)
		s.add("long-c", 2) // n02 is busy when the repeat is queued
		time.Sleep(150 * time.Millisecond)
		s.setAdvisers(s.advisers()[1:2]) // only n01 is left, and reaches the service again
		s.nodes[1].set(nodeWorks)
		time.Sleep(5 * time.Minute)
		st := s.queue.Stats()
		if n, _, _ := s.repliesTo("long-a"); n != 1 {
			t.Errorf("long-a has %d replies after 5 min; queued %d for %s, open %d", n, st.Queued, st.QueuedFor, st.Open)
		}
	})
}

// TestRepeatedCallBlocksOthers guards against a repeated call that finds no node and keeps the only one that
// is left from all others.
func TestRepeatedCallBlocksOthers(t *testing.T) {
	runFaultSim(t, 3, func(t *testing.T, s *faultSim) {
		s.nodes[1].set(nodeAway)
		s.add("long-a", 2)
		time.Sleep(100 * time.Millisecond)
		s.add("long-b", 2)
		time.Sleep(700 * time.Millisecond)
		s.add("long-c", 2)
		time.Sleep(150 * time.Millisecond)
		s.nodes[1].set(nodeWorks)
		s.nodes[2].set(nodeAway)
		for i := range 100 {
			s.add(fmt.Sprintf("long-x%d", i), 2)
			time.Sleep(time.Second)
		}
		if _, took, ok := s.repliesTo("long-a"); !ok || took > 5*time.Second {
			t.Errorf("long-a took %s, answered %v", took, ok)
		}
	})
}

// TestAdviceAfterOutage guards against calls that hold the nodes long after the service is back, since they
// wait for a service that counts as slow.
func TestAdviceAfterOutage(t *testing.T) {
	for _, n := range []int{3, 17} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			runFaultSim(t, n, func(t *testing.T, s *faultSim) {
				rate := 560 * time.Millisecond / time.Duration(n) * 3
				for i := range 20 {
					s.add(fmt.Sprintf("before-%d", i), 2)
					time.Sleep(rate)
				}
				for _, x := range s.nodes {
					x.set(nodeAway)
				}
				start := time.Now()
				for i := 0; time.Since(start) < 30*time.Second; i++ {
					s.add(fmt.Sprintf("during-%d", i), 2)
					time.Sleep(2 * time.Second)
				}
				for _, x := range s.nodes {
					x.set(nodeWorks)
				}
				for i := range 40 {
					s.add(fmt.Sprintf("after-%d", i), 1)
					time.Sleep(2 * time.Second)
				}
				s.checkLongest(t, "after", 3*time.Second)
			})
		})
	}
}

// TestShortCallsKeepServiceSlow guards against a learned ratio that short calls raise and never lower.
func TestShortCallsKeepServiceSlow(t *testing.T) {
	runFaultSim(t, 17, func(t *testing.T, s *faultSim) {
		for _, x := range s.nodes {
			x.set(nodeAway)
		}
		for i := range 10 {
			s.add(fmt.Sprintf("short-%d", i), 0)
			time.Sleep(time.Second)
		}
		for _, x := range s.nodes {
			x.set(nodeWorks)
		}
		for i := range 1000 {
			s.add(fmt.Sprintf("short-b%d", i), 0)
			time.Sleep(100 * time.Millisecond)
		}
		if r := s.queue.Stats().Slowness; r > 1.5 {
			t.Errorf("slowness %.1f after 1000 short calls that were answered in time", r)
		}
	})
}

// TestRefusingNodesTakeCalls guards against nodes whose calls fail at once and get the next ones a second
// later, without end.
func TestRefusingNodesTakeCalls(t *testing.T) {
	runFaultSim(t, 17, func(t *testing.T, s *faultSim) {
		for i := range 5 {
			s.nodes[6+i].set(nodeRefuses)
		}
		for i := range 500 {
			s.add(fmt.Sprintf("long-%d", i), 2)
			time.Sleep(80 * time.Millisecond)
		}
		for i := range 5 {
			if n := s.nodes[6+i].sentThrough(); n > 6 {
				t.Errorf("%d calls in 40 s through n%02d, which refuses all", n, 6+i)
			}
		}
	})
}

// TestOnlyNodeForShortCallsReachesService guards against long calls without an answer while only a node that
// is kept for short ones reaches the service.
func TestOnlyNodeForShortCallsReachesService(t *testing.T) {
	runFaultSim(t, 3, func(t *testing.T, s *faultSim) {
		s.nodes[1].set(nodeAway)
		s.nodes[2].set(nodeAway)
		s.add("long-a", 2)
		for i := range 60 {
			s.add(fmt.Sprintf("short-%d", i), 0)
			time.Sleep(time.Second)
		}
		s.checkLongest(t, "long", 3*time.Second)
	})
}

// TestTicketsOfSlowServiceHaveRunOut guards against answers of a slow service whose tickets count as expired
// when they arrive.
func TestTicketsOfSlowServiceHaveRunOut(t *testing.T) {
	for _, slow := range []float64{3, 5, 6, 7} {
		t.Run(fmt.Sprint(slow), func(t *testing.T) {
			runFaultSim(t, 17, func(t *testing.T, s *faultSim) {
				for _, x := range s.nodes {
					x.slowness = slow
				}
				for i := range 40 {
					s.add(fmt.Sprintf("long-%d", i), 2)
					time.Sleep(500 * time.Millisecond)
				}
				time.Sleep(20 * time.Second)
				if answered, expired := s.expiredAnswers(); expired > 0 {
					t.Errorf("of %d answers, %d have tickets that have run out", answered, expired)
				}
			})
		})
	}
}

// TestLateCallTakesNodeForShortOnes guards against urgent short calls behind a late long one that had an idle
// node for long calls.
func TestLateCallTakesNodeForShortOnes(t *testing.T) {
	runFaultSim(t, 2, func(t *testing.T, s *faultSim) {
		s.addSince("long-late", 2, time.Now().Add(-5*time.Second))
		s.add("long-new", 2)
		time.Sleep(10 * time.Millisecond)
		s.add("short-urgent", 0)
		time.Sleep(2 * time.Second)
		s.checkLongest(t, "short", 250*time.Millisecond)
	})
}

// TestEachCallIsAnsweredOnce guards against calls without an answer, or with two, beside nodes that come and
// go, stand still and refuse: their steps would wait for good.
func TestEachCallIsAnsweredOnce(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // Each seed must be reproducible.
			runFaultSim(t, 1+r.IntN(5), func(t *testing.T, s *faultSim) {
				s.noRetry = true
				all := s.advisers()
				kinds := []string{"long", "long", "short"}
				for i := range 150 {
					s.add(fmt.Sprintf("%s-%d", kinds[r.IntN(3)], i), r.IntN(3))
					time.Sleep(time.Duration(r.IntN(700)) * time.Millisecond)
					if r.IntN(6) == 0 {
						s.nodes[r.IntN(len(s.nodes))].set([]nodeMode{nodeWorks, nodeWorks, nodeAway, nodeRefuses}[r.IntN(4)])
					}
					if r.IntN(10) == 0 {
						var list []owner.Adviser
						for _, a := range all {
							if r.IntN(3) > 0 {
								list = append(list, a)
							}
						}
						if len(list) == 0 {
							list = all[:1]
						}
						s.setAdvisers(list)
					}
				}
				for _, n := range s.nodes {
					n.set(nodeWorks)
				}
				time.Sleep(5 * time.Minute)
				if calls, none, several := s.miscounted(); none+several > 0 {
					t.Errorf("of %d calls %d have no answer 5 min after the last fault, %d several; nodes %d of %d", calls, none, several, len(s.advisers()), len(all))
				}
			})
		})
	}
}
