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
	// listRetryDelay is the pause before a list that failed is read again.
	listRetryDelay = 100 * time.Millisecond
	// minPartsWait is how long a load waits at least for parts of the jobs that don't
	// answer: a fast store answers in 4 ms, and one lost answer costs 0.2 s.
	minPartsWait = 300 * time.Millisecond
	// partsWaitFactor is how many times as long as the lists of progress took it waits:
	// the lists of the jobs are read in two rounds, and a slow store takes 0.4 s for each.
	partsWaitFactor = 3
)

// jobPartRows are the jobs' rows of one part.
type jobPartRows struct {
	part    string
	rows    []tables.Row
	version int64
}

// loadedRows are the rows of a shard as they were read.
type loadedRows struct {
	jobs []tables.Row
	// progress is that of the jobs, by their IDs.
	progress   map[string]tables.Row
	workerList tables.Row
	// fallbackRows is progress that was written beside the rows of the jobs' own.
	fallbackRows []tables.Row
	// version is the oldest of the lists of jobs, from which their feed goes on.
	version int64
	// missingParts are the parts of the jobs that have not been read.
	missingParts map[string]bool
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
	partsRead := o.readJobParts(ctx)
	if err := o.readProgress(ctx, rows); err != nil {
		return &Error{"load", KindLoad, err}
	}
	wait := max(minPartsWait, partsWaitFactor*time.Since(began))
	if err := o.collectJobParts(ctx, rows, partsRead, began.Add(wait)); err != nil {
		return &Error{"load", KindLoad, err}
	}
	o.mu.Lock()
	jobs := o.applyLoaded(rows)
	o.loaded, o.feedVersion, o.jobsVersion = true, rows.version, rows.version
	o.mu.Unlock()
	o.Log.Info("shard loaded", events.ShardLoaded, zap.Stringer("shard", o.cfg.Shard), zap.Int64("epoch", o.Epoch()),
		zap.Int("jobs", jobs), zap.Int("progress", len(rows.progress)), zap.Int("parts_left", len(rows.missingParts)),
		zap.Duration("took", time.Since(began)))
	if len(rows.missingParts) > 0 {
		o.group.Go(func() error { o.applyLateParts(ctx, partsRead); return nil })
	}
	return nil
}

// readJobParts reads the jobs of all parts, each until that succeeds. Each read has a turn, so
// that few answers come at once; one that doesn't answer soon keeps no other from its turn,
// since some parts may be away.
func (o *Owner) readJobParts(ctx context.Context) <-chan jobPartRows {
	read := make(chan jobPartRows, NumJobParts)
	o.group.Go(func() error {
		g, ctx := errgroup.WithContext(ctx)
		readSlots := make(chan struct{}, o.cfg.MaxParallelReads)
		for _, part := range JobParts(o.cfg.Shard.Service) {
			g.Go(func() error {
				defer acquireReadSlot(ctx, readSlots)()
				rows, version, err := o.listWithRetry(ctx, tables.ListRequest{Table: TableJobs(o.cfg.Shard), Part: part})
				if err == nil {
					read <- jobPartRows{part, rows, version}
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

// maxReadSlotTime is how long a read keeps its turn at most: an answer takes 4 ms as a rule.
const maxReadSlotTime = 50 * time.Millisecond

// acquireReadSlot waits for a turn, which ends when the returned function is called or turnTime
// is over.
func acquireReadSlot(ctx context.Context, slots chan struct{}) (releaseSlot func()) {
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return func() {}
	}
	var once sync.Once
	releaseOnce := func() { once.Do(func() { <-slots }) }
	t := time.AfterFunc(maxReadSlotTime, releaseOnce)
	return func() {
		t.Stop()
		releaseOnce()
	}
}

// collectJobParts takes the parts as they are read, until all are or the time is over.
// The feed needs the version of one.
func (o *Owner) collectJobParts(ctx context.Context, loaded *loadedRows, partsRead <-chan jobPartRows, deadline time.Time) error {
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	timedOut := false
	loaded.missingParts = make(map[string]bool, NumJobParts)
	for _, part := range JobParts(o.cfg.Shard.Service) {
		loaded.missingParts[part] = true
	}
	for len(loaded.missingParts) > 0 && (!timedOut || len(loaded.missingParts) == NumJobParts) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timeout.C:
			timedOut = true
		case p := <-partsRead:
			delete(loaded.missingParts, p.part)
			loaded.jobs = append(loaded.jobs, p.rows...)
			if loaded.version == 0 || p.version < loaded.version {
				loaded.version = p.version
			}
		}
	}
	return nil
}

// progressRangeStarts are the keys from which a shard's progress is read, each to the next one:
// together it is some hundred kilobytes, which owners on slow links have read by several
// others.
var progressRangeStarts = []string{"", "4", "8", "c"}

// readProgress reads the progress of all jobs, also what is spilled of it, and the roster.
func (o *Owner) readProgress(ctx context.Context, loaded *loadedRows) error {
	ranges := make([][]tables.Row, len(progressRangeStarts))
	g, ctx := errgroup.WithContext(ctx)
	for i, from := range progressRangeStarts {
		req := tables.ListRequest{Table: TableProgress, Part: ProgressPart(o.cfg.Shard), From: from}
		if i+1 < len(progressRangeStarts) {
			req.To = progressRangeStarts[i+1]
		}
		g.Go(func() (err error) {
			ranges[i], _, err = o.listWithRetry(ctx, req)
			return err
		})
	}
	g.Go(func() (err error) {
		loaded.fallbackRows, _, err = o.listWithRetry(ctx, shardFallbackRequest(o.cfg.Shard))
		return err
	})
	if err := g.Wait(); err != nil {
		return err
	}
	for _, r := range slices.Concat(ranges...) {
		switch r.Key {
		case fenceKey:
		case workerListKey:
			loaded.workerList = r
		default:
			loaded.progress[r.Key] = r
		}
	}
	return nil
}

// listWithRetry reads rows, again and again until that succeeds.
func (o *Owner) listWithRetry(ctx context.Context, req tables.ListRequest) ([]tables.Row, int64, error) {
	for {
		rows, version, err := tables.ListAll(ctx, o.Tables, req)
		if err == nil {
			return rows, version, nil
		}
		o.Log.Warn("list not read", events.StoreFailed, zap.String("table", req.Table), zap.String("part", req.Part), zap.Error(err))
		tables.Sleep(ctx, listRetryDelay)
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
	}
}
