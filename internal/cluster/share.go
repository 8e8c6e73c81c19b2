// SPDX-License-Identifier: Apache-2.0

package cluster

// Share is the part of a job's tasks that one shard runs: every Of-th task, beginning
// with Index. The zero value is the whole job.
type Share struct {
	Index int `json:"index"`
	Of    int `json:"of"`
	// Joint shares are told apart by steps: the first shard runs all steps but the gangs,
	// whose members all shards run together, each as many as the first one tells it.
	Joint bool `json:"joint,omitempty"`
}

// Has reports whether the share holds the task of that index.
func (s Share) Has(task int) bool { return s.Of <= 1 || task%s.Of == s.Index }

// Whole reports whether the share is the whole job.
func (s Share) Whole() bool { return s.Of <= 1 }

// Leads reports whether the shard with the share speaks for the whole job.
func (s Share) Leads() bool { return s.Index == 0 }

// MayRun reports whether the job's shard may run a task of a step.
func (j *Job) MayRun(step *Step, task int) bool {
	if j.Share.Joint {
		return j.Share.Leads() || step.Gang
	}
	return j.Share.Has(task)
}

// Splittable reports whether the job's tasks may run on several shards: tasks that run
// until the job is cancelled, need nothing of each other, and may all be away at
// once. A shard alone can be too small for them where few of its workers may run
// them and each may carry only one.
func (j *Job) Splittable() bool {
	for i := range j.Steps {
		s := &j.Steps[i]
		if !s.LongRunning || s.Gang || len(s.After) > 0 || s.DataRack != "" || s.MaxUnavailable > 0 {
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
	return j.splitInto(first, min(widest, l.Shards), l, false)
}

// SplitJoint returns the job as its parts on all shards of a layout, which run its gangs
// together. The shard that has it speaks for the whole job.
func (j *Job) SplitJoint(l *Layout) []Job { return j.splitInto(j.Shard, l.Shards, l, true) }

// splitInto returns the job as so many splitInto, on shards of a layout from the first on.
func (j *Job) splitInto(first, of int, l *Layout, joint bool) []Job {
	parts := make([]Job, of)
	for i := range parts {
		parts[i] = *j
		parts[i].Shard, parts[i].Share = (first+i)%l.Shards, Share{i, of, joint}
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
