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
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
)

const (
	// listRetryDelay is the pause before a failed list is retried.
	listRetryDelay = 100 * time.Millisecond
	// minPartsWait is the shortest time that a load waits for job parts that don't answer: a
	// fast store answers in 4 ms, and one lost answer costs 0.2 s.
	minPartsWait = 300 * time.Millisecond
	// partsWaitFactor extends the wait to a multiple of the time that reading the progress
	// took: a slow store takes 0.4 s for a list, and the job parts are read in two rounds.
	partsWaitFactor = 3
)

// jobPartRows are the rows of the jobs of one part.
type jobPartRows struct {
	part    string
	rows    []tables.Row
	version int64
}

// loadedRows are the rows of a shard as loadShard has read them.
type loadedRows struct {
	jobs []tables.Row
	// progress maps job IDs to the rows of their progress.
	progress   map[string]tables.Row
	workerList tables.Row
	// teamParts holds what earlier owners have given of the teams' limits.
	teamParts tables.Row
	// chunks maps job IDs to the rows that hold parts of their progress.
	chunks map[string][]tables.Row
	// fallbackRows hold progress that was written while its own part did not answer.
	fallbackRows []tables.Row
	// version is the oldest version of the lists of jobs; their feed continues from it.
	version int64
	// missingParts are the parts of the jobs that have not been read.
	missingParts map[string]bool
}

// loadShard takes the fence and then reads the jobs, their progress and the worker list. The
// fence comes first, since until then the previous owner may still move jobs and persist
// progress. Job parts that don't answer in time are loaded later, so that they don't hold up
// the takeover.
func (o *Owner) loadShard(ctx context.Context) error {
	if err := o.takeFence(ctx); err != nil {
		return err
	}
	began := time.Now()
	rows := &loadedRows{progress: make(map[string]tables.Row), chunks: make(map[string][]tables.Row)}
	partsRead := o.readJobParts(ctx)
	if err := o.readProgress(ctx, rows); err != nil {
		return &Error{"load", KindLoad, err}
	}
	wait := max(minPartsWait, partsWaitFactor*time.Since(began))
	if err := o.collectJobParts(ctx, rows, partsRead, began.Add(wait)); err != nil {
		return &Error{"load", KindLoad, err}
	}
	o.mu.Lock()
	o.shard.Loaded(time.Now())
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

// readJobParts reads the jobs of all parts and retries each until it succeeds. Read slots limit
// how many answers arrive at once. A read that takes long gives up its slot, since a part of
// the store may be unavailable and must not block the others.
func (o *Owner) readJobParts(ctx context.Context) <-chan jobPartRows {
	partsRead := make(chan jobPartRows, NumJobParts)
	o.group.Go(func() error {
		g, ctx := errgroup.WithContext(ctx)
		readSlots := make(chan struct{}, o.cfg.MaxParallelReads)
		for _, part := range JobParts() {
			g.Go(func() error {
				defer acquireSlot(ctx, readSlots)()
				rows, version, err := o.listWithRetry(ctx, tables.ListRequest{Table: TableJobs(o.cfg.Shard), Part: part})
				if err == nil {
					partsRead <- jobPartRows{part, rows, version}
				}
				return err
			})
		}
		if err := g.Wait(); err != nil {
			return &Error{"read jobs", KindLoad, err}
		}
		close(partsRead)
		return nil
	})
	return partsRead
}

// maxSlotTime is the longest time that a call keeps its slot; an answer usually takes 4 ms.
const maxSlotTime = 50 * time.Millisecond

// acquireSlot waits for a slot, which is released by releaseSlot or after maxSlotTime.
func acquireSlot(ctx context.Context, slots chan struct{}) (releaseSlot func()) {
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return func() {}
	}
	var once sync.Once
	releaseOnce := func() { once.Do(func() { <-slots }) }
	t := time.AfterFunc(maxSlotTime, releaseOnce)
	return func() {
		t.Stop()
		releaseOnce()
	}
}

// collectJobParts receives the parts as they are read, until all are there or the deadline has
// passed. It waits for at least one part, since the feed needs its version.
func (o *Owner) collectJobParts(ctx context.Context, loaded *loadedRows, partsRead <-chan jobPartRows, deadline time.Time) error {
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	timedOut := false
	loaded.missingParts = make(map[string]bool, NumJobParts)
	for _, part := range JobParts() {
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

// progressRangeStarts are the keys at which the ranges begin in which a shard's progress is
// read. It is some hundred kilobytes in all, and owners on slow links have several other nodes
// read a range each.
var progressRangeStarts = []string{"", "4", "8", "c"}

// readProgress reads the progress of all jobs, including fallback rows, and the worker list.
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
		case teamPartsKey:
			loaded.teamParts = r
		default:
			if id, ok := scheduler.ChunkOwner(r.Key); ok {
				loaded.chunks[id] = append(loaded.chunks[id], r)
				continue
			}
			loaded.progress[r.Key] = r
		}
	}
	return nil
}

// listWithRetry reads rows, and retries until that succeeds or ctx ends.
func (o *Owner) listWithRetry(ctx context.Context, req tables.ListRequest) ([]tables.Row, int64, error) {
	for {
		rows, version, err := tables.ListAll(ctx, o.Tables, req)
		if err == nil {
			return rows, version, nil
		}
		o.Log.Warn("listing rows failed", events.StoreFailed, zap.String("table", req.Table), zap.String("part", req.Part), zap.Error(err))
		tables.Sleep(ctx, listRetryDelay)
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
	}
}
