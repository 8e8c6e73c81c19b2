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

// history is how long quietService keeps what has changed.
const history = 20 * time.Second

// quietService is a table of one row that changes once, among others that change each
// 100 ms, so that the version rises all the while.
type quietService struct {
	fakeService
	began time.Time
	// changes is when the row changes; until then it has version 1.
	changes time.Duration
	// deaf is how long from then on the feed shows nothing; after it the history is gone.
	deaf  time.Duration
	lists int
	feeds int
}

// tick is how often the version rises.
const tick = 100 * time.Millisecond

// version is the newest one.
func (s *quietService) version() int64 { return 1 + int64(time.Since(s.began)/tick) }

// changed is the version of the row's change, or 0 if it hasn't changed yet.
func (s *quietService) changed() int64 {
	if time.Since(s.began) < s.changes {
		return 0
	}
	return 1 + int64(s.changes/tick)
}

func (s *quietService) row(version int64) tables.Row {
	return tables.Row{Table: "t", Key: "k", Version: version}
}

// List answers the row as it stands.
func (s *quietService) List(context.Context, tables.ListRequest) (tables.ListResult, error) {
	s.lists++
	return tables.ListResult{Rows: []tables.Row{s.row(max(1, s.changed()))}, Version: s.version()}, nil
}

// Feed answers the change as soon as it is there, unless the feed is deaf.
func (s *quietService) Feed(ctx context.Context, req tables.FeedRequest) (tables.FeedResult, error) {
	s.feeds++
	for end := time.Now().Add(req.Wait); ; tables.Sleep(ctx, tick/10) {
		since := time.Since(s.began)
		oldest := s.version() - int64(history/tick)
		if s.deaf > 0 && since >= s.changes+s.deaf {
			oldest = max(oldest, 1+int64((s.changes+s.deaf)/tick))
		}
		if req.After < oldest {
			return tables.FeedResult{}, &tables.Error{Op: "feed", Kind: tables.KindHistoryGone, Err: errors.New("gone")}
		}
		hears := s.deaf == 0 || since < s.changes || since >= s.changes+s.deaf
		if v := s.changed(); hears && v > req.After {
			return tables.FeedResult{Rows: []tables.Row{s.row(v)}, Version: s.version()}, nil
		}
		if !time.Now().Before(end) || ctx.Err() != nil {
			return tables.FeedResult{Version: s.version()}, nil
		}
	}
}

// TestFollowerOfQuietTable follows a row that rarely changes. It is listed once, however
// long nothing changes; each change is seen within a second. That also holds for one
// that is made while the feed is deaf, which shows by the loss of the history after it.
//
// A list each second was 380 kB a second on each node for 1,446 routes; without lists,
// and with the feed going on from the version of the last change, the feed would leave
// the history after 20 s; going on from the newest version that it has shown, it would
// never show what was changed while it was deaf.
func TestFollowerOfQuietTable(t *testing.T) {
	const (
		lasts = 90 * time.Second
		// within is by when a change is seen once the feed hears again.
		within = 2 * time.Second
	)
	for _, c := range []struct {
		name          string
		changes, deaf time.Duration
		lists         int
	}{
		{"no change", time.Hour, 0, 1},
		{"a change", 47 * time.Second, 0, 1},
		{"a change at once", 300 * time.Millisecond, 0, 1},
		{"a change while the feed is deaf", 47 * time.Second, time.Second, 2},
		{"one just before a call ends", 47*time.Second - tick, time.Second, 2},
		{"one while the feed is deaf for longer", 61 * time.Second, 3 * time.Second, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithTimeout(t.Context(), lasts)
				defer stop()
				svc := &quietService{began: time.Now(), changes: c.changes, deaf: c.deaf}
				var seen int64
				var seenAt time.Duration
				f := tables.Follower{
					Service: svc, Table: "t", Parts: []string{""}, FeedWait: time.Second,
					Apply: func(rows []tables.Row, _ bool) {
						for _, r := range rows {
							if r.Version > seen {
								seen, seenAt = r.Version, time.Since(svc.began)
							}
						}
					},
					OnError: func(error) {},
				}
				f.Run(ctx)
				if want := max(1, svc.changed()); seen != want {
					t.Errorf("the row was seen at version %d, want %d", seen, want)
				}
				if late := seenAt - c.changes - c.deaf; late > within {
					t.Errorf("the change was seen %s late, want %s at most", late, within)
				}
				if svc.lists != c.lists {
					t.Errorf("the table was listed %d times, want %d", svc.lists, c.lists)
				}
				if most := 2 * int(lasts/time.Second); svc.feeds > most {
					t.Errorf("the feed was called %d times, want %d at most", svc.feeds, most)
				}
			})
		})
	}
}
