// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/tables"
)

const (
	// loadRetry is the pause before a list that failed is read again.
	loadRetry = 100 * time.Millisecond
	// loadPatience is how long a load waits at least for parts of the jobs that don't
	// answer: a fast store answers in 4 ms, and one lost answer costs 0.2 s.
	loadPatience = 300 * time.Millisecond
	// loadRounds is how many times as long as the lists of progress took it waits:
	// the lists of the jobs are read in two rounds, and a slow store takes 0.4 s for each.
	loadRounds = 3
)

// partJobs are the jobs' rows of one part.
type partJobs struct {
	part    string
	rows    []tables.Row
	version int64
}

// loadedRows are the rows of a shard as they were read.
type loadedRows struct {
	jobs []tables.Row
	// progress is that of the jobs, by their IDs.
	progress map[string]tables.Row
	roster   tables.Row
	// spilled is progress that was written beside the rows of the jobs' own.
	spilled []tables.Row
	// version is the oldest of the lists of jobs, from which their feed goes on.
	version int64
	// missing are the parts of the jobs that have not been read.
	missing map[string]bool
}

// load takes the fence, and then reads the jobs, their progress and the roster of
// workers: before the fence is taken, the last owner may still move jobs and persist
// progress. Parts of the jobs that don't answer are left for later, once all else has
// been read.
func (o *Owner) load(ctx context.Context) error {
	if err := o.takeFence(ctx); err != nil {
		return err
	}
	began := time.Now()
	rows := &loadedRows{progress: make(map[string]tables.Row)}
	read := o.readParts(ctx)
	if err := o.loadProgress(ctx, rows); err != nil {
		return &Error{"load", KindLoad, err}
	}
	patience := max(loadPatience, loadRounds*time.Since(began))
	if err := o.awaitParts(ctx, rows, read, began.Add(patience)); err != nil {
		return &Error{"load", KindLoad, err}
	}
	o.mu.Lock()
	jobs := o.take(rows)
	o.loaded, o.feedFrom, o.jobsUpTo = true, rows.version, rows.version
	o.mu.Unlock()
	o.Log.Info("shard loaded", events.ShardLoaded, zap.Stringer("shard", o.cfg.Shard), zap.Int64("epoch", o.Epoch()),
		zap.Int("jobs", jobs), zap.Int("progress", len(rows.progress)), zap.Int("parts_left", len(rows.missing)),
		zap.Duration("took", time.Since(began)))
	if len(rows.missing) > 0 {
		o.group.Go(func() error { o.takeLateParts(ctx, read); return nil })
	}
	return nil
}

// readParts reads the jobs of all parts, each until that succeeds. Each read has a turn, so
// that few answers come at once; one that doesn't answer soon keeps no other from its turn,
// since some parts may be away.
func (o *Owner) readParts(ctx context.Context) <-chan partJobs {
	read := make(chan partJobs, NumJobParts)
	o.group.Go(func() error {
		g, ctx := errgroup.WithContext(ctx)
		turns := make(chan struct{}, o.cfg.MaxParallelReads)
		for _, part := range JobParts(o.cfg.Shard.Service) {
			g.Go(func() error {
				defer takeTurn(ctx, turns)()
				rows, version, err := o.listUntilRead(ctx, tables.ListRequest{Table: TableJobs(o.cfg.Shard), Part: part})
				if err == nil {
					read <- partJobs{part, rows, version}
				}
				return err
			})
		}
		if err := g.Wait(); err != nil {
			return &Error{"read jobs", KindLoad, err}
		}
		close(read)
		return nil
	})
	return read
}

// turnTime is how long a read keeps its turn at most: an answer takes 4 ms as a rule.
const turnTime = 50 * time.Millisecond

// takeTurn waits for a turn, which ends when the returned function is called or turnTime
// is over.
func takeTurn(ctx context.Context, turns chan struct{}) (end func()) {
	select {
	case turns <- struct{}{}:
	case <-ctx.Done():
		return func() {}
	}
	var once sync.Once
	release := func() { once.Do(func() { <-turns }) }
	t := time.AfterFunc(turnTime, release)
	return func() {
		t.Stop()
		release()
	}
}

// awaitParts takes the parts as they are read, until all are or the time is over.
// The feed needs the version of one.
func (o *Owner) awaitParts(ctx context.Context, to *loadedRows, read <-chan partJobs, until time.Time) error {
	patience := time.NewTimer(time.Until(until))
	defer patience.Stop()
	over := false
	to.missing = make(map[string]bool, NumJobParts)
	for _, part := range JobParts(o.cfg.Shard.Service) {
		to.missing[part] = true
	}
	for len(to.missing) > 0 && (!over || len(to.missing) == NumJobParts) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-patience.C:
			over = true
		case p := <-read:
			delete(to.missing, p.part)
			to.jobs = append(to.jobs, p.rows...)
			if to.version == 0 || p.version < to.version {
				to.version = p.version
			}
		}
	}
	return nil
}

// progressFrom are the keys from which a shard's progress is read, each to the next one:
// together it is some hundred kilobytes, which owners on slow links have read by several
// others.
var progressFrom = []string{"", "4", "8", "c"}

// loadProgress reads the progress of all jobs, also what is spilled of it, and the roster.
func (o *Owner) loadProgress(ctx context.Context, to *loadedRows) error {
	ranges := make([][]tables.Row, len(progressFrom))
	g, ctx := errgroup.WithContext(ctx)
	for i, from := range progressFrom {
		req := tables.ListRequest{Table: TableProgress, Part: ProgressPart(o.cfg.Shard), From: from}
		if i+1 < len(progressFrom) {
			req.To = progressFrom[i+1]
		}
		g.Go(func() (err error) {
			ranges[i], _, err = o.listUntilRead(ctx, req)
			return err
		})
	}
	g.Go(func() (err error) {
		to.spilled, _, err = o.listUntilRead(ctx, spilledBy(o.cfg.Shard))
		return err
	})
	if err := g.Wait(); err != nil {
		return err
	}
	for _, r := range slices.Concat(ranges...) {
		switch r.Key {
		case fenceKey:
		case rosterKey:
			to.roster = r
		default:
			to.progress[r.Key] = r
		}
	}
	return nil
}

// listUntilRead reads rows, again and again until that succeeds.
func (o *Owner) listUntilRead(ctx context.Context, req tables.ListRequest) ([]tables.Row, int64, error) {
	for {
		rows, version, err := tables.ListAll(ctx, o.Tables, req)
		if err == nil {
			return rows, version, nil
		}
		o.Log.Warn("list not read", events.StoreFailed, zap.String("table", req.Table), zap.String("part", req.Part), zap.Error(err))
		tables.Sleep(ctx, loadRetry)
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
	}
}
