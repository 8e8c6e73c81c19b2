// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"switchbank.example/switchbank/internal/cluster"
)

// This file divides the progress of a large job over several rows. A store takes only rows and writes
// of some size, and a change should not cost more the more tasks a job has: the progress of the tasks of
// a step is divided into chunks, each with a row of its own that is written when it has changed. A job
// whose progress once was too large for one row keeps its chunks.

const (
	// maxInlineBytes is the size of a progress row above which the job's steps go to rows of their own.
	maxInlineBytes = 4 << 10
	// chunkTasks is how many tasks of a step share a row.
	chunkTasks = 64
	// maxChunkBytes is the size of a chunk's row above which it has no checkpoints: its tasks would start
	// anew. It is below the size of a row that the stores of the known platforms take.
	maxChunkBytes = 48 << 10
	// maxFullBytes is the same for a row that has to hold the whole progress of a job.
	maxFullBytes = 48 << 10
	// rowOverheadBytes is what a row adds to a write beside its value, with its keys.
	rowOverheadBytes = 150
	// chunkSeparator lies between the job and the chunk in the key of a chunk's row. No job ID has it.
	chunkSeparator = "/"
)

// chunkID names a chunk: tasks of one step of one repeat, of which it is the index-th.
type chunkID struct{ repeat, step, index int }

// key returns the key of the chunk's row.
func (c chunkID) key(job string) string {
	return fmt.Sprintf("%s%s%d.%d.%d", job, chunkSeparator, c.repeat, c.step, c.index)
}

// parseChunkKey returns the chunk that a key names; ok is false for another key.
func parseChunkKey(key string) (c chunkID, ok bool) {
	_, name, found := strings.Cut(key, chunkSeparator)
	if !found {
		return c, false
	}
	_, err := fmt.Sscanf(name, "%d.%d.%d", &c.repeat, &c.step, &c.index)
	return c, err == nil
}

// ChunkOwner returns the job of a chunk's row, by its key; ok is false for other rows.
func ChunkOwner(key string) (job string, ok bool) {
	job, _, ok = strings.Cut(key, chunkSeparator)
	return job, ok
}

// ChunkRow is a row that holds a part of a job's progress.
type ChunkRow struct {
	Key string
	// Value is empty if the row is to be removed.
	Value []byte

	id   chunkID
	hash uint64
}

// unknownHash marks a chunk whose row in the store is not known to be the last one that was encoded.
const unknownHash = 0

// DoneChunks are the chunks of a wide step all of whose tasks have succeeded, which have no rows.
type DoneChunks struct {
	Repeat int       `json:"r,omitempty"`
	Step   int       `json:"s,omitempty"`
	Chunks numberSet `json:"c"`
}

// JoinChunks adds the rows of a job's chunks to its progress. Those of which it is known better are only
// remembered as rows of the job.
func (p *Progress) JoinChunks(rows map[string][]byte) error {
	for key, value := range rows {
		p.ChunkKeys = append(p.ChunkKeys, key)
		if !p.Chunked {
			continue
		}
		var ss StepState
		if err := json.Unmarshal(value, &ss); err != nil {
			return &cluster.Error{Op: "join progress", Kind: cluster.KindInvalid, Field: key, Err: err}
		}
		p.Steps = append(p.Steps, ss)
	}
	slices.Sort(p.ChunkKeys)
	return nil
}

// chunkSummary tells what the row of a chunk has to say.
type chunkSummary struct {
	// empty chunks have no progress, and all tasks of done ones have succeeded. Neither has a row, but for
	// a done one of a step that isn't wide.
	empty, done bool
	// hash differs with each change of the progress.
	hash uint64
}

// summarizeChunk summarizes the progress of a chunk of the step.
func (st *step) summarizeChunk(index int) chunkSummary {
	tasks := st.tasks[index*chunkTasks : min((index+1)*chunkTasks, len(st.tasks))]
	sum := chunkSummary{empty: true, done: len(tasks) == min(chunkTasks, st.spec.Count-index*chunkTasks)}
	for _, t := range tasks {
		sum.done = sum.done && t.done
		sum.add(t)
	}
	sum.hash = max(unknownHash+1, sum.hash)
	return sum
}

// add adds what is persisted of a task.
func (sum *chunkSummary) add(t *task) {
	switch {
	case t.done:
		sum.empty = false
		sum.mix(1)
	case !t.hasProgress():
		sum.mix(2)
	default:
		sum.empty = false
		sum.mix(uint64(t.lastRun))
		sum.mix(xxhash.Sum64String(t.checkpoint))
		for _, n := range t.failed {
			sum.mix(uint64(n))
		}
		sum.mix(uint64(len(t.crashes.Runs)))
		sum.mix(uint64(t.crashes.StartsAfterMany))
		if t.crashes.Confirmed {
			sum.mix(3)
		}
	}
}

// mix adds a value to the hash, as FNV-1a does with a byte.
func (sum *chunkSummary) mix(v uint64) {
	const prime = 1099511628211
	sum.hash = (sum.hash ^ v) * prime
	sum.hash ^= sum.hash >> 32
}

// encodeChunk returns the value of the row of a chunk of the step.
func (st *step) encodeChunk(index int) []byte {
	ss, _ := st.state(index*chunkTasks, min((index+1)*chunkTasks, len(st.tasks)))
	return encodeStep(ss)
}

// isWide reports whether the step has several chunks.
func (st *step) isWide() bool { return st.spec.Count > chunkTasks }

// encodeStep returns the value of a chunk's row. One that would be too large has no checkpoints.
func encodeStep(ss StepState) []byte {
	value := encode(ss)
	if len(value) <= maxChunkBytes {
		return value
	}
	ss.Tasks = slices.Clone(ss.Tasks)
	for i := range ss.Tasks {
		ss.Tasks[i].Checkpoint = ""
	}
	return encode(ss)
}

// encode returns a value of this package as JSON.
func encode(v any) []byte {
	value, err := json.Marshal(v)
	if err != nil {
		panic("scheduler: progress holds only strings and numbers: " + err.Error())
	}
	return value
}

// chunked returns the head of the job's progress, without its steps, and its chunks as rows that differ
// from those in the store.
func (j *job) chunked(p Progress) (head Progress, changed []ChunkRow) {
	p.Chunked = true
	current := make(map[chunkID]bool, len(j.chunkHashes))
	for _, rep := range j.repeats {
		if j.ended.has(rep.number) {
			continue
		}
		for _, st := range rep.steps {
			var done numberSet
			for i := range (len(st.tasks) + chunkTasks - 1) / chunkTasks {
				sum := st.summarizeChunk(i)
				if sum.done && st.isWide() {
					done = done.add(i)
					continue
				}
				if sum.empty {
					continue
				}
				id := chunkID{rep.number, st.id.Step, i}
				current[id] = true
				if j.chunkHashes[id] != sum.hash {
					changed = append(changed, ChunkRow{Key: id.key(j.spec.ID), Value: st.encodeChunk(i), id: id, hash: sum.hash})
				}
			}
			if len(done) > 0 {
				p.DoneChunks = append(p.DoneChunks, DoneChunks{rep.number, st.id.Step, done})
			}
		}
	}
	for _, id := range j.sortedChunks() {
		if !current[id] {
			changed = append(changed, ChunkRow{Key: id.key(j.spec.ID), id: id})
		}
	}
	return p, changed
}

// sortedChunks returns the chunks that may have rows in the store, in a fixed order.
func (j *job) sortedChunks() []chunkID {
	list := make([]chunkID, 0, len(j.chunkHashes))
	for id := range j.chunkHashes {
		list = append(list, id)
	}
	slices.SortFunc(list, func(a, b chunkID) int {
		return compareTask(cluster.TaskID{Repeat: a.repeat, Step: a.step, Index: a.index}, cluster.TaskID{Repeat: b.repeat, Step: b.step, Index: b.index})
	})
	return list
}

// chunkKeys returns the keys of the rows that the job's chunks may have in the store.
func (j *job) chunkKeys() (keys []string) {
	for _, id := range j.sortedChunks() {
		keys = append(keys, id.key(j.spec.ID))
	}
	return keys
}

// noteSent records that rows of chunks are being written: until that is known to have taken effect,
// either state may be in the store.
func (j *job) noteSent(rows []ChunkRow) {
	if j.chunkHashes == nil {
		j.chunkHashes = make(map[chunkID]uint64)
	}
	for _, row := range rows {
		j.chunkHashes[row.id] = unknownHash
	}
}

// noteWritten records that rows of chunks are in the store.
func (j *job) noteWritten(rows []ChunkRow) {
	for _, row := range rows {
		if len(row.Value) == 0 {
			delete(j.chunkHashes, row.id)
		} else {
			j.chunkHashes[row.id] = row.hash
		}
	}
}

// restoreChunks records which chunks have rows, and the tasks of those that are done.
func (s *Shard) restoreChunks(j *job, p *Progress) {
	for _, key := range p.ChunkKeys {
		if id, ok := parseChunkKey(key); ok {
			j.noteSent([]ChunkRow{{id: id}})
		}
	}
	j.isChunked = p.Chunked || len(p.ChunkKeys) > 0
	for _, d := range p.DoneChunks {
		st := s.step(StepID{j.spec.ID, d.Repeat, d.Step})
		if st == nil || j.ended.has(d.Repeat) || !d.Chunks.valid((st.spec.Count-1)/chunkTasks) {
			continue
		}
		for _, r := range d.Chunks {
			s.restoreDone(st, r.First*chunkTasks, min((r.Last+1)*chunkTasks, st.spec.Count))
		}
	}
}
