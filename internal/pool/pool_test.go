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

// fakes are the counterparts of a pool: hosts, workers, job shards and instances.
type fakes struct {
	mu          sync.Mutex
	hosts       []platform.Host
	workers     map[string]*standin.Worker
	unreachable map[string]bool
	// noWait makes the workers answer at once, whatever wait was asked for.
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
	w, cut := f.workers[address], f.unreachable[address]
	f.contacts++
	if f.noWait {
		c.WaitMS = 0
	}
	f.mu.Unlock()
	if cut || w == nil {
		return worker.Report{}, errors.New("cut")
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

func (f *fakes) setUnreachable(id string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[id] = cut
}

// hasEvent reports whether an event of a kind was told for a task's attempt.
func (f *fakes) hasEvent(kind peer.EventKind, a worker.Attempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.events, func(e peer.Event) bool { return e.Kind == kind && e.Attempt == a })
}

// harness is a pool over fakes, in virtual time.
type harness struct {
	t     *testing.T
	fakes *fakes
	set   *pool.Set
	held  bool
}

func newHarness(t *testing.T, workers int) *harness {
	b := &harness{t: t, held: true, fakes: &fakes{
		workers: make(map[string]*standin.Worker), unreachable: make(map[string]bool), acceptsRequests: make(map[worker.Attempt]bool),
	}}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		h := platform.Host{ID: id, Address: id, DataCentre: "dc", Rack: "r", State: platform.HostLive, Capacity: size.Times(4)}
		b.fakes.hosts = append(b.fakes.hosts, h)
		b.fakes.workers[id] = standin.New(standin.Config{ID: id, Capacity: h.Capacity, Listen: func() (net.Listener, error) { return nil, net.ErrClosed }})
	}
	ctx, stop := context.WithCancel(context.Background())
	b.set = pool.NewSet(ctx, []shard.DataCentre{dc}, pool.Deps{
		Hosts: b.fakes, Workers: b.fakes, Events: b.fakes, Instances: b.fakes,
		Weights: func() policy.Weights { return policy.Weights{Packing: 1} },
	}, pool.Options{
		Lease: 6 * time.Second, Margin: time.Second, Grace: 20 * time.Second, Reservation: 5 * time.Second,
		HostInterval: time.Second, SetAside: 10 * time.Second,
	}, zap.NewNop())
	done := make(chan struct{})
	go func() { defer close(done); _ = b.set.Run(ctx) }()
	b.acquire(1)
	t.Cleanup(func() {
		b.set.Drop(key)
		stop()
		<-done
		for _, w := range b.fakes.workers {
			w.Close()
		}
	})
	return b
}

func (b *harness) acquire(epoch int64) {
	b.t.Helper()
	err := b.set.Acquire(b.t.Context(), shard.Grant{
		Owner: "n", Key: key, Epoch: epoch, Held: func() bool { return b.held },
		LapsedFor: func() time.Duration { return 0 },
	})
	if err != nil {
		b.t.Fatal(err)
	}
	time.Sleep(time.Second)
}

func newSpec(job string, n int, command ...string) worker.Spec {
	return worker.Spec{Attempt: worker.Attempt{Job: job, N: n}, Size: size, Command: command}
}

func (b *harness) reserve(preempt bool, specs ...worker.Spec) []peer.Placement {
	b.t.Helper()
	reply, err := b.set.Reserve(b.t.Context(), peer.ReserveRequest{Shard: string(key), Specs: specs, Preempt: preempt})
	if err != nil {
		b.t.Fatal(err)
	}
	return reply.Placements
}

func (b *harness) confirm(pls ...peer.Placement) peer.ConfirmState {
	b.t.Helper()
	reply, err := b.set.Confirm(b.t.Context(), peer.ConfirmRequest{Shard: string(key), Placements: pls})
	if err != nil {
		b.t.Fatal(err)
	}
	return reply.Items[0].State
}

// run starts a task and waits a second.
func (b *harness) run(sp worker.Spec) peer.Placement {
	b.t.Helper()
	pls := b.reserve(false, sp)
	if len(pls) != 1 || b.confirm(pls[0]) != peer.ConfirmAccepted {
		b.t.Fatalf("%s has no place", sp.Attempt)
	}
	time.Sleep(time.Second)
	return pls[0]
}

func runInVirtualTime(t *testing.T, workers int, fn func(b *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { fn(newHarness(t, workers)) })
}

func TestReservationExpires(t *testing.T) {
	runInVirtualTime(t, 1, func(b *harness) {
		pls := b.reserve(false, newSpec("a", 1))
		time.Sleep(10 * time.Second)
		if got := b.confirm(pls[0]); got != peer.ConfirmVoid {
			t.Errorf("a confirm after its time: %s", got)
		}
		if b.fakes.hasEvent(peer.EventStarted, pls[0].Attempt) {
			t.Error("it was started")
		}
	})
}

func TestRepeatedMessagesStartOnce(t *testing.T) {
	runInVirtualTime(t, 2, func(b *harness) {
		sp := newSpec("a", 1, "sleep", "2s")
		first := b.run(sp)
		time.Sleep(10 * time.Second)
		// The task has ended and was acknowledged; both messages come again.
		again := b.reserve(false, sp)
		if got := b.confirm(first); got != peer.ConfirmVoid {
			t.Errorf("the old confirm: %s", got)
		}
		if len(again) == 1 && again[0].Reservation == first.Reservation {
			t.Error("the new reservation has the old name")
		}
		time.Sleep(time.Second)
		starts := 0
		for _, w := range b.fakes.workers {
			for _, e := range w.Evidence() {
				if e.Saw == standin.SawStart {
					starts++
				}
			}
		}
		if starts != 1 {
			t.Errorf("started %d times", starts)
		}
	})
}

func TestTaskIsLostOnlyAfterLease(t *testing.T) {
	runInVirtualTime(t, 1, func(b *harness) {
		pl := b.run(newSpec("a", 1, "sleep", "1h"))
		b.fakes.setUnreachable("w0", true)
		for range 60 {
			if b.fakes.hasEvent(peer.EventLost, pl.Attempt) {
				if b.fakes.workers["w0"].Running() > 0 {
					t.Error("told lost while it runs")
				}
				return
			}
			time.Sleep(500 * time.Millisecond)
		}
		t.Error("never told lost")
	})
}

func TestTakeoverAdoptsTasks(t *testing.T) {
	runInVirtualTime(t, 1, func(b *harness) {
		pl := b.run(newSpec("a", 1, "sleep", "1h"))
		b.set.Drop(key)
		b.acquire(2)
		if got := b.confirm(pl); got != peer.ConfirmAccepted {
			t.Errorf("a running task after a takeover: %s", got)
		}
		never := pl
		never.Attempt.Job = "b"
		if got := b.confirm(never); got != peer.ConfirmVoid {
			t.Errorf("a task that was never started: %s", got)
		}
		never.Incarnation = "another life"
		if got := b.confirm(never); got != peer.ConfirmLost {
			t.Errorf("a task of a worker that was restarted: %s", got)
		}
	})
}

// TestUrgentWorkPreempts fills a worker with preemptible tasks: urgent work
// starts within a second, one task goes, and it was checkpointed before.
func TestUrgentWorkPreempts(t *testing.T) {
	runInVirtualTime(t, 1, func(b *harness) {
		for i := range 4 {
			sp := newSpec(fmt.Sprintf("low%d", i), 1, "sleep", "1h")
			sp.Preemptible, sp.Priority = true, 1
			b.run(sp)
		}
		urgent := newSpec("urgent", 1, "sleep", "1h")
		urgent.Priority, urgent.Class = 9, "counter"
		if got := b.reserve(false, urgent); len(got) != 0 {
			t.Fatal("there was room")
		}
		pls := b.reserve(true, urgent)
		if len(pls) != 1 {
			t.Fatal("no room was made")
		}
		b.confirm(pls[0])
		time.Sleep(time.Second)
		if !b.fakes.hasEvent(peer.EventStarted, urgent.Attempt) {
			t.Error("urgent work has not started within a second")
		}
		var saw []standin.Saw
		for _, e := range b.fakes.workers["w0"].Evidence() {
			if e.Saw != standin.SawOwner {
				saw = append(saw, e.Saw)
			}
		}
		saw = saw[4:]
		want := []standin.Saw{standin.SawCheckpoint, standin.SawStopped, standin.SawStart}
		if !slices.Equal(saw, want) {
			t.Errorf("the worker saw %v, want %v", saw, want)
		}
	})
}

// TestExcessUsageIsNotReserved runs a task that uses three times what it
// declared: it is throttled, and the room it takes is not given to others.
func TestExcessUsageIsNotReserved(t *testing.T) {
	runInVirtualTime(t, 1, func(b *harness) {
		b.run(newSpec("greedy", 1, "sleep", "1h", "use", "3000"))
		time.Sleep(10 * time.Second)
		if got := b.reserve(false, newSpec("a", 1), newSpec("b", 1)); len(got) != 1 {
			t.Errorf("%d tasks were given places beside it, want 1", len(got))
		}
		throttled := slices.ContainsFunc(b.fakes.workers["w0"].Evidence(), func(e standin.Sight) bool { return e.Saw == standin.SawThrottle })
		if !throttled {
			t.Error("it was not throttled")
		}
	})
}

// TestFailingWorkerIsSetAside has one worker fail unlike jobs: it is set aside, and
// comes back with a probe.
func TestFailingWorkerIsSetAside(t *testing.T) {
	runInVirtualTime(t, 1, func(b *harness) {
		for i := range 3 {
			b.run(newSpec(fmt.Sprintf("job%d", i), 1, "fail"))
		}
		if got := b.reserve(false, newSpec("next", 1)); len(got) != 0 {
			t.Fatal("a worker that fails everything is given more")
		}
		time.Sleep(11 * time.Second)
		if got := b.reserve(false, newSpec("p1", 1, "sleep", "1s"), newSpec("p2", 1)); len(got) != 1 {
			t.Fatalf("%d probes, want 1", len(got))
		} else {
			b.confirm(got[0])
		}
		time.Sleep(3 * time.Second)
		if got := b.reserve(false, newSpec("n1", 1), newSpec("n2", 1)); len(got) != 2 {
			t.Errorf("after a good probe %d tasks have places, want 2", len(got))
		}
	})
}

// TestFailingJobDoesNotSetWorkerAside has one job fail again and again: the worker stays in use.
func TestFailingJobDoesNotSetWorkerAside(t *testing.T) {
	runInVirtualTime(t, 1, func(b *harness) {
		for n := range 6 {
			b.run(newSpec("bad", n+1, "fail"))
		}
		if got := b.reserve(false, newSpec("next", 1)); len(got) != 1 {
			t.Error("a worker is set aside for one bad job")
		}
	})
}

// TestContactRateOfWorkerThatDoesNotWait answers every contact at once: it is not asked without end.
func TestContactRateOfWorkerThatDoesNotWait(t *testing.T) {
	runInVirtualTime(t, 1, func(b *harness) {
		b.fakes.mu.Lock()
		b.fakes.noWait = true
		b.fakes.mu.Unlock()
		b.run(newSpec("a", 1, "sleep", "1h"))
		b.fakes.mu.Lock()
		before := b.fakes.contacts
		b.fakes.mu.Unlock()
		time.Sleep(time.Minute)
		b.fakes.mu.Lock()
		defer b.fakes.mu.Unlock()
		if n := b.fakes.contacts - before; n > 40 {
			t.Errorf("%d contacts in a minute, at a renewal each 2 s", n)
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
	err := s.Acquire(ctx, shard.Grant{Owner: "n", Key: key, Epoch: 1, Held: func() bool { return true }, LapsedFor: func() time.Duration { return 0 }})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Drop(key)
	for sums, _ := s.Summaries(); sums[0].Workers < workers; sums, _ = s.Summaries() {
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
