// SPDX-License-Identifier: Apache-2.0

package fanout_test

import (
	"compress/flate"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/fanout"
	"switchbank.example/switchbank/standin/network"
)

// startTimeout is how long an owner waits for the answer to a start.
const startTimeout = 300 * time.Millisecond

// workers simulates the workers as one node reaches them, and counts the calls that the node
// makes.
type workers struct {
	node string
	mu   sync.Mutex
	// calls counts the calls of each worker.
	calls map[string]int
	// reply is the answer to a start; empty for ReplyOK.
	reply cluster.Reply
}

func (w *workers) record(worker string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[worker]++
}

// callsTo returns how often a worker was called.
func (w *workers) callsTo(worker string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls[worker]
}

func (w *workers) total() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.calls {
		n += c
	}
	return n
}

func (w *workers) Start(_ context.Context, o cluster.StartOrder) cluster.Reply {
	w.record(o.Worker)
	if w.reply != "" {
		return w.reply
	}
	return cluster.ReplyOK
}

func (w *workers) Stop(_ context.Context, o cluster.Order, _ cluster.TaskID, _ int64) cluster.Reply {
	w.record(o.Worker)
	return cluster.ReplyOK
}

func (w *workers) Pace(_ context.Context, o cluster.Order, _ cluster.TaskID, _ int64, _ int) cluster.Reply {
	w.record(o.Worker)
	return cluster.ReplyOK
}

// Hold answers when its wait is over, like a worker on which no run ends.
func (w *workers) Hold(ctx context.Context, o cluster.Order, lastSeen int64, wait time.Duration) (cluster.Report, cluster.Reply) {
	w.record(o.Worker)
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return cluster.Report{}, cluster.ReplyUnknown
	}
	return cluster.Report{ClockMS: lastSeen, Running: []cluster.RunStatus{{Task: cluster.TaskID{Job: "j", Index: 3}, Run: 7, Percent: 50}}}, cluster.ReplyOK
}

// fixture is an owner with helpers on an in-memory network.
type fixture struct {
	net     *network.Network
	client  *fanout.Client
	direct  *workers
	helpers map[string]*workers
	stops   []func()
}

func newFixture(helpers int) *fixture {
	r := &fixture{net: network.New(), direct: &workers{node: "owner", calls: make(map[string]int)}, helpers: make(map[string]*workers)}
	var list []fanout.Helper
	for i := range helpers {
		name := fmt.Sprintf("h%d", i)
		w := &workers{node: name, calls: make(map[string]int)}
		r.helpers[name] = w
		h := fanout.NewServer(w, zap.NewNop())
		s := &http.Server{Handler: h}
		l := r.net.Listen(name + ":1")
		go func() { _ = s.Serve(l) }()
		r.stops = append(r.stops, func() { h.Close(); _ = s.Close() })
		list = append(list, fanout.Helper{Name: name, URL: "http://" + name + ":1"})
	}
	r.client = fanout.New(fanout.Config{
		Direct: r.direct, Helpers: func(int) ([]fanout.Helper, bool) { return list, helpers > 0 }, OnFailure: func(string) {}, Log: zap.NewNop(),
		Client: &http.Client{Transport: &http.Transport{DialContext: r.net.Dial("owner")}},
	})
	return r
}

func (r *fixture) close() {
	r.client.Close()
	for _, stop := range r.stops {
		stop()
	}
	time.Sleep(5 * time.Second)
}

// start starts one run on each of n workers at once. It returns how many starts got each
// reply, and the time until the last reply.
func (r *fixture) start(n int) (map[cluster.Reply]int, time.Duration) {
	replies, began := make(map[cluster.Reply]int), time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
			defer cancel()
			reply := r.client.Start(ctx, cluster.StartOrder{
				Order: cluster.Order{Worker: fmt.Sprintf("w%d", i), Address: "a:1", Fence: 4}, Task: cluster.TaskID{Job: "j"}, Run: 1, Spec: "spec",
			})
			mu.Lock()
			replies[reply]++
			mu.Unlock()
		})
	}
	wg.Wait()
	return replies, time.Since(began)
}

func withFixture(t *testing.T, helpers int, fn func(t *testing.T, r *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(helpers)
		defer r.close()
		fn(t, r)
	})
}

// TestCallsGoThroughHelpers checks that helpers make all calls, each for its own workers, and
// that answers arrive unchanged.
func TestCallsGoThroughHelpers(t *testing.T) {
	withFixture(t, 4, func(t *testing.T, r *fixture) {
		const busy = 60
		if replies, _ := r.start(busy); replies[cluster.ReplyOK] != busy {
			t.Errorf("replies %v, want %d %q", replies, busy, cluster.ReplyOK)
		}
		if n := r.direct.total(); n > 0 {
			t.Errorf("the owner made %d direct calls", n)
		}
		for name, w := range r.helpers {
			if n := w.total(); n < busy/10 {
				t.Errorf("%s made %d of %d calls", name, n, busy)
			}
		}
		report, reply := r.client.Hold(t.Context(), cluster.Order{Worker: "w1"}, 42, 500*time.Millisecond)
		if reply != cluster.ReplyOK || report.ClockMS != 42 || len(report.Running) != 1 || report.Running[0].Task.Index != 3 {
			t.Errorf("hold: reply %q, report %+v", reply, report)
		}
	})
}

// TestWithoutHelpersCallsAreMadeDirectly checks that an owner without helpers makes all calls
// itself.
func TestWithoutHelpersCallsAreMadeDirectly(t *testing.T) {
	withFixture(t, 0, func(t *testing.T, r *fixture) {
		if r.start(10); r.direct.total() != 10 {
			t.Errorf("the owner made %d direct calls, want 10", r.direct.total())
		}
	})
}

// TestHelperLost checks that calls are answered in time when a helper is lost in any way: new
// starts, and holds that are pending on it.
func TestHelperLost(t *testing.T) {
	for name, breakHelper := range map[string]func(r *fixture){
		"its process ends": func(r *fixture) { r.net.SetPartitioned("h0", "*", true); r.net.ResetConnections("h0") },
		"it hangs":         func(r *fixture) { r.net.Pause("h0") },
		"it is cut off":    func(r *fixture) { r.net.SetPartitioned("h0", "*", true) },
		"it stops":         func(r *fixture) { r.stops[0]() },
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, 3, func(t *testing.T, r *fixture) { checkHelperLost(t, r, breakHelper) })
		})
	}
}

func checkHelperLost(t *testing.T, r *fixture, breakHelper func(r *fixture)) {
	defer r.net.Resume("h0")
	const busy = 30
	r.start(busy)
	var holds sync.WaitGroup
	for i := range busy {
		holds.Go(func() {
			const wait, slack = 500 * time.Millisecond, 300 * time.Millisecond
			ctx, cancel := context.WithTimeout(t.Context(), wait+slack)
			defer cancel()
			if _, reply := r.client.Hold(ctx, cluster.Order{Worker: fmt.Sprintf("w%d", i)}, 1, wait); reply != cluster.ReplyOK {
				t.Errorf("hold of w%d: reply %q", i, reply)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	breakHelper(r)
	if replies, took := r.start(busy); replies[cluster.ReplyOK] != busy {
		t.Errorf("replies %v after %s, want %d %q", replies, took, busy, cluster.ReplyOK)
	}
	holds.Wait()
	if n := r.direct.total(); n > 0 {
		t.Errorf("the owner made %d direct calls while two helpers were up", n)
	}
}

// TestUnreachableWorkerIsCalledDirectly checks that a worker which its helper can't reach is
// called directly: the helper may be the node that is cut off.
func TestUnreachableWorkerIsCalledDirectly(t *testing.T) {
	withFixture(t, 1, func(t *testing.T, r *fixture) {
		r.helpers["h0"].reply = cluster.ReplyNotSent
		if replies, _ := r.start(3); replies[cluster.ReplyOK] != 3 {
			t.Errorf("replies %v, want 3 %q", replies, cluster.ReplyOK)
		}
	})
}

// TestSecondStartDoesNotHideFirst guards against a task that runs twice after the loss of a
// helper. The lost helper may have made the start; if the answer to a second attempt, such as
// "not_sent", were taken for the outcome, the task would start on another worker as well.
func TestSecondStartDoesNotHideFirst(t *testing.T) {
	for _, second := range []cluster.Reply{cluster.ReplyNotSent, cluster.ReplyBusy, cluster.ReplyStaleRun, cluster.ReplyTicketInvalid, cluster.ReplyNoRoom} {
		t.Run(string(second), func(t *testing.T) {
			withFixture(t, 2, func(t *testing.T, r *fixture) {
				r.start(1)
				first := "h0"
				if r.helpers[first].total() == 0 {
					first = "h1"
				}
				r.net.Pause(first)
				defer r.net.Resume(first)
				for _, w := range r.helpers {
					w.reply = second
				}
				r.direct.reply = second
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				if reply := r.client.Start(ctx, cluster.StartOrder{Order: cluster.Order{Worker: "w0"}, Run: 2}); reply != cluster.ReplyUnknown {
					t.Errorf("reply %q to the start, want %q", reply, cluster.ReplyUnknown)
				}
			})
		})
	}
}

// TestHelperMakesNoExpiredCalls checks that a helper which was paused doesn't make the starts
// that it reads long after they were sent: their owner has given them up.
func TestHelperMakesNoExpiredCalls(t *testing.T) {
	withFixture(t, 1, func(t *testing.T, r *fixture) {
		body, lines := io.Pipe()
		compressed, err := flate.NewWriter(lines, flate.BestSpeed)
		if err != nil {
			t.Fatal(err)
		}
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h0:1", body)
		if err != nil {
			t.Fatal(err)
		}
		client := &http.Client{Transport: &http.Transport{DialContext: r.net.Dial("other")}}
		go func() {
			if res, err := client.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
			}
		}()
		began := time.Now()
		send := func(n int, sent time.Duration) {
			_, _ = fmt.Fprintf(compressed, `[{"n":%d,"o":"start","w":"w%d","f":1,"z":%d,"l":300,"t":"j.0.0.0","r":1}]`+"\n", n, n, sent.Milliseconds())
			_ = compressed.Flush()
		}
		for n := range 3 {
			send(n, time.Since(began))
			time.Sleep(time.Second)
		}
		old := time.Since(began)
		time.Sleep(4 * time.Second)
		send(3, old)
		send(4, time.Since(began))
		time.Sleep(time.Second)
		_ = lines.Close()
		if n := r.helpers["h0"].callsTo("w3"); n != 0 {
			t.Errorf("%d calls to w3, whose start was read 4 s after it was sent, want none", n)
		}
		if n := r.helpers["h0"].callsTo("w4"); n != 1 {
			t.Errorf("%d calls to w4, want one", n)
		}
	})
}
