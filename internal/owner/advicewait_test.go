// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/internal/scheduler"
)

// maxStand is how long nothing of a job may run beside room.
const maxStand = 3 * time.Second

// simulatedService is an advice service that handles the calls of each node one after the other.
type simulatedService struct {
	mu sync.Mutex
	// slowness is how many times longer than stated a call takes, and silent are the nodes that give no
	// answer.
	slowness float64
	silent   map[string]bool
	// sentThrough is how many calls were sent through each node, and handled how many the service has
	// worked for.
	sentThrough map[string]int
	handled     int
}

// silence keeps nodes from answering.
func (s *simulatedService) silence(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		s.silent[name] = true
	}
}

// simulatedAdviser is a node through which the service is called.
type simulatedAdviser struct {
	name    string
	service *simulatedService
	slot    chan struct{}
}

func (a *simulatedAdviser) Name() string { return a.name }

func (a *simulatedAdviser) Advise(ctx context.Context, step scheduler.StepID, _ []string) ([]cluster.Ticket, time.Duration, error) {
	s := a.service
	s.mu.Lock()
	s.sentThrough[a.name]++
	silent, slowness := s.silent[a.name], s.slowness
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	answered := make(chan struct{})
	go func() {
		a.slot <- struct{}{}
		time.Sleep(time.Duration(float64(statedDuration(step)) * slowness))
		s.mu.Lock()
		s.handled++
		s.mu.Unlock()
		<-a.slot
		close(answered)
	}()
	select {
	case <-answered:
		return nil, 2500 * time.Millisecond, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// statedDuration is how long a call for a step takes by the policy of its queue.
func statedDuration(step scheduler.StepID) time.Duration {
	if strings.HasPrefix(step.Job, "short") {
		return 40 * time.Millisecond
	}
	return 560 * time.Millisecond
}

// adviceWaits collects how long each call took from its request to its answer, over all attempts.
type adviceWaits struct {
	mu      sync.Mutex
	added   map[string]time.Time
	took    map[string]time.Duration
	failed  int
	answers int
}

// adviceSim is a queue of calls with simulated nodes.
type adviceSim struct {
	queue   *owner.AdviceQueue
	service *simulatedService
	waits   *adviceWaits
}

// adviceNodes is how many nodes call the service for a shard.
const adviceNodes = 17

// runAdviceSim runs a test in virtual time.
func runAdviceSim(t *testing.T, test func(t *testing.T, s *adviceSim)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		service := &simulatedService{slowness: 1, silent: make(map[string]bool), sentThrough: make(map[string]int)}
		var advisers []owner.Adviser
		for i := range adviceNodes {
			advisers = append(advisers, &simulatedAdviser{name: fmt.Sprintf("n%02d", i), service: service, slot: make(chan struct{}, 1)})
		}
		s := &adviceSim{service: service, waits: &adviceWaits{added: make(map[string]time.Time), took: make(map[string]time.Duration)}}
		s.queue = owner.NewAdviceQueue(ctx, func() []owner.Adviser { return advisers }, s.answered)
		dispatched := dispatchUntil(ctx, s.queue)
		test(t, s)
		cancel()
		<-dispatched
		time.Sleep(time.Minute)
	})
}

// dispatchUntil dispatches the calls of a queue as often as an owner does at least, until ctx ends. The channel is
// closed then.
func dispatchUntil(ctx context.Context, q *owner.AdviceQueue) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			q.Dispatch()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	return ended
}

// add requests a call for a job of which nothing runs. A failed call is made again, as the scheduler does.
func (s *adviceSim) add(job string, rank scheduler.Rank) {
	s.waits.mu.Lock()
	if _, again := s.waits.added[job]; !again {
		s.waits.added[job] = time.Now()
	}
	since := s.waits.added[job]
	s.waits.mu.Unlock()
	step := scheduler.StepID{Job: job}
	s.queue.Add(scheduler.RequestAdvice{Step: step, ExpectedDuration: statedDuration(step), Rank: rank, StandsSince: since})
}

func (s *adviceSim) answered(a scheduler.RequestAdvice, answer owner.Advice) {
	w := s.waits
	w.mu.Lock()
	if answer.Err != nil {
		w.failed++
		w.mu.Unlock()
		if !errors.Is(answer.Err, context.Canceled) {
			time.AfterFunc(60*time.Millisecond, func() { s.add(a.Step.Job, a.Rank) })
		}
		return
	}
	w.answers++
	w.took[a.Step.Job] = time.Since(w.added[a.Step.Job])
	w.mu.Unlock()
}

// checkAnswered checks that all calls of jobs with a prefix were answered within a time.
func (s *adviceSim) checkAnswered(t *testing.T, prefix string, most time.Duration) {
	t.Helper()
	s.waits.mu.Lock()
	defer s.waits.mu.Unlock()
	late, open, longest := 0, 0, time.Duration(0)
	for job, at := range s.waits.added {
		if !strings.HasPrefix(job, prefix) {
			continue
		}
		took, ok := s.waits.took[job]
		if !ok {
			open++
			took = time.Since(at)
		}
		if longest = max(longest, took); took > most {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d calls of %q took over %s, the longest %s; %d have no answer", late, prefix, most, longest, open)
	}
}

// TestLessUrgentCallsAreStarved guards against calls for advice that wait for as long as more urgent ones
// keep coming, so that their jobs stand beside room: they were served by rank alone.
func TestLessUrgentCallsAreStarved(t *testing.T) {
	runAdviceSim(t, func(t *testing.T, s *adviceSim) {
		// More urgent calls take all of the time of the nodes for long calls, now and then a little more.
		for i := range 600 {
			s.add(fmt.Sprintf("urgent-%d", i), scheduler.Rank{Priority: 1})
			if i%20 == 10 {
				s.add(fmt.Sprintf("late-%d", i), scheduler.Rank{Priority: 2})
			}
			time.Sleep(560 * time.Millisecond / 11)
		}
		time.Sleep(maxStand)
		s.checkAnswered(t, "", maxStand)
	})
}

// TestNodesStandIdleBesideWaitingCalls guards against long calls for advice that wait for seconds while a
// third of the nodes is kept for short calls that hardly come.
func TestNodesStandIdleBesideWaitingCalls(t *testing.T) {
	runAdviceSim(t, func(t *testing.T, s *adviceSim) {
		const calls = 64 // 2.1 s of work for all nodes, 3.3 s for two thirds of them
		for i := range calls {
			s.add(fmt.Sprintf("long-%d", i), scheduler.Rank{Priority: 2})
		}
		for i := range 40 {
			s.add(fmt.Sprintf("short-%d", i), scheduler.Rank{})
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(maxStand)
		s.checkAnswered(t, "long", maxStand)
		s.checkAnswered(t, "short", 250*time.Millisecond)
	})
}

// TestFrozenNodeDelaysAdvice guards against jobs that stand since their call for advice goes through a
// node that has stopped: the call was made elsewhere only after its limit of time.
func TestFrozenNodeDelaysAdvice(t *testing.T) {
	runAdviceSim(t, func(t *testing.T, s *adviceSim) {
		for i := range 300 {
			if i == 100 {
				s.service.silence("n00", "n06")
			}
			s.add(fmt.Sprintf("long-%d", i), scheduler.Rank{Priority: 2})
			s.add(fmt.Sprintf("short-%d", i), scheduler.Rank{})
			time.Sleep(80 * time.Millisecond)
		}
		time.Sleep(maxStand)
		s.checkAnswered(t, "long", 2*time.Second)
		s.checkAnswered(t, "short", 800*time.Millisecond)
	})
}

// TestNodesCutOffFromAdviceServiceTakeCalls guards against nodes that can't reach the service and get
// their share of the calls without end: each was avoided for only a second.
func TestNodesCutOffFromAdviceServiceTakeCalls(t *testing.T) {
	const cutOff, most = 5, 6
	runAdviceSim(t, func(t *testing.T, s *adviceSim) {
		for i := range cutOff {
			s.service.silence(fmt.Sprintf("n%02d", 16-i))
		}
		for i := range 500 {
			s.add(fmt.Sprintf("long-%d", i), scheduler.Rank{Priority: 2})
			time.Sleep(80 * time.Millisecond)
		}
		time.Sleep(maxStand)
		s.checkAnswered(t, "long", maxStand)
		s.service.mu.Lock()
		defer s.service.mu.Unlock()
		for name := range s.service.silent {
			if n := s.service.sentThrough[name]; n > most {
				t.Errorf("%d calls went through %s in 40 s, which can't reach the service; %d are allowed", n, name, most)
			}
		}
	})
}

// TestSlowServiceWorksInVain guards against calls that are given up and made again while the service,
// slower than its policy states, works for them: next to none of its work was used.
func TestSlowServiceWorksInVain(t *testing.T) {
	runAdviceSim(t, func(t *testing.T, s *adviceSim) {
		s.service.mu.Lock()
		s.service.slowness = 5
		s.service.mu.Unlock()
		for i := range 40 {
			s.add(fmt.Sprintf("long-%d", i), scheduler.Rank{Priority: 2})
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		s.waits.mu.Lock()
		defer s.waits.mu.Unlock()
		s.service.mu.Lock()
		defer s.service.mu.Unlock()
		if answers := s.waits.answers; answers*4 < s.service.handled*3 {
			t.Errorf("of %d calls that the service has handled, the answers of %d were used", s.service.handled, answers)
		}
		if answers := len(s.waits.took); answers < 38 {
			t.Errorf("%d of 40 calls were answered", answers)
		}
	})
}
