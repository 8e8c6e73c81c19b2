// SPDX-License-Identifier: Apache-2.0

package admission

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"switchbank.example/switchbank/internal/forecast"
)

// This file addresses bursts: a summary is up to 0.3 s old, in which a node may admit many jobs that
// the summary does not include.

// maxRecent bounds the jobs of which a node remembers that it has admitted them: those of 2 s at
// 500 jobs a second.
const maxRecent = 1000

// Recent holds the jobs that this node has lately admitted, by the shard on which each is placed. It
// is safe for concurrent use.
type Recent struct {
	mu   sync.Mutex
	jobs []recentJob
}

type recentJob struct {
	id, shard string
	job       forecast.Job
	at        time.Duration
}

// Add records that a job is placed on a shard. A job that is placed anew has left the shard where it
// was.
func (c *Recent) Add(r Request, shard string, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs = slices.DeleteFunc(c.jobs, func(j recentJob) bool {
		return j.id == r.ID || now-j.at > forecast.MaxAge || j.at > now
	})
	c.jobs = append(c.jobs, recentJob{r.ID, shard, r.Job, now})
	c.jobs = c.jobs[max(0, len(c.jobs)-maxRecent):]
}

// Apply returns the view of a shard for a request, with the other jobs that were placed there after
// the summary was received and go before the job of the request.
func (c *Recent) Apply(shard string, v ShardView, r *Request, now time.Duration) ShardView {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v.Summary == nil {
		return v
	}
	copied := false
	for _, j := range c.jobs {
		if j.shard != shard || j.id == r.ID || j.at <= now-v.Age || !j.ahead(&r.Job, now) {
			continue
		}
		if !copied {
			v.Summary, copied = clone(v.Summary), true
		}
		addJob(v.Summary, j.job)
	}
	return v
}

// ahead reports whether the job goes before a new one.
func (j *recentJob) ahead(next *forecast.Job, now time.Duration) bool {
	if j.job.Priority != next.Priority {
		return j.job.Priority < next.Priority
	}
	return j.job.Due-(now-j.at) <= next.Due
}

// clone returns a copy of a summary whose lanes can be changed.
func clone(s *forecast.Summary) *forecast.Summary {
	next := *s
	next.Lanes = slices.Clone(s.Lanes)
	for i := range next.Lanes {
		next.Lanes[i].Waiting = slices.Clone(next.Lanes[i].Waiting)
	}
	return &next
}

// addJob adds a job that goes before the next one: it runs if it fits, and waits otherwise. It waits
// in the bucket of what is due now, which is ahead of all other work of its priority: the others
// count only in part, by the due time of the next job.
func addJob(s *forecast.Summary, j forecast.Job) {
	l := laneOf(s, j.Priority)
	if l == nil {
		return
	}
	if j.WidestMilli <= s.FreeMilli {
		s.FreeMilli -= j.WidestMilli
		l.Running += j.WorkMilliSec
		return
	}
	if len(l.Waiting) > 0 {
		l.Waiting[0] += j.WorkMilliSec
	}
}

// laneOf returns the lane of a priority, and adds it if there is none; nil if there are too many.
func laneOf(s *forecast.Summary, priority int) *forecast.Lane {
	at, found := slices.BinarySearchFunc(s.Lanes, priority, func(l forecast.Lane, p int) int { return cmp.Compare(l.Priority, p) })
	if !found {
		if len(s.Lanes) == forecast.MaxLanes {
			return nil
		}
		s.Lanes = slices.Insert(s.Lanes, at, forecast.Lane{Priority: priority, Waiting: make([]int64, len(forecast.DueBounds)+1)})
	}
	return &s.Lanes[at]
}
