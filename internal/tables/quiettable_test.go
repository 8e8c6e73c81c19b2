// SPDX-License-Identifier: Apache-2.0

package tables_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/tables"
)

// historyKept is how long quietService keeps its history.
const historyKept = 20 * time.Second

// quietService is a table of one row that changes once. Other rows change each 100 ms, so that
// the version rises all the time.
type quietService struct {
	fakeService
	startedAt time.Time
	// changeAfter is when the row changes; until then it has version 1.
	changeAfter time.Duration
	// outage is how long from then on the feed shows no changes; after it the history is gone.
	outage time.Duration
	lists  int
	feeds  int
}

// tick is how often the version rises.
const tick = 100 * time.Millisecond

// version returns the newest version.
func (s *quietService) version() int64 { return 1 + int64(time.Since(s.startedAt)/tick) }

// changedVersion returns the version of the row's change, or 0 if it has not changed yet.
func (s *quietService) changedVersion() int64 {
	if time.Since(s.startedAt) < s.changeAfter {
		return 0
	}
	return 1 + int64(s.changeAfter/tick)
}

func (s *quietService) row(version int64) tables.Row {
	return tables.Row{Table: "t", Key: "k", Version: version}
}

// List returns the current row.
func (s *quietService) List(context.Context, tables.ListRequest) (tables.ListResult, error) {
	s.lists++
	return tables.ListResult{Rows: []tables.Row{s.row(max(1, s.changedVersion()))}, Version: s.version()}, nil
}

// Feed returns the change as soon as it is there, except during the outage.
func (s *quietService) Feed(ctx context.Context, req tables.FeedRequest) (tables.FeedResult, error) {
	s.feeds++
	for end := time.Now().Add(req.Wait); ; tables.Sleep(ctx, tick/10) {
		since := time.Since(s.startedAt)
		oldest := s.version() - int64(historyKept/tick)
		if s.outage > 0 && since >= s.changeAfter+s.outage {
			oldest = max(oldest, 1+int64((s.changeAfter+s.outage)/tick))
		}
		if req.After < oldest {
			return tables.FeedResult{}, &tables.Error{Op: "feed", Kind: tables.KindHistoryGone, Err: errors.New("gone")}
		}
		shown := s.outage == 0 || since < s.changeAfter || since >= s.changeAfter+s.outage
		if v := s.changedVersion(); shown && v > req.After {
			return tables.FeedResult{Rows: []tables.Row{s.row(v)}, Version: s.version()}, nil
		}
		if !time.Now().Before(end) || ctx.Err() != nil {
			return tables.FeedResult{Version: s.version()}, nil
		}
	}
}

// TestFollowerOfQuietTable follows a row that rarely changes, and checks that the table is
// listed once, however long nothing changes, and that each change is seen in time. This
// includes a change made while the feed shows none, which the follower notices by the loss of
// the history afterwards. Listing each second took 380 kB a second on each node for 1,446
// routes. Without lists, a feed that continues from the version of the last change leaves the
// history after 20 s, and one that continues from the newest version that it has shown misses
// changes during an outage.
func TestFollowerOfQuietTable(t *testing.T) {
	const (
		duration = 90 * time.Second
		// maxDelay is the time within which a change must be seen once the feed shows changes
		// again.
		maxDelay = 2 * time.Second
	)
	for _, c := range []struct {
		name                string
		changeAfter, outage time.Duration
		lists               int
	}{
		{"no change", time.Hour, 0, 1},
		{"a change", 47 * time.Second, 0, 1},
		{"a change at once", 300 * time.Millisecond, 0, 1},
		{"a change during an outage of the feed", 47 * time.Second, time.Second, 2},
		{"a change during an outage, just before a call ends", 47*time.Second - tick, time.Second, 2},
		{"a change during a longer outage", 61 * time.Second, 3 * time.Second, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithTimeout(t.Context(), duration)
				defer stop()
				svc := &quietService{startedAt: time.Now(), changeAfter: c.changeAfter, outage: c.outage}
				var seenVersion int64
				var seenAt time.Duration
				f := tables.Follower{
					Service: svc, Table: "t", Parts: []string{""}, FeedWait: time.Second,
					Apply: func(rows []tables.Row, _ bool) {
						for _, r := range rows {
							if r.Version > seenVersion {
								seenVersion, seenAt = r.Version, time.Since(svc.startedAt)
							}
						}
					},
					OnError: func(error) {},
				}
				f.Run(ctx)
				if want := max(1, svc.changedVersion()); seenVersion != want {
					t.Errorf("the row was seen at version %d, want %d", seenVersion, want)
				}
				if delay := seenAt - c.changeAfter - c.outage; delay > maxDelay {
					t.Errorf("the change was seen %s late, want %s at most", delay, maxDelay)
				}
				if svc.lists != c.lists {
					t.Errorf("the table was listed %d times, want %d", svc.lists, c.lists)
				}
				if maxFeeds := 2 * int(duration/time.Second); svc.feeds > maxFeeds {
					t.Errorf("the feed was called %d times, want %d at most", svc.feeds, maxFeeds)
				}
			})
		})
	}
}
