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

// partialService is a table of which one part is unavailable, and whose feed has a row each
// second.
type partialService struct {
	fakeService
	// unavailablePart is the part that can't be listed.
	unavailablePart string
	startedAt       time.Time
}

// List returns an empty list, or an error for the unavailable part.
func (s *partialService) List(_ context.Context, req tables.ListRequest) (tables.ListResult, error) {
	if req.Part == s.unavailablePart {
		return tables.ListResult{}, &tables.Error{Op: "fake", Kind: tables.KindRefused, Err: errors.New("unavailable")}
	}
	return tables.ListResult{Version: s.version()}, nil
}

// Feed returns one row as soon as there is a new version, or none after the wait.
func (s *partialService) Feed(ctx context.Context, req tables.FeedRequest) (tables.FeedResult, error) {
	tables.Sleep(ctx, req.Wait)
	v := s.version()
	if v <= req.After {
		return tables.FeedResult{Version: v}, nil
	}
	return tables.FeedResult{Rows: []tables.Row{{Table: req.Table, Key: "k", Version: v}}, Version: v}, nil
}

func (s *partialService) version() int64 { return 1 + int64(time.Since(s.startedAt)/time.Second) }

// TestFollowerWithUnavailablePart checks that a feed continues from where it was while a part
// can't be listed, and that no change is missed.
func TestFollowerWithUnavailablePart(t *testing.T) {
	const knownVersion, seconds = 1, 10
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithTimeout(t.Context(), seconds*time.Second+time.Second/2)
		defer stop()
		svc := &partialService{unavailablePart: "b", startedAt: time.Now()}
		var versions []int64
		f := tables.Follower{
			Service: svc, Table: "t", Parts: []string{"a", "b"}, FeedWait: 300 * time.Millisecond, After: knownVersion,
			Apply: func(rows []tables.Row, _ bool) {
				for _, r := range rows {
					versions = append(versions, r.Version)
				}
			},
			OnError: func(error) {},
		}
		f.Run(ctx)
		if len(versions) != seconds || versions[0] != knownVersion+1 {
			t.Errorf("the versions %v were seen, want %d of them, from %d", versions, seconds, knownVersion+1)
		}
	})
}
