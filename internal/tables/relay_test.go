// SPDX-License-Identifier: Apache-2.0

package tables_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/tables"
)

// healthCheck is what a relay reads to see whether the service answers.
var healthCheck = tables.ListRequest{Table: "t"}

// fakeService answers, refuses or doesn't answer.
type fakeService struct {
	mu               sync.Mutex
	silent, refusing bool
	// silentCalls is how many more calls get no answer, as on dead connections.
	silentCalls int
	calls       int
	// responseTime is how long an answer takes.
	responseTime time.Duration
}

func (f *fakeService) set(silent, refusing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent, f.refusing = silent, refusing
}

func (f *fakeService) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *fakeService) answer(ctx context.Context) error {
	f.mu.Lock()
	f.calls++
	silent, refusing, responseTime := f.silent || f.silentCalls > 0, f.refusing, f.responseTime
	f.silentCalls = max(0, f.silentCalls-1)
	f.mu.Unlock()
	if refusing {
		return &tables.Error{Op: "fake", Kind: tables.KindRefused, Err: errors.New("busy")}
	}
	if silent {
		<-ctx.Done()
	} else {
		tables.Sleep(ctx, responseTime)
	}
	if ctx.Err() != nil {
		return &tables.Error{Op: "fake", Kind: tables.KindUnknown, Err: ctx.Err()}
	}
	return nil
}

func (f *fakeService) Commit(ctx context.Context, _ tables.Txn) (tables.TxnResult, error) {
	err := f.answer(ctx)
	return tables.TxnResult{Committed: err == nil}, err
}

func (f *fakeService) List(ctx context.Context, _ tables.ListRequest) (tables.ListResult, error) {
	return tables.ListResult{}, f.answer(ctx)
}

func (f *fakeService) Feed(ctx context.Context, _ tables.FeedRequest) (tables.FeedResult, error) {
	return tables.FeedResult{}, f.answer(ctx)
}

type peerList []tables.Service

func (p peerList) Relays() []tables.Service { return p }

// TestRelayWhileServiceRefuses checks that a refused call goes through a peer, that calls don't
// wait repeatedly for a service that doesn't answer, and that its recovery is detected.
func TestRelayWhileServiceRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		direct, peer := &fakeService{refusing: true}, &fakeService{}
		r := tables.NewRelay(direct, peerList{peer}, healthCheck)
		go r.Probe(ctx)
		if res, err := r.Commit(ctx, tables.Txn{}); err != nil || !res.Committed {
			t.Fatalf("commit of a refused call: %+v, %v; want it committed through the peer", res, err)
		}
		direct.set(true, false)
		start := time.Now()
		for range 20 {
			if _, err := r.Commit(ctx, tables.Txn{}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if took := time.Since(start); took != 2*time.Second {
			t.Errorf("20 calls through a peer took %s, want only the pauses of 2s", took)
		}
		direct.set(false, false)
		time.Sleep(time.Second)
		before := peer.callCount()
		if _, err := r.Commit(ctx, tables.Txn{}); err != nil || peer.callCount() != before {
			t.Errorf("the service is back, and the call went through a peer (%v)", err)
		}
		cancel()
		synctest.Wait()
	})
}

// TestRelayDoesNotRepeatUnknownWrites checks that a write without an answer is left to its
// caller, which can tell from the write's conditions whether it took effect.
func TestRelayDoesNotRepeatUnknownWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, peer := &fakeService{silent: true}, &fakeService{}
		r := tables.NewRelay(direct, peerList{peer}, healthCheck)
		if _, err := r.Commit(t.Context(), tables.Txn{}); !tables.IsUnknown(err) || peer.callCount() != 0 {
			t.Errorf("got %v after %d calls of the peer, want an unknown outcome", err, peer.callCount())
		}
		if _, err := r.List(t.Context(), tables.ListRequest{}); err != nil || peer.callCount() != 1 {
			t.Errorf("a read: error %v after %d calls of the peer, want no error after 1 call", err, peer.callCount())
		}
	})
}

// TestRelayAfterSilentConnection checks that a service that answers on a new connection is
// called directly again at once, and not through a peer.
func TestRelayAfterSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, peer := &fakeService{silentCalls: 1}, &fakeService{silent: true}
		r := tables.NewRelay(direct, peerList{peer}, healthCheck)
		if _, err := r.Commit(t.Context(), tables.Txn{}); !tables.IsUnknown(err) {
			t.Errorf("a write on a silent connection: %v, want an unknown outcome", err)
		}
		if _, err := r.Commit(t.Context(), tables.Txn{}); err != nil || peer.callCount() != 0 {
			t.Errorf("the next write: error %v after %d calls of the peer, want no error and no call", err, peer.callCount())
		}
		direct.mu.Lock()
		direct.silentCalls = 1
		direct.mu.Unlock()
		if _, err := r.List(t.Context(), tables.ListRequest{}); err != nil || peer.callCount() != 0 {
			t.Errorf("a read: error %v after %d calls of the peer, want no error and no call", err, peer.callCount())
		}
	})
}

// TestLostAnswers checks that a call whose answer is lost is cancelled soon while the service
// is fast, and that calls to a slow service get the time that they need.
func TestLostAnswers(t *testing.T) {
	const fast, slow = 4 * time.Millisecond, 280 * time.Millisecond
	for _, c := range []struct {
		name         string
		responseTime time.Duration
		silentCalls  int
		answered     bool
		took         time.Duration
	}{
		{"fast", fast, 0, true, fast},
		{"lost", fast, 1, false, 200*time.Millisecond + fast},
		{"lost, and another connection silent", fast, 2, false, 250*time.Millisecond + fast},
		{"slow", slow, 0, true, slow},
		{"lost while slow", slow, 1, false, 900 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				direct := &fakeService{responseTime: c.responseTime, silentCalls: c.silentCalls}
				r := tables.NewRelay(direct, peerList{}, healthCheck)
				began := time.Now()
				_, err := r.Commit(t.Context(), tables.Txn{})
				if took := time.Since(began); (err == nil) != c.answered || took != c.took {
					t.Errorf("write ended with error %v after %s, want it to end after %s", err, took, c.took)
				}
				// The last health check may still be running.
				time.Sleep(time.Second)
			})
		})
	}
}

// slowUpload is a service to which a node sends over a slow link.
type slowUpload struct {
	fakeService
	// rate is in bytes a second.
	rate int
}

// List is answered at once.
func (s *slowUpload) List(context.Context, tables.ListRequest) (tables.ListResult, error) {
	return tables.ListResult{}, nil
}

// Commit is answered once the values have been sent, in base64.
func (s *slowUpload) Commit(ctx context.Context, txn tables.Txn) (tables.TxnResult, error) {
	size := 0
	for _, r := range txn.Put {
		size += 4 * len(r.Value) / 3
	}
	tables.Sleep(ctx, time.Duration(size)*time.Second/time.Duration(s.rate))
	return s.fakeService.Commit(ctx, txn)
}

// TestLargeWriteOnSlowLink checks that a write isn't cancelled while it is being sent. One of
// 700 kB takes 0.75 s over a link of 10 Mbit/s, while other calls are answered at once: it was
// taken for a write whose answer is lost after 0.2 s, and would have been repeated again and
// again.
func TestLargeWriteOnSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := &slowUpload{rate: 1_250_000}
		r := tables.NewRelay(svc, peerList{}, healthCheck)
		res, err := r.Commit(t.Context(), tables.Txn{Put: []tables.Row{{Table: "t", Key: "k", Value: make([]byte, 700_000)}}})
		if err != nil || !res.Committed {
			t.Errorf("commit of a large write: %+v, %v", res, err)
		}
		// A small write whose answer is lost is cancelled as soon as before.
		svc.set(true, false)
		began := time.Now()
		_, err = r.Commit(t.Context(), tables.Txn{Put: []tables.Row{{Table: "t", Key: "k", Value: make([]byte, 100)}}})
		if took := time.Since(began); !tables.IsUnknown(err) || took > 300*time.Millisecond {
			t.Errorf("a lost answer: %v after %s, want an unknown outcome within 0.3 s", err, took)
		}
	})
}
