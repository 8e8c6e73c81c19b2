// SPDX-License-Identifier: Apache-2.0

package tables_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/tables"
)

// busyService is a table of which 733 rows change each second, as those of 1,100 workers
// that announce themselves every 1.5 s. A version is one change.
type busyService struct {
	fakeService
	startedAt time.Time
}

const (
	changesPerSecond = 733
	maxFeedRows      = 500
)

func (s *busyService) version() int64 {
	return 1 + int64(time.Since(s.startedAt).Seconds()*changesPerSecond)
}

// List answers an empty list.
func (s *busyService) List(context.Context, tables.ListRequest) (tables.ListResult, error) {
	return tables.ListResult{Version: s.version()}, nil
}

// Feed answers the oldest changes, as many as fit.
func (s *busyService) Feed(ctx context.Context, req tables.FeedRequest) (tables.FeedResult, error) {
	tables.Sleep(ctx, 4*time.Millisecond)
	var res tables.FeedResult
	for res.Version = req.After; res.Version < s.version() && len(res.Rows) < maxFeedRows; {
		res.Version++
		res.Rows = append(res.Rows, tables.Row{Table: req.Table, Key: "k", Version: res.Version})
	}
	return res, nil
}

// TestFollowerKeepsUpWithABusyFeed checks that a follower that pauses after each answer
// does not fall behind a feed that gives out its changes 500 at a time.
//
// 1,100 workers announce themselves every 1.5 s. With a pause of 1 s after each answer a
// follower fell behind by a third of a second each second, and learned that a worker
// leaves by as much later.
func TestFollowerKeepsUpWithABusyFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause, maxLag = time.Second, 1500 * time.Millisecond
		ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
		defer stop()
		svc := &busyService{startedAt: time.Now()}
		var lag time.Duration
		f := tables.Follower{
			Service: svc, Table: "t", Parts: []string{""}, FeedWait: time.Second, Pause: pause, OnError: func(error) {},
			Apply: func(rows []tables.Row, _ bool) {
				if len(rows) > 0 {
					lag = time.Duration(svc.version()-rows[0].Version) * time.Second / changesPerSecond
				}
			},
		}
		f.Run(ctx)
		if lag > maxLag {
			t.Errorf("after 20 s the follower is %s behind, want %s at most", lag, maxLag)
		}
	})
}
