// SPDX-License-Identifier: Apache-2.0

package tables

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// Follower keeps a table current: from its feed, and from a list when the feed has lost
// its history or has failed twice, and, if that is asked for, when it has been silent.
type Follower struct {
	Service Service
	Table   string
	// Parts are the parts to list; the feed covers all of them.
	Parts []string
	// FeedWait is how long one call of the feed waits for a change.
	FeedWait time.Duration
	// RelistAfter is how long after a list a feed that says nothing makes the table be
	// listed again; 0: never, which is for large rows that rarely change.
	RelistAfter time.Duration
	// Pause is the least time between two calls of the feed.
	Pause time.Duration
	// After is the version up to which the caller knows the table; 0: list first.
	After int64
	// Apply takes changed rows; whole is true for a full list of the parts.
	Apply func(rows []Row, full bool)
	// OnError is told of the first failed call after one that was answered.
	OnError func(err error)

	failing bool
	// listedAt is when the table was last listed.
	listedAt time.Time
	// quietVersion is a version that the feed has shown without a change, and markedAt when;
	// only a table that isn't listed again needs it.
	quietVersion int64
	quietAt      time.Time
}

// followRetryDelay is the pause after a failed call: short beside the bounds on
// configuration (2 s), long beside the answer time of the service (4 ms).
const followRetryDelay = 100 * time.Millisecond

// fullFeedRows is from how many rows on an answer of the feed may be cut short, with more
// waiting behind it: the service answers 500 at most. Of 1,100 workers that each announce
// themselves every 1.5 s, a pause of 1 s after each answer left more behind each second.
const fullFeedRows = 250

// minQuietAge is how old a version has to be that the feed has shown without a change
// before the feed goes on from there. A feed can be deaf for a second before its history
// is dropped; one that went on at once would then never learn of what it missed. It is
// well below the 20 s for which the service keeps its history.
const minQuietAge = 5 * time.Second

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	after, relist := f.After, f.After == 0
	for ctx.Err() == nil {
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
			relist = f.RelistAfter > 0 && time.Since(f.listedAt) >= f.RelistAfter
			if f.RelistAfter == 0 {
				after = f.advanceQuiet(after, res.Version)
			}
			continue
		}
		relist = false
		f.Apply(res.Rows, false)
		after, f.quietVersion = res.Version, 0
		if len(res.Rows) < fullFeedRows {
			Sleep(ctx, f.Pause)
		}
	}
}

// advanceQuiet returns from where the feed goes on after it has shown a version without a
// change: from an earlier such version, so that it stays within the history.
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
// goes on. A list fails while one of the parts is away: the feed then goes on from
// where it was, if that is known.
func (f *Follower) listAndApply(ctx context.Context, after int64) int64 {
	rows, version, err := f.listParts(ctx)
	if err != nil {
		f.handleError(ctx, err)
		return after
	}
	f.failing, f.listedAt, f.quietVersion = false, time.Now(), 0
	f.Apply(rows, true)
	return version
}

// MaxParallelLists bounds the parts that are listed at once: all in one or two rounds,
// since each list takes 0.4 s while the service is slow.
const MaxParallelLists = 40

// listParts reads all parts. The version is the oldest of theirs, from which the feed
// repeats what later lists have shown.
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

// handleError tells of a failed call, unless the one before it failed too, and waits a little.
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
