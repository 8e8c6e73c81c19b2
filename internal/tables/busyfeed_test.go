// SPDX-License-Identifier: Apache-2.0

package tables_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/tables"
)

// busyService is a table of which 733 rows change each second, like those of 1,100 workers that
// announce themselves every 1.5 s. Each change gets a version of its own.
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

// List returns an empty list.
func (s *busyService) List(context.Context, tables.ListRequest) (tables.ListResult, error) {
	return tables.ListResult{Version: s.version()}, nil
}

// Feed returns the oldest changes, as many as fit.
func (s *busyService) Feed(ctx context.Context, req tables.FeedRequest) (tables.FeedResult, error) {
	tables.Sleep(ctx, 4*time.Millisecond)
	var res tables.FeedResult
	for res.Version = req.After; res.Version < s.version() && len(res.Rows) < maxFeedRows; {
		res.Version++
		res.Rows = append(res.Rows, tables.Row{Table: req.Table, Key: "k", Version: res.Version})
	}
	return res, nil
}

// TestFollowerKeepsUpWithABusyFeed checks that a follower that pauses after each answer does
// not fall behind a feed that returns at most 500 changes at a time. With a pause of 1 s after
// each answer, a follower of 1,100 workers that announce themselves every 1.5 s fell behind by
// a third of a second each second, and learned as much later that a worker is leaving.
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
