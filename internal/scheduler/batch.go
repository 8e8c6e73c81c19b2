// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
)

// Record is a job's progress as it is to be written.
type Record struct {
	Job   string
	Queue string
	// Version is that of the row which it replaces; 0: there is none.
	Version int64
	Value   []byte
	// Final records end the job; its specification need not be kept.
	Final bool
	// Change is how many changes of the job the record covers.
	Change int64
}

// Batch is a set of records, and the ends that they cover.
type Batch struct {
	Records []Record
	// confirmedEnds are the highest ends by the workers' lives that are covered once the batch is
	// persisted.
	confirmedEnds map[*worker]int64
}

// maxSkippedBatches is how many batches may leave a job's changes out before these come first:
// while the store is slow there may always be more urgent ones, and a worker's ends are
// confirmed only up to the first whose job has changes that are left out.
const maxSkippedBatches = 20

// NextBatch returns what has to be persisted, for at most maxJobs jobs and of about maxBytes at
// most: what was left out of many batches first, then finished ones, since callers wait for
// that, and of these the most urgent.
// Ends of a worker are covered up to the first whose job has changes that are left out.
func (s *Shard) NextBatch(maxJobs, maxBytes int) Batch {
	var b Batch
	// What a moving job's progress is, its mark says until the move is settled.
	open := slices.SortedFunc(maps.Values(s.dirty), compareDirty)
	open = slices.DeleteFunc(open, func(j *job) bool { return j.moving })
	bytes, taken := 0, make(map[string]bool)
	for _, j := range open[:min(len(open), maxJobs)] {
		r := Record{
			Job: j.spec.ID, Queue: j.spec.Queue, Version: j.version, Value: s.encodeProgress(j, j.progress()), Final: j.state.Finished(), Change: j.changeCount,
		}
		if bytes += len(r.Value); bytes > maxBytes && len(b.Records) > 0 {
			break
		}
		b.Records = append(b.Records, r)
		taken[r.Job] = true
	}
	for _, j := range open[len(b.Records):] {
		j.skippedBatches++
	}
	b.confirmedEnds = make(map[*worker]int64)
	for _, w := range s.workerList {
		if n := s.confirmableEnd(w, taken); n > w.confirmedEnd {
			b.confirmedEnds[w] = n
		}
	}
	return b
}

// confirmableEnd returns up to which number a worker's ends are persisted once the changes of
// some jobs are. While a store is slow changes are left out of many batches in a row, and
// ends that waited for a batch with all of them were confirmed by none.
func (s *Shard) confirmableEnd(w *worker, jobs map[string]bool) int64 {
	n := w.lastReadEnd()
	for _, e := range w.unconfirmedEnds {
		if s.dirty[e.job] != nil && !jobs[e.job] {
			n = min(n, e.n-1)
		}
	}
	return n
}

// encodeProgress returns the value of a job's progress row as of its last change.
func (s *Shard) encodeProgress(j *job, p Progress) []byte {
	p.Epoch, p.Change, p.MovesPlusOne = s.params.Epoch, j.changeCount, j.spec.Moves+1
	value, err := json.Marshal(p)
	if err != nil {
		panic("scheduler: progress holds only strings and numbers: " + err.Error())
	}
	return value
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

// Persisted notes that the batch is in the store, in the rows that are the jobs' own,
// under the version.
func (s *Shard) Persisted(now time.Time, b Batch, version int64) {
	for _, r := range b.Records {
		if j := s.jobs[r.Job]; j != nil {
			j.version = version
		}
	}
	s.batchDurable(now, b)
}

// PersistedElsewhere notes that the batch is in the store, but not in the rows that are the
// jobs' own: it is durable, and is to be written there once MarkDirty asks for it.
func (s *Shard) PersistedElsewhere(now time.Time, b Batch) { s.batchDurable(now, b) }

// MarkDirty lets the progress of a job be written again; false: there is no such job.
func (s *Shard) MarkDirty(id string) bool {
	j := s.jobs[id]
	if j != nil {
		s.markChanged(j)
	}
	return j != nil
}

// batchDurable notes that the changes and ends of a batch are durable.
func (s *Shard) batchDurable(now time.Time, b Batch) {
	for _, r := range b.Records {
		if j := s.jobs[r.Job]; j != nil {
			s.recordDurable(now, j, r)
		}
	}
	for w, n := range b.confirmedEnds {
		w.confirmedEnd = max(w.confirmedEnd, n)
		w.unconfirmedEnds = slices.DeleteFunc(w.unconfirmedEnds, func(e unconfirmedEnd) bool { return e.n <= w.confirmedEnd })
	}
}

// recordDurable notes that a record is durable.
func (s *Shard) recordDurable(now time.Time, j *job, r Record) {
	j.skippedBatches = 0
	if r.Change == j.changeCount {
		delete(s.dirty, r.Job)
	}
	if !r.Final || j.finalPersisted {
		return
	}
	s.log.Info("job's end persisted", events.JobEndPersisted, zap.String("job", r.Job), zap.String("state", string(j.state)),
		zap.Duration("after", now.Sub(j.finishedAt)))
	s.endPersisted(now, j)
	j.repeats = nil
	j.spec.Spec, j.spec.Steps = "", nil
}

// SetVersion corrects the version of a job's progress row after a conflict.
func (s *Shard) SetVersion(id string, version int64) {
	if j := s.jobs[id]; j != nil {
		j.version = version
	}
}
