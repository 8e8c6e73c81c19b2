// SPDX-License-Identifier: Apache-2.0

package pool_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/peer"
	"switchbank.example/switchbank/internal/platform"
	"switchbank.example/switchbank/internal/policy"
	"switchbank.example/switchbank/internal/pool"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/shard"
	"switchbank.example/switchbank/internal/worker"
	standin "switchbank.example/switchbank/standin/worker"
)

var (
	dc   = shard.DataCentre{Name: "dc", WorkerShards: 1}
	key  = shard.Layout(0, []shard.DataCentre{dc})[0]
	size = resource.Amount{CPUMilli: 1000, MemoryMB: 1000}
)

// fakes implement the dependencies of a pool: hosts, workers, job shards and instances.
type fakes struct {
	mu          sync.Mutex
	hosts       []platform.Host
	workers     map[string]*standin.Worker
	unreachable map[string]bool
	// noWait makes the workers answer at once, whatever wait is requested.
	noWait          bool
	contacts        int
	events          []peer.Event
	acceptsRequests map[worker.Attempt]bool
}

func (f *fakes) Hosts(context.Context, string) ([]platform.Host, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.hosts), nil
}

func (f *fakes) Contact(ctx context.Context, address string, c worker.Contact) (worker.Report, error) {
	f.mu.Lock()
	w, isolated := f.workers[address], f.unreachable[address]
	f.contacts++
	if f.noWait {
		c.WaitMS = 0
	}
	f.mu.Unlock()
	if isolated || w == nil {
		return worker.Report{}, errors.New("unreachable")
	}
	return w.Contact(ctx, c)
}

func (f *fakes) Deliver(_ context.Context, _ string, evs []peer.Event) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, evs...)
	return nil
}

func (f *fakes) Shard(job string) string { return job }

func (f *fakes) Add(i pool.Instance) { f.SetOpen(i.Attempt, true) }

func (f *fakes) SetOpen(a worker.Attempt, open bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acceptsRequests[a] = open
}

func (f *fakes) Remove(a worker.Attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.acceptsRequests, a)
}

func (f *fakes) Drain(context.Context, []worker.Attempt) {}

func (f *fakes) setUnreachable(id string, isolated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[id] = isolated
}

// hasEvent reports whether an event of a kind was delivered for an attempt.
func (f *fakes) hasEvent(kind peer.EventKind, a worker.Attempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.events, func(e peer.Event) bool { return e.Kind == kind && e.Attempt == a })
}

// harness is a pool with fakes, in virtual time.
type harness struct {
	t     *testing.T
	fakes *fakes
	set   *pool.Set
	held  bool
}

func newHarness(t *testing.T, workers int) *harness {
	h := &harness{t: t, held: true, fakes: &fakes{
		workers: make(map[string]*standin.Worker), unreachable: make(map[string]bool), acceptsRequests: make(map[worker.Attempt]bool),
	}}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		host := platform.Host{ID: id, Address: id, DataCentre: "dc", Rack: "r", State: platform.HostLive, Capacity: size.Times(4)}
		h.fakes.hosts = append(h.fakes.hosts, host)
		h.fakes.workers[id] = standin.New(standin.Config{ID: id, Capacity: host.Capacity, Listen: func() (net.Listener, error) { return nil, net.ErrClosed }})
	}
	ctx, stop := context.WithCancel(context.Background())
	h.set = pool.NewSet(ctx, []shard.DataCentre{dc}, pool.Deps{
		Hosts: h.fakes, Workers: h.fakes, Events: h.fakes, Instances: h.fakes,
		Weights: func() policy.Weights { return policy.Weights{Packing: 1} },
	}, pool.Options{
		Lease: 6 * time.Second, Margin: time.Second, Grace: 20 * time.Second, Reservation: 5 * time.Second,
		HostInterval: time.Second, Quarantine: 10 * time.Second,
	}, zap.NewNop())
	done := make(chan struct{})
	go func() { defer close(done); _ = h.set.Run(ctx) }()
	h.acquire(1)
	t.Cleanup(func() {
		h.set.Drop(key)
		stop()
		<-done
		for _, w := range h.fakes.workers {
			w.Close()
		}
	})
	return h
}

func (h *harness) acquire(epoch int64) {
	h.t.Helper()
	err := h.set.Acquire(h.t.Context(), shard.Grant{
		Owner: "n", Key: key, Epoch: epoch, Held: func() bool { return h.held },
		ExpiredFor: func() time.Duration { return 0 },
	})
	if err != nil {
		h.t.Fatal(err)
	}
	time.Sleep(time.Second)
}

func newSpec(job string, n int, command ...string) worker.Spec {
	return worker.Spec{Attempt: worker.Attempt{Job: job, N: n}, Size: size, Command: command}
}

func (h *harness) reserve(preempt bool, specs ...worker.Spec) []peer.Placement {
	h.t.Helper()
	reply, err := h.set.Reserve(h.t.Context(), peer.ReserveRequest{Shard: string(key), Specs: specs, Preempt: preempt})
	if err != nil {
		h.t.Fatal(err)
	}
	return reply.Placements
}

func (h *harness) confirm(pls ...peer.Placement) peer.ConfirmState {
	h.t.Helper()
	reply, err := h.set.Confirm(h.t.Context(), peer.ConfirmRequest{Shard: string(key), Placements: pls})
	if err != nil {
		h.t.Fatal(err)
	}
	return reply.Items[0].State
}

// run reserves and confirms a task and lets a second pass.
func (h *harness) run(sp worker.Spec) peer.Placement {
	h.t.Helper()
	pls := h.reserve(false, sp)
	if len(pls) != 1 || h.confirm(pls[0]) != peer.ConfirmAccepted {
		h.t.Fatalf("%s was not placed", sp.Attempt)
	}
	time.Sleep(time.Second)
	return pls[0]
}

func runInVirtualTime(t *testing.T, workers int, fn func(h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { fn(newHarness(t, workers)) })
}

func TestReservationExpires(t *testing.T) {
	runInVirtualTime(t, 1, func(h *harness) {
		pls := h.reserve(false, newSpec("a", 1))
		time.Sleep(10 * time.Second)
		if got := h.confirm(pls[0]); got != peer.ConfirmNeverRan {
			t.Errorf("a confirm after the reservation has expired returned %s, want void", got)
		}
		if h.fakes.hasEvent(peer.EventStarted, pls[0].Attempt) {
			t.Error("the task was started")
		}
	})
}

func TestRepeatedMessagesStartOnce(t *testing.T) {
	runInVirtualTime(t, 2, func(h *harness) {
		sp := newSpec("a", 1, "sleep", "2s")
		first := h.run(sp)
		time.Sleep(10 * time.Second)
		// The task has ended, and its end was acknowledged. Both messages are repeated.
		again := h.reserve(false, sp)
		if got := h.confirm(first); got != peer.ConfirmNeverRan {
			t.Errorf("the repeated confirm returned %s, want void", got)
		}
		if len(again) == 1 && again[0].Reservation == first.Reservation {
			t.Error("the new reservation has the ID of the old one")
		}
		time.Sleep(time.Second)
		starts := 0
		for _, w := range h.fakes.workers {
			for _, e := range w.Events() {
				if e.Kind == standin.EventStart {
					starts++
				}
			}
		}
		if starts != 1 {
			t.Errorf("the task was started %d times, want 1", starts)
		}
	})
}

func TestTaskIsLostOnlyAfterLease(t *testing.T) {
	runInVirtualTime(t, 1, func(h *harness) {
		pl := h.run(newSpec("a", 1, "sleep", "1h"))
		h.fakes.setUnreachable("w0", true)
		for range 60 {
			if h.fakes.hasEvent(peer.EventLost, pl.Attempt) {
				if h.fakes.workers["w0"].Running() > 0 {
					t.Error("the task was reported as lost while it runs")
				}
				return
			}
			time.Sleep(500 * time.Millisecond)
		}
		t.Error("the task was never reported as lost")
	})
}

func TestTakeoverAdoptsTasks(t *testing.T) {
	runInVirtualTime(t, 1, func(h *harness) {
		pl := h.run(newSpec("a", 1, "sleep", "1h"))
		h.set.Drop(key)
		h.acquire(2)
		if got := h.confirm(pl); got != peer.ConfirmAccepted {
			t.Errorf("a confirm of a running task after a takeover returned %s, want accepted", got)
		}
		never := pl
		never.Attempt.Job = "b"
		if got := h.confirm(never); got != peer.ConfirmNeverRan {
			t.Errorf("a confirm of a task that was never started returned %s, want void", got)
		}
		never.Incarnation = "another incarnation"
		if got := h.confirm(never); got != peer.ConfirmLost {
			t.Errorf("a confirm of a task of a worker that was restarted returned %s, want lost", got)
		}
	})
}

// TestUrgentWorkPreempts fills a worker with preemptible tasks and checks that an urgent task
// starts within a second, after one of them was checkpointed and stopped.
func TestUrgentWorkPreempts(t *testing.T) {
	runInVirtualTime(t, 1, func(h *harness) {
		for i := range 4 {
			sp := newSpec(fmt.Sprintf("low%d", i), 1, "sleep", "1h")
			sp.Preemptible, sp.Priority = true, 1
			h.run(sp)
		}
		urgent := newSpec("urgent", 1, "sleep", "1h")
		urgent.Priority, urgent.Class = 9, "counter"
		if got := h.reserve(false, urgent); len(got) != 0 {
			t.Fatal("the urgent task was placed without preemption")
		}
		pls := h.reserve(true, urgent)
		if len(pls) != 1 {
			t.Fatal("the urgent task was not placed with preemption")
		}
		h.confirm(pls[0])
		time.Sleep(time.Second)
		if !h.fakes.hasEvent(peer.EventStarted, urgent.Attempt) {
			t.Error("the urgent task has not started within a second")
		}
		var saw []standin.EventKind
		for _, e := range h.fakes.workers["w0"].Events() {
			if e.Kind != standin.EventNewOwner {
				saw = append(saw, e.Kind)
			}
		}
		saw = saw[4:]
		want := []standin.EventKind{standin.EventCheckpoint, standin.EventStopped, standin.EventStart}
		if !slices.Equal(saw, want) {
			t.Errorf("the worker saw %v, want %v", saw, want)
		}
	})
}

// TestExcessUsageIsNotReserved checks that a task that uses three times its declared size is
// throttled, and that the capacity it uses is not reserved for others.
func TestExcessUsageIsNotReserved(t *testing.T) {
	runInVirtualTime(t, 1, func(h *harness) {
		h.run(newSpec("greedy", 1, "sleep", "1h", "use", "3000"))
		time.Sleep(10 * time.Second)
		if got := h.reserve(false, newSpec("a", 1), newSpec("b", 1)); len(got) != 1 {
			t.Errorf("%d tasks were placed beside it, want 1", len(got))
		}
		throttled := slices.ContainsFunc(h.fakes.workers["w0"].Events(), func(e standin.Event) bool { return e.Kind == standin.EventThrottle })
		if !throttled {
			t.Error("the task was not throttled")
		}
	})
}

// TestFailingWorkerIsQuarantined checks that a worker on which different jobs fail is quarantined,
// and first gets a single task as a probe afterwards.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	runInVirtualTime(t, 1, func(h *harness) {
		for i := range 3 {
			h.run(newSpec(fmt.Sprintf("job%d", i), 1, "fail"))
		}
		if got := h.reserve(false, newSpec("next", 1)); len(got) != 0 {
			t.Fatal("a worker that fails all tasks gets more")
		}
		time.Sleep(11 * time.Second)
		if got := h.reserve(false, newSpec("p1", 1, "sleep", "1s"), newSpec("p2", 1)); len(got) != 1 {
			t.Fatalf("%d tasks were placed as probes, want 1", len(got))
		} else {
			h.confirm(got[0])
		}
		time.Sleep(3 * time.Second)
		if got := h.reserve(false, newSpec("n1", 1), newSpec("n2", 1)); len(got) != 2 {
			t.Errorf("%d tasks were placed after a successful probe, want 2", len(got))
		}
	})
}

// TestFailingJobDoesNotQuarantineWorker checks that a worker stays in use while a single job fails
// again and again.
func TestFailingJobDoesNotQuarantineWorker(t *testing.T) {
	runInVirtualTime(t, 1, func(h *harness) {
		for n := range 6 {
			h.run(newSpec("bad", n+1, "fail"))
		}
		if got := h.reserve(false, newSpec("next", 1)); len(got) != 1 {
			t.Error("the worker was quarantined because of one failing job")
		}
	})
}

// TestContactRateOfWorkerThatDoesNotWait checks that a worker that answers every contact at once
// is not contacted in a tight loop.
func TestContactRateOfWorkerThatDoesNotWait(t *testing.T) {
	runInVirtualTime(t, 1, func(h *harness) {
		h.fakes.mu.Lock()
		h.fakes.noWait = true
		h.fakes.mu.Unlock()
		h.run(newSpec("a", 1, "sleep", "1h"))
		h.fakes.mu.Lock()
		before := h.fakes.contacts
		h.fakes.mu.Unlock()
		time.Sleep(time.Minute)
		h.fakes.mu.Lock()
		defer h.fakes.mu.Unlock()
		if n := h.fakes.contacts - before; n > 40 {
			t.Errorf("%d contacts in a minute with a renewal each 2 s, want at most 40", n)
		}
	})
}

func benchmarkReserve(b *testing.B, workers int) {
	f := &fakes{workers: make(map[string]*standin.Worker), unreachable: make(map[string]bool), acceptsRequests: make(map[worker.Attempt]bool)}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		h := platform.Host{ID: id, Address: id, DataCentre: "dc", Rack: fmt.Sprint(i / 8), State: platform.HostLive, Capacity: size.Times(64)}
		f.hosts = append(f.hosts, h)
		f.workers[id] = standin.New(standin.Config{ID: id, Capacity: h.Capacity})
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s := pool.NewSet(ctx, []shard.DataCentre{dc}, pool.Deps{
		Hosts: f, Workers: f, Events: f, Instances: f, Weights: func() policy.Weights { return policy.Weights{Packing: 1} },
	}, pool.Options{Lease: time.Hour, Margin: time.Second, Reservation: time.Hour, HostInterval: time.Hour}, zap.NewNop())
	err := s.Acquire(ctx, shard.Grant{Owner: "n", Key: key, Epoch: 1, Held: func() bool { return true }, ExpiredFor: func() time.Duration { return 0 }})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Drop(key)
	for summaries, _ := s.Summaries(); summaries[0].Workers < workers; summaries, _ = s.Summaries() {
		time.Sleep(time.Millisecond)
	}
	const batch = 64
	specs := make([]worker.Spec, batch)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		for i := range specs {
			specs[i] = worker.Spec{Attempt: worker.Attempt{Job: "j", Task: i, N: n}, Size: size}
		}
		reply, _ := s.Reserve(ctx, peer.ReserveRequest{Shard: string(key), Specs: specs})
		_, _ = s.CancelReservations(ctx, peer.StopRequest{Shard: string(key), Placements: reply.Placements})
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*batch), "ns/decision")
}

func BenchmarkReserve64(b *testing.B)   { benchmarkReserve(b, 64) }
func BenchmarkReserve1024(b *testing.B) { benchmarkReserve(b, 1024) }
