// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/tables"
)

const (
	// storeDownAfter is how long a call may go without an answer, while no other call gets
	// one either, before the store counts as down. The store normally answers in 4 ms; a
	// write takes 0.7 s when it is 100 times slower.
	storeDownAfter = time.Second
	// storeFailingAfter is how long every call must have failed before the store counts as
	// down: a store that resets some connections still answers on others.
	storeFailingAfter = 300 * time.Millisecond
	// slowCallTime is the duration from which a call is logged as slow, and slowLogInterval
	// the minimum time between two such log lines.
	slowCallTime    = 100 * time.Millisecond
	slowLogInterval = time.Second
	// probeInterval and probeTimeout bound the probes of a store that is down. Probes
	// overlap, because a slow store, which answers after 0.4 s, has to be detected too.
	probeInterval = 100 * time.Millisecond
	probeTimeout  = time.Second
)

// watchedStore is the table service with a record of which calls are answered, so that
// callers are refused at once while the store is down.
type watchedStore struct {
	tables.Service
	relay *tables.Relay
	log   *zap.Logger
	parts *storeParts

	mu sync.Mutex
	// lastSeen is when a call was last answered, or when the node started.
	lastSeen time.Time
	// pending holds the time at which each running call was sent, by its ID; lastID is the ID
	// of the last call.
	pending map[int64]time.Time
	lastID  int64
	// slowLogged is when a slow call was last logged.
	slowLogged time.Time
	// failedAt is the time of the first failure since the last answer.
	failedAt time.Time
}

func newWatchedStore(relay *tables.Relay, log *zap.Logger) *watchedStore {
	return &watchedStore{Service: relay, relay: relay, log: log, parts: newStoreParts(log), lastSeen: time.Now(), pending: make(map[int64]time.Time)}
}

// begin records that a call is sent, and returns its ID.
func (s *watchedStore) begin() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	s.pending[s.lastID] = time.Now()
	return s.lastID
}

// end records the outcome of a call, and logs it if the call was slow or was the first one
// answered after an outage.
func (s *watchedStore) end(id int64, err error) {
	now := time.Now()
	s.mu.Lock()
	took := now.Sub(s.pending[id])
	delete(s.pending, id)
	slow := took > slowCallTime && now.Sub(s.slowLogged) > slowLogInterval
	if slow {
		s.slowLogged = now
	}
	answered := err == nil || tables.IsFinal(err)
	outage := now.Sub(s.failedAt)
	wasFailing := !s.failedAt.IsZero()
	switch {
	case answered:
		s.lastSeen, s.failedAt = now, time.Time{}
	case !wasFailing:
		s.failedAt = now
	}
	s.mu.Unlock()
	if slow {
		s.log.Warn("store is slow", events.StoreSlow, zap.Duration("took", took), zap.Bool("answered", answered))
	}
	if answered && wasFailing && outage > storeFailingAfter {
		s.parts.reset()
	}
	if answered && wasFailing && outage > storeDownAfter {
		s.log.Info("store answers again", events.StoreRecovered, zap.Duration("away", outage))
	}
}

// down reports whether the store can't be reached directly or through a relay: every call has
// failed for a while, or is unanswered. It is up again with the first answered call, such as
// a probe.
func (s *watchedStore) down() bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.failedAt.IsZero() && now.Sub(s.failedAt) > storeFailingAfter {
		return true
	}
	for _, sent := range s.pending {
		if now.Sub(sent) > storeDownAfter && now.Sub(s.lastSeen) > storeDownAfter {
			return true
		}
	}
	return false
}

// failing reports whether the last call failed or the store is down.
func (s *watchedStore) failing() bool {
	s.mu.Lock()
	failed := !s.failedAt.IsZero()
	s.mu.Unlock()
	return failed || s.down()
}

// lastAnswer returns when the store last answered.
func (s *watchedStore) lastAnswer() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastSeen
}

// silentFor returns the time since the store last answered.
func (s *watchedStore) silentFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastSeen)
}

// probe calls the store while it is down, and parts of it that are away. No other calls are made meanwhile, so that an
// outage doesn't multiply the calls of all followers and retries.
func (s *watchedStore) probe(ctx context.Context) {
	for ctx.Err() == nil {
		if s.failing() {
			go s.probeOnce(ctx)
		}
		if !s.down() {
			s.probeIdleParts()
		}
		tables.Sleep(ctx, probeInterval)
	}
}

// probeOnce makes one call and records its outcome.
func (s *watchedStore) probeOnce(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	id := s.begin()
	_, err := s.Service.List(c, tables.ListRequest{Table: TableCell, Limit: 1})
	s.end(id, err)
}

// errStoreDown is the error of a call that isn't sent because the store is down.
func errStoreDown(op string) error {
	return &tables.Error{Op: op, Kind: tables.KindRefused, Err: errors.New("the store is down")}
}

// Commit commits txn.
func (s *watchedStore) Commit(ctx context.Context, txn tables.Txn) (tables.TxnResult, error) {
	if s.down() {
		return tables.TxnResult{}, errStoreDown("commit")
	}
	id, sent := s.begin(), time.Now()
	res, err := s.Service.Commit(ctx, txn)
	s.end(id, err)
	s.parts.record(ctx, txn.Part(), sent, s.lastAnswer(), err)
	return res, err
}

// List reads rows.
func (s *watchedStore) List(ctx context.Context, req tables.ListRequest) (tables.ListResult, error) {
	if s.down() {
		return tables.ListResult{}, errStoreDown("list")
	}
	id, sent := s.begin(), time.Now()
	res, err := s.Service.List(ctx, req)
	s.end(id, err)
	s.parts.record(ctx, req.Part, sent, s.lastAnswer(), err)
	return res, err
}

// Feed waits for changes of rows; it may be silent for as long as nothing changes.
func (s *watchedStore) Feed(ctx context.Context, req tables.FeedRequest) (tables.FeedResult, error) {
	return readAndRecord(ctx, s, "feed", req, s.Service.Feed)
}

// readAndRecord makes a read and records an answer, but not a failure.
func readAndRecord[Req, Res any](ctx context.Context, s *watchedStore, op string, req Req, read func(context.Context, Req) (Res, error)) (res Res, err error) {
	if s.down() {
		return res, errStoreDown(op)
	}
	if res, err = read(ctx, req); err == nil {
		s.mu.Lock()
		s.lastSeen, s.failedAt = time.Now(), time.Time{}
		s.mu.Unlock()
	}
	return res, err
}
