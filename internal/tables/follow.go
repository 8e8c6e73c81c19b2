// SPDX-License-Identifier: Apache-2.0

package tables

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// Follower keeps a copy of a table current from its feed. It lists the table when the feed's
// history has expired or a call has failed twice in a row, and, if RelistAfter is set, when the
// feed shows no change.
type Follower struct {
	Service Service
	Table   string
	// Parts are the parts to list; the feed covers all of them.
	Parts []string
	// FeedWait is how long one call of the feed waits for a change.
	FeedWait time.Duration
	// RelistAfter is the time after a list from which a feed without a change makes the table
	// be listed again. 0 means never, which suits large rows that rarely change.
	RelistAfter time.Duration
	// Pause is the shortest time between two calls of the feed.
	Pause time.Duration
	// After is the version up to which the caller knows the table; 0 means to list it first.
	After int64
	// Apply is called with changed rows, or with full set and all rows of the parts.
	Apply func(rows []Row, full bool)
	// OnCurrent, if not nil, is called after each call that has shown the table's present state.
	OnCurrent func()
	// Until, if not nil, ends Run between two calls once it returns true.
	Until func() bool
	// OnError is called with the error of a failed call, unless the call before it failed too.
	OnError func(err error)

	failing bool
	// listedAt is when the table was last listed, and listedVersion as of which version.
	listedAt      time.Time
	listedVersion int64
	// quietVersion is a version up to which the feed has shown no change, and quietAt when it
	// did. They are used only if RelistAfter is 0.
	quietVersion int64
	quietAt      time.Time
}

// followRetryDelay is the pause after a failed call: short compared with the time within which
// configuration has to arrive (2 s), and long compared with the response time of the service
// (4 ms).
const followRetryDelay = 100 * time.Millisecond

// fullFeedRows is the number of rows from which an answer of the feed counts as full, so that
// the next call follows without a pause: the service returns 500 rows at most. With 1,100
// workers that each announce themselves every 1.5 s, and a pause of 1 s after each answer, the
// follower falls further behind each second.
const fullFeedRows = 250

// minQuietAge is the age from which the feed continues from a version up to which it has shown
// no change. A feed may miss changes for a second before its history is dropped; a follower
// that continued from the newest version at once would never learn of them. The age is well
// below the 20 s for which the service keeps its history.
const minQuietAge = 5 * time.Second

// ended reports whether Run ends by Until.
func (f *Follower) ended() bool { return f.Until != nil && f.Until() }

// Run follows the table until ctx ends. Another Run goes on from there.
func (f *Follower) Run(ctx context.Context) {
	after, relist := f.After, f.After == 0
	defer func() { f.After = after }()
	for ctx.Err() == nil && !f.ended() {
		if relist {
			after = f.listAndApply(ctx, after)
			if after == 0 {
				continue
			}
		}
		res, err := f.Service.Feed(ctx, FeedRequest{Table: f.Table, After: after, Wait: f.FeedWait})
		if err != nil {
			historyGone := KindOf(err) == KindHistoryGone
			if historyGone {
				after = 0
			}
			relist = historyGone || f.RelistAfter > 0 || f.failing
			f.handleError(ctx, err)
			continue
		}
		f.failing = false
		if len(res.Rows) == 0 {
			f.noteCurrent()
			relist = f.RelistAfter > 0 && time.Since(f.listedAt) >= f.RelistAfter
			if f.RelistAfter == 0 {
				after = f.advanceQuiet(after, res.Version)
			}
			continue
		}
		relist = false
		f.Apply(res.Rows, false)
		f.noteCurrent()
		after, f.quietVersion = res.Version, 0
		if len(res.Rows) < fullFeedRows {
			Sleep(ctx, f.Pause)
		}
	}
}

// ListedVersion returns the version as of which the table was last listed, for Apply.
func (f *Follower) ListedVersion() int64 { return f.listedVersion }

// noteCurrent calls OnCurrent.
func (f *Follower) noteCurrent() {
	if f.OnCurrent != nil {
		f.OnCurrent()
	}
}

// advanceQuiet returns the version from which the feed continues after it has shown no change:
// an earlier version of that kind, so that the feed stays within its history.
func (f *Follower) advanceQuiet(after, version int64) int64 {
	now := time.Now()
	if f.quietVersion != 0 && now.Sub(f.quietAt) < minQuietAge {
		return after
	}
	after = max(after, f.quietVersion)
	f.quietVersion, f.quietAt = version, now
	return after
}

// listAndApply applies a list of all parts and returns the version from which the feed
// continues. While a part is unavailable, the list fails, and the feed continues from where it
// was, if that is known.
func (f *Follower) listAndApply(ctx context.Context, after int64) int64 {
	rows, version, err := f.listParts(ctx)
	if err != nil {
		f.handleError(ctx, err)
		return after
	}
	f.failing, f.listedAt, f.quietVersion, f.listedVersion = false, time.Now(), 0, version
	f.Apply(rows, true)
	f.noteCurrent()
	return version
}

// MaxParallelLists bounds the parts that are listed at once, so that all are listed in one or
// two rounds: each list takes 0.4 s while the service is slow.
const MaxParallelLists = 40

// listParts reads all parts and returns the oldest of their versions: a feed from there repeats
// changes that later lists may already show.
func (f *Follower) listParts(ctx context.Context) ([]Row, int64, error) {
	lists := make([][]Row, len(f.Parts))
	versions := make([]int64, len(f.Parts))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(MaxParallelLists)
	for i, part := range f.Parts {
		g.Go(func() (err error) {
			lists[i], versions[i], err = ListAll(ctx, f.Service, ListRequest{Table: f.Table, Part: part})
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, 0, err
	}
	return slices.Concat(lists...), max(slices.Min(versions), 1), nil
}

// handleError reports a failed call, unless the call before it failed too, and pauses.
func (f *Follower) handleError(ctx context.Context, err error) {
	if ctx.Err() == nil && !f.failing {
		f.failing = true
		f.OnError(err)
	}
	Sleep(ctx, followRetryDelay)
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
