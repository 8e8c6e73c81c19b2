// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
)

// Record is a job's progress row as it is to be written.
type Record struct {
	Job   string
	Queue string
	// Version is that of the row that it replaces; 0: there is none.
	Version int64
	Value   []byte
	// Final is set on the last record of a job, whose specification need not be kept any
	// more.
	Final bool
	// Change is the number of the job's last change that the record includes.
	Change int64
	// Chunks are rows that hold parts of the progress beside Value. Partial is set if others that have
	// changed are left out.
	Chunks  []ChunkRow
	Partial bool
	// Obsolete are the keys of rows with chunks that a job has left when it ended.
	Obsolete []string
}

// Batch is a set of records, and the ends that can be confirmed to the workers once they
// are persisted.
type Batch struct {
	Records []Record
	// confirmedEnds are the highest ends that can be confirmed, by worker.
	confirmedEnds map[*worker]int64
}

// maxSkippedBatches is how many batches may leave out a job's changes before these come
// first. While the store is slow there may always be more urgent changes, and a worker's
// ends are confirmed only up to the first one whose job has changes that were left out.
const maxSkippedBatches = 20

// NextBatch returns the changes to persist next, of at most maxJobs jobs, twice as many rows and about
// maxBytes: first those that many batches have left out, then those of finished jobs,
// since callers wait for them, then the most urgent. The batch covers a worker's ends up
// to the first one whose job has changes that are left out.
func (s *Shard) NextBatch(now time.Time, maxJobs, maxBytes int) Batch {
	maxRows := 2 * maxJobs
	rows, bytes := 0, 0
	return s.nextBatch(now, maxJobs, func(j *job) (r Record, ok bool) {
		if rows+2 > maxRows || bytes >= maxBytes {
			return r, false
		}
		r = s.newRecord(j, maxRows-rows-2, maxBytes-bytes)
		if rows > 0 && bytes+r.size() > maxBytes {
			return r, false
		}
		rows, bytes = rows+2+len(r.Chunks), bytes+r.size()
		j.noteSent(r.Chunks)
		return r, true
	})
}

// NextFullBatch is NextBatch for rows that hold the whole progress of a job each. Jobs for which that is
// too large are left out.
func (s *Shard) NextFullBatch(now time.Time, maxJobs, maxBytes int) Batch {
	bytes := 0
	return s.nextBatch(now, maxJobs, func(j *job) (r Record, ok bool) {
		r = Record{Job: j.spec.ID, Queue: j.spec.Queue, Version: j.version, Value: s.encodeProgress(j, j.progress()), Final: j.state.Finished(), Change: j.changeCount}
		if len(r.Value) > maxFullBytes || (bytes > 0 && bytes+r.size() > maxBytes) {
			return r, false
		}
		bytes += r.size()
		return r, true
	})
}

// nextBatch returns a batch of at most maxJobs of the changed jobs, in the order of NextBatch, as records
// that newRecord makes; ok is false in its result if the job has to be left out.
func (s *Shard) nextBatch(now time.Time, maxJobs int, newRecord func(j *job) (r Record, ok bool)) (b Batch) {
	// A moving job's row holds the mark of the move until that is completed or cancelled.
	open := slices.SortedFunc(maps.Values(s.dirty), compareDirty)
	open = slices.DeleteFunc(open, func(j *job) bool { return j.moving || now.Before(j.refusedUntil) })
	included := make(map[string]bool)
	for _, j := range open {
		if len(b.Records) < maxJobs {
			if r, ok := newRecord(j); ok {
				b.Records = append(b.Records, r)
				included[r.Job] = !r.Partial
				continue
			}
		}
		j.skippedBatches++
	}
	b.confirmedEnds = make(map[*worker]int64)
	for _, w := range s.workerList {
		if n := s.confirmableEnd(w, included); n > w.confirmedEnd {
			b.confirmedEnds[w] = n
		}
	}
	return b
}

// newRecord returns the record of a job's progress: one row, or a head and at most maxChunks rows of
// chunks that have changed, of about maxBytes.
func (s *Shard) newRecord(j *job, maxChunks, maxBytes int) Record {
	r := Record{Job: j.spec.ID, Queue: j.spec.Queue, Version: j.version, Final: j.state.Finished(), Change: j.changeCount}
	if r.Final {
		r.Value, r.Obsolete = s.encodeProgress(j, j.progressHead()), j.chunkKeys()
		return r
	}
	if !j.isChunked {
		if r.Value = s.encodeProgress(j, j.progress()); len(r.Value) <= maxInlineBytes {
			return r
		}
		j.isChunked = true
	}
	head, changed := j.chunked(j.progressHead())
	r.Value = s.encodeProgress(j, head)
	n, left := 0, maxBytes-len(r.Value)
	for ; n < min(len(changed), maxChunks) && (n == 0 || left > 0); n++ {
		left -= len(changed[n].Value) + rowOverheadBytes
	}
	r.Chunks, r.Partial = changed[:n], n < len(changed)
	return r
}

// size returns the approximate size of the record's rows.
func (r *Record) size() int {
	n := len(r.Value) + rowOverheadBytes
	for _, c := range r.Chunks {
		n += len(c.Value) + rowOverheadBytes
	}
	return n
}

// confirmableEnd returns up to which number a worker's ends are persisted once the
// changes of the given jobs are. A slow store leaves changes out of many batches in a
// row, so that ends which waited for a batch with all changes would never be confirmed.
func (s *Shard) confirmableEnd(w *worker, jobs map[string]bool) int64 {
	n := w.lastReadEnd()
	for _, e := range w.unconfirmedEnds {
		if s.dirty[e.job] != nil && !jobs[e.job] {
			n = min(n, e.number-1)
		}
	}
	return n
}

// encodeProgress returns the value of a job's progress row as of its last change.
func (s *Shard) encodeProgress(j *job, p Progress) []byte {
	p.Epoch, p.Change, p.MovesPlusOne = s.params.Epoch, j.changeCount, j.spec.Moves+1
	return encode(p)
}

// compareDirty orders jobs by how soon their progress should be persisted.
func compareDirty(a, b *job) int {
	if overdue := a.skippedBatches >= maxSkippedBatches; overdue != (b.skippedBatches >= maxSkippedBatches) {
		if overdue {
			return -1
		}
		return 1
	}
	if a.state.Finished() != b.state.Finished() {
		if a.state.Finished() {
			return -1
		}
		return 1
	}
	return cmp.Or(a.rank.compare(b.rank), strings.Compare(a.spec.ID, b.spec.ID))
}

// Empty reports whether there is nothing to persist and nothing to confirm.
func (b *Batch) Empty() bool { return len(b.Records) == 0 && len(b.confirmedEnds) == 0 }

// Persisted records that the batch is in the store, in the jobs' own rows, under the
// version.
func (s *Shard) Persisted(now time.Time, b Batch, version int64) {
	for _, r := range b.Records {
		if j := s.jobs[r.Job]; j != nil {
			j.version = version
			j.noteWritten(r.Chunks)
		}
	}
	s.batchDurable(now, b)
}

// PersistedInFallback records that the batch is durable in fallback rows, but not in the
// jobs' own rows yet. MarkDirty asks for it to be written there later.
func (s *Shard) PersistedInFallback(now time.Time, b Batch) { s.batchDurable(now, b) }

// MarkDirty makes the next batches write the progress of a job again; false: there is no
// such job.
func (s *Shard) MarkDirty(id string) bool {
	j := s.jobs[id]
	if j != nil {
		s.markChanged(j)
	}
	return j != nil
}

// batchDurable records that the changes and ends of a batch are durable.
func (s *Shard) batchDurable(now time.Time, b Batch) {
	for _, r := range b.Records {
		if j := s.jobs[r.Job]; j != nil {
			s.recordDurable(now, j, r)
		}
	}
	for w, n := range b.confirmedEnds {
		w.confirmedEnd = max(w.confirmedEnd, n)
		w.unconfirmedEnds = slices.DeleteFunc(w.unconfirmedEnds, func(e unconfirmedEnd) bool { return e.number <= w.confirmedEnd })
	}
}

// recordDurable records that the progress of a job is durable up to a change. Once that
// includes the job's end, its steps and specification are dropped.
func (s *Shard) recordDurable(now time.Time, j *job, r Record) {
	if r.Partial {
		return
	}
	j.skippedBatches, j.durableChange = 0, max(j.durableChange, r.Change)
	if r.Change == j.changeCount {
		delete(s.dirty, r.Job)
	}
	if !r.Final || j.finalPersisted {
		return
	}
	s.log.Info("job's end persisted", events.JobEndPersisted, zap.String("job", r.Job), zap.String("state", string(j.state)),
		zap.Duration("after", now.Sub(j.finishedAt)))
	s.endPersisted(now, j)
	j.repeats, j.ended = nil, nil
	j.spec.Spec, j.spec.Steps = "", nil
}

// refusedRetryInterval is the time after which a write that the store can't accept is tried again: a later
// change may fit.
const refusedRetryInterval = 30 * time.Second

// ProgressRefused records that the store can't accept the progress of a job as it is. It is not written
// again for a while, so that it doesn't keep that of other jobs from being written.
func (s *Shard) ProgressRefused(now time.Time, r Record) {
	j := s.jobs[r.Job]
	if j == nil {
		return
	}
	j.refusedUntil = now.Add(refusedRetryInterval)
	s.counts.RefusedProgress++
	s.log.Error("the store refuses the progress of a job", events.ProgressRefused, zap.String("job", r.Job), zap.String("queue", r.Queue),
		zap.Int("bytes", r.size()), zap.Int("rows", 1+len(r.Chunks)), zap.Int("tasks", j.tasksLeft))
}

// SetVersion corrects the version of a job's progress row after a conflict.
func (s *Shard) SetVersion(id string, version int64) {
	if j := s.jobs[id]; j != nil {
		j.version = version
	}
}
