// SPDX-License-Identifier: Apache-2.0

package cluster

// Share selects the tasks of a job that one shard runs: every Of-th task, starting with
// Index. The zero value selects all tasks.
type Share struct {
	Index int `json:"index"`
	Of    int `json:"of"`
	// Joint shares are divided by steps instead: the first shard runs all steps except gangs.
	// All shards run members of the gangs, each as many as the first one orders.
	Joint bool `json:"joint,omitempty"`
}

// Has reports whether the share contains the task with that index.
func (s Share) Has(task int) bool { return s.Of <= 1 || task%s.Of == s.Index }

// Whole reports whether the share is the whole job.
func (s Share) Whole() bool { return s.Of <= 1 }

// Leads reports whether the shard with this share leads the job: it answers for the whole
// job.
func (s Share) Leads() bool { return s.Index == 0 }

// MayRun reports whether the job's shard may run a task of a step.
func (j *Job) MayRun(step *Step, task int) bool {
	if j.Share.Joint {
		return j.Share.Leads() || step.Gang
	}
	return j.Share.Has(task)
}

// Splittable reports whether the job's tasks may run on several shards: they run until the
// job is cancelled, don't depend on each other, and may all be interrupted at once. A single
// shard can be too small for such a job if few of its workers are suitable and each may run
// only one task.
func (j *Job) Splittable() bool {
	for i := range j.Steps {
		s := &j.Steps[i]
		if !s.LongRunning || s.Gang || len(s.After) > 0 || s.DataRack != "" || s.MaxUnavailable > 0 {
			return false
		}
	}
	return true
}

// Split returns the job's parts for the shards of a layout, beginning with the given shard,
// which leads the job.
func (j *Job) Split(first int, l *Layout) []Job {
	widest := 0
	for i := range j.Steps {
		widest = max(widest, j.Steps[i].Count)
	}
	return j.splitInto(first, min(widest, l.Shards), l, false)
}

// SplitJoint returns the job's parts for all shards of a layout, which run its gangs
// together. The shard that has the job leads it.
func (j *Job) SplitJoint(l *Layout) []Job { return j.splitInto(j.Shard, l.Shards, l, true) }

// splitInto returns the job as the given number of parts, on consecutive shards of a layout.
func (j *Job) splitInto(first, of int, l *Layout, joint bool) []Job {
	parts := make([]Job, of)
	for i := range parts {
		parts[i] = *j
		parts[i].Shard, parts[i].Share = (first+i)%l.Shards, Share{i, of, joint}
	}
	return parts
}

// DataRack returns the first rack that holds data of the job, or an empty string.
func (j *Job) DataRack() string {
	for i := range j.Steps {
		if rack := j.Steps[i].DataRack; rack != "" {
			return rack
		}
	}
	return ""
}
