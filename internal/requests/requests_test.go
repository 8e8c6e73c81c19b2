// SPDX-License-Identifier: Apache-2.0

package requests_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/bundle"
	"switchbank.example/switchbank/internal/peer"
	"switchbank.example/switchbank/internal/pool"
	"switchbank.example/switchbank/internal/requests"
	"switchbank.example/switchbank/internal/team"
	"switchbank.example/switchbank/internal/worker"
)

const svc = "svc"

func testBundle() *bundle.Bundle {
	b := bundle.Default()
	b.Teams = []team.Team{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}
	b.Services = []bundle.Service{{Name: svc, QueuePerTeam: 4, QueueTotal: 6}}
	return b
}

func instance(n, slots int, address string) pool.Instance {
	return pool.Instance{
		Attempt: worker.Attempt{Job: "j", Task: n, N: 1}, Service: svc, Slots: slots, Address: address,
		Usable: func() bool { return true },
	}
}

func newBalancer(instances ...pool.Instance) *requests.Balancer {
	b := requests.NewBalancer(testBundle)
	for _, i := range instances {
		b.Add(i)
	}
	return b
}

func kindOf(err error) requests.Kind {
	var re *requests.Error
	if errors.As(err, &re) {
		return re.Kind
	}
	return ""
}

func TestSlotLimit(t *testing.T) {
	b := newBalancer(instance(0, 2, "x"), instance(1, 1, "y"))
	for i := range 3 {
		if _, ok := b.TryAcquire(svc); !ok {
			t.Fatalf("slot %d is missing", i)
		}
	}
	if _, ok := b.TryAcquire(svc); ok {
		t.Error("a fourth slot was given out of three")
	}
}

func TestQueueIsBoundedAndFair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(instance(0, 1, "x"))
		slot, _ := b.TryAcquire(svc)
		var mu sync.Mutex
		var served []string
		var wg sync.WaitGroup
		wait := func(team string) {
			wg.Go(func() {
				s, err := b.Acquire(t.Context(), svc, team)
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				served = append(served, team)
				mu.Unlock()
				time.Sleep(time.Millisecond)
				s.Release()
			})
			synctest.Wait()
		}
		for range 4 {
			wait("a")
		}
		if _, err := b.Acquire(t.Context(), svc, "a"); kindOf(err) != requests.KindTeamQueueFull {
			t.Errorf("fifth request of a team: %v", err)
		}
		wait("b")
		wait("b")
		if _, err := b.Acquire(t.Context(), svc, "b"); kindOf(err) != requests.KindQueueFull {
			t.Errorf("seventh request of all teams: %v", err)
		}
		slot.Release()
		wg.Wait()
		if at := slices.Index(served, "b"); at > 2 {
			t.Errorf("team b was served after too many requests of team a: %v", served)
		}
	})
}

func TestAcquireEndsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(instance(0, 1, "x"))
		if _, ok := b.TryAcquire(svc); !ok {
			t.Fatal("no slot")
		}
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := b.Acquire(ctx, svc, "a")
		var re *requests.Error
		if !errors.As(err, &re) || re.Kind != requests.KindDeadline || re.RetryAfter <= 0 {
			t.Errorf("have %v", err)
		}
		if took := time.Since(began); took != 300*time.Millisecond {
			t.Errorf("returned after %s, want 300ms", took)
		}
	})
}

func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := instance(0, 2, "x")
		b := newBalancer(i)
		slot, _ := b.TryAcquire(svc)
		drained := make(chan struct{})
		go func() {
			b.Drain(t.Context(), []worker.Attempt{i.Attempt})
			close(drained)
		}()
		synctest.Wait()
		if _, ok := b.TryAcquire(svc); ok {
			t.Error("a draining instance was given a request")
		}
		select {
		case <-drained:
			t.Error("Drain returned with a request in flight")
		default:
		}
		slot.Release()
		<-drained
	})
}

// startUpstream starts an instance whose answer depends on the request's body. The counter
// holds how many requests it ran.
func startUpstream(t *testing.T) (address string, runs *atomic.Int64) {
	t.Helper()
	runs = new(atomic.Int64)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set(api.HeaderRequestID, r.Header.Get(api.HeaderRequestID))
		switch string(body) {
		case "not run":
			w.Header().Set(api.HeaderNotRun, "slots")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case "cut":
			runs.Add(1)
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("half"))
			return
		case "other":
			w.Header().Set(api.HeaderRequestID, "another")
		case "hang":
			runs.Add(1)
			<-r.Context().Done()
			return
		case "large":
			_, _ = w.Write([]byte(strings.Repeat("x", bundle.DefaultBodyBytes+1)))
			return
		}
		runs.Add(1)
		_, _ = w.Write(body)
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://"), runs
}

// noPeers is a cell without other nodes.
type noPeers struct{}

func (noPeers) ServiceLoads(string) []requests.PeerLoad { return nil }
func (noPeers) RefreshLoads(context.Context)            {}
func (noPeers) Forward(context.Context, string, requests.Request) (requests.Result, error) {
	return requests.Result{}, requests.NotSent(errors.New("no peer"))
}

// peersAfterRefresh reports a service only after its loads were refreshed.
type peersAfterRefresh struct{ refreshed *atomic.Bool }

func (p peersAfterRefresh) RefreshLoads(context.Context) { p.refreshed.Store(true) }

func (p peersAfterRefresh) ServiceLoads(string) []requests.PeerLoad {
	if !p.refreshed.Load() {
		return nil
	}
	return []requests.PeerLoad{{Node: "n2", Free: 1, Instances: 1}}
}

func (peersAfterRefresh) Forward(context.Context, string, requests.Request) (requests.Result, error) {
	return requests.Result{Outcome: api.OutcomeDone, Answer: &peer.Answer{Status: http.StatusOK}}, nil
}

// TestUnknownServiceRefreshesPeers guards against refusing requests to a service that
// has just started on a peer: until the peer's next summary, this node doesn't know of it,
// so the entry must ask the peers before it refuses a request.
func TestUnknownServiceRefreshesPeers(t *testing.T) {
	e := requests.NewEntry(requests.Deps{
		Balancer: newBalancer(), Peers: peersAfterRefresh{refreshed: new(atomic.Bool)}, Bundle: testBundle,
		Upstream: requests.NewUpstream(&http.Client{}, requests.UpstreamOptions{}), Keys: fixedKeys{},
	}, requests.Options{}, zap.NewNop())
	res := e.Do(t.Context(), requests.Request{ID: "id", Service: svc, Team: "a"})
	if res.Outcome != api.OutcomeDone {
		t.Errorf("have %s %s", res.Outcome, res.Reason)
	}
}

// fixedKeys returns the same reply for every key.
type fixedKeys struct {
	reply peer.KeyReply
	err   error
	done  chan string
}

func (k fixedKeys) Begin(context.Context, peer.KeyBeginRequest) (peer.KeyReply, error) {
	return k.reply, k.err
}

func (k fixedKeys) Finish(_ context.Context, req peer.KeyFinishRequest) (peer.KeyReply, error) {
	select {
	case k.done <- req.Outcome:
	default:
	}
	return peer.KeyReply{}, nil
}

func newEntry(b *requests.Balancer, keys requests.Keys) *requests.Entry {
	return requests.NewEntry(requests.Deps{
		Balancer: b, Upstream: requests.NewUpstream(&http.Client{}, requests.UpstreamOptions{AbandonedTimeout: time.Second}),
		Peers: noPeers{}, Keys: keys, Bundle: testBundle,
	}, requests.Options{KeyWindow: time.Hour, KeyMargin: time.Minute}, zap.NewNop())
}

// hangTimeout is the timeout of a request whose upstream never answers. It is long
// compared with the time needed to reach the upstream on a busy machine.
const hangTimeout = 2 * time.Second

func TestOutcomes(t *testing.T) {
	address, _ := startUpstream(t)
	// Nothing listens on port 1, and the system never assigns it to a connection. A port
	// that was just closed might be reused by another process.
	const unusedAddress = "127.0.0.1:1"
	tests := []struct {
		body, address string
		outcome       api.Outcome
		reason        requests.Kind
	}{
		{"hello", address, api.OutcomeDone, ""},
		{"not run", address, api.OutcomeNotRun, requests.KindUpstreamDidNotRun},
		{"cut", address, api.OutcomeUnknown, requests.KindAnswerTruncated},
		{"other", address, api.OutcomeUnknown, requests.KindAnswerMismatch},
		{"large", address, api.OutcomeUnknown, requests.KindAnswerTooLarge},
		{"hang", address, api.OutcomeUnknown, requests.KindDeadline},
		{"hello", unusedAddress, api.OutcomeNotRun, requests.KindUpstreamNotReached},
	}
	for _, tt := range tests {
		t.Run(tt.body+" "+string(tt.outcome), func(t *testing.T) {
			e := newEntry(newBalancer(instance(0, 8, tt.address)), fixedKeys{})
			ctx := t.Context()
			if tt.reason == requests.KindDeadline {
				// A timeout for all cases would also end the one with the large answer
				// when the machine is busy.
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, hangTimeout)
				defer cancel()
			}
			res := e.Do(ctx, requests.Request{ID: "id", Service: svc, Team: "a", Body: []byte(tt.body)})
			if res.Outcome != tt.outcome || res.Reason != tt.reason {
				t.Errorf("have %s %s (%s)", res.Outcome, res.Reason, res.Detail)
			}
		})
	}
}

func TestKeys(t *testing.T) {
	kept := &peer.Answer{Status: 200, Body: []byte("kept")}
	tests := []struct {
		name    string
		keys    fixedKeys
		created time.Duration
		outcome api.Outcome
		reason  requests.Kind
		runs    int64
	}{
		{"first", fixedKeys{reply: peer.KeyReply{State: peer.KeyRun}}, 0, api.OutcomeDone, "", 1},
		{"second", fixedKeys{reply: peer.KeyReply{State: peer.KeyDone, Answer: kept}}, 0, api.OutcomeDone, "", 0},
		{"unknown", fixedKeys{reply: peer.KeyReply{State: peer.KeyUnknown}}, 0, api.OutcomeUnknown, requests.KindKeyOutcomeUnknown, 0},
		{"conflict", fixedKeys{reply: peer.KeyReply{State: peer.KeyConflict}}, 0, api.OutcomeRefused, requests.KindKeyReused, 0},
		{"store down", fixedKeys{err: errors.New("down")}, 0, api.OutcomeRefused, requests.KindKeyStoreUnavailable, 0},
		{"old", fixedKeys{reply: peer.KeyReply{State: peer.KeyRun}}, -2 * time.Hour, api.OutcomeUnknown, requests.KindKeyTooOld, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, runs := startUpstream(t)
			e := newEntry(newBalancer(instance(0, 8, address)), tt.keys)
			res := e.Do(t.Context(), requests.Request{
				ID: "id", Service: svc, Team: "a", Key: "k", KeyCreated: time.Now().Add(tt.created), Body: []byte("x"),
			})
			if res.Outcome != tt.outcome || res.Reason != tt.reason || runs.Load() != tt.runs {
				t.Errorf("have %s %s, %d runs", res.Outcome, res.Reason, runs.Load())
			}
			if tt.reason == requests.KindKeyStoreUnavailable && res.RetryAfterMS == 0 {
				t.Error("refused without a time to retry after")
			}
		})
	}
}

// TestRetryBudget checks that retries are limited to their share of the requests when every
// request wants one, as when an upstream fails permanently.
func TestRetryBudget(t *testing.T) {
	b := requests.NewRetryBudget(10)
	taken := 0
	for range 1000 {
		b.Deposit(0.1)
		if b.Withdraw() {
			taken++
		}
	}
	if taken < 100 || taken > 110 {
		t.Errorf("%d retries for 1000 requests at a share of 0.1", taken)
	}
}

// benchmarkRequest measures a request, either through the entry and balancer or as a
// direct call of the same instance for comparison.
func benchmarkRequest(b *testing.B, throughEntry bool, parallel int) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	e := requests.NewEntry(requests.Deps{
		Balancer: newBalancer(instance(0, 64, address)), Upstream: requests.NewUpstream(c, requests.UpstreamOptions{AbandonedTimeout: time.Second}),
		Peers: noPeers{}, Keys: fixedKeys{}, Bundle: testBundle,
	}, requests.Options{}, zap.NewNop())
	var mu sync.Mutex
	var all []time.Duration
	b.SetParallelism(parallel)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		var latencies []time.Duration
		for pb.Next() {
			began := time.Now()
			if throughEntry {
				ctx, cancel := context.WithTimeout(b.Context(), time.Second)
				if res := e.Do(ctx, requests.Request{ID: "id", Service: svc, Team: "a", Body: []byte("x")}); res.Outcome != api.OutcomeDone {
					b.Error(res)
				}
				cancel()
			} else if resp, err := c.Post(srv.URL, "text/plain", strings.NewReader("x")); err == nil { //nolint:noctx // The plain call is the baseline.
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			latencies = append(latencies, time.Since(began))
		}
		mu.Lock()
		all = append(all, latencies...)
		mu.Unlock()
	})
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
}

func BenchmarkRequest(b *testing.B) {
	for _, parallel := range []int{1, 4} {
		for _, through := range []bool{false, true} {
			b.Run(fmt.Sprintf("callers=%dxcores/through=%t", parallel, through), func(b *testing.B) { benchmarkRequest(b, through, parallel) })
		}
	}
}
