// SPDX-License-Identifier: Apache-2.0

package cluster

// Share is the part of a job's tasks that one shard runs: every Of-th task,
// beginning with Index. The zero value is the whole job.
type Share struct {
	Index int `json:"index"`
	Of    int `json:"of"`
}

// Has reports whether the share holds the task of that index.
func (s Share) Has(task int) bool { return s.Of <= 1 || task%s.Of == s.Index }

// Whole reports whether the share is the whole job.
func (s Share) Whole() bool { return s.Of <= 1 }

// Splits reports whether the job's tasks may run on several shards: tasks that run
// until the job is cancelled, need nothing of each other, and may all be away at
// once. A shard alone can be too small for them where few of its workers may run
// them and each may carry only one.
func (j *Job) Splits() bool {
	for i := range j.Steps {
		s := &j.Steps[i]
		if !s.LongRunning || s.Gang || len(s.After) > 0 || s.DataRack != "" || s.MaxAway > 0 {
			return false
		}
	}
	return true
}

// Split returns the job as its parts on the shards of a layout, beginning with the
// shard named first, which speaks for the whole job.
func (j *Job) Split(first int, l *Layout) []Job {
	widest := 0
	for i := range j.Steps {
		widest = max(widest, j.Steps[i].Count)
	}
	of := min(widest, l.Shards)
	parts := make([]Job, of)
	for i := range parts {
		parts[i] = *j
		parts[i].Shard, parts[i].Share = (first+i)%l.Shards, Share{i, of}
	}
	return parts
}

// DataRack returns the first rack on which data of the job lies, or "".
func (j *Job) DataRack() string {
	for i := range j.Steps {
		if rack := j.Steps[i].DataRack; rack != "" {
			return rack
		}
	}
	return ""
}
