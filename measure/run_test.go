// SPDX-License-Identifier: Apache-2.0

package measure_test

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"switchbank.example/switchbank/internal/policy"
	"switchbank.example/switchbank/internal/resource"
)

// job is a batch, or one urgent task, of a seeded workload.
type job struct {
	at       time.Duration
	team     int
	class    string
	priority int
	preempt  bool
	tasks    int
	size     resource.Amount
	// run is how long a task really runs, and declared what was said.
	run, declared time.Duration
	deadline      time.Duration
}

// pending is a job with tasks that wait.
type pending struct {
	job
	left  int
	since []time.Duration
}

// running is a task on a worker.
type running struct {
	job    *job
	worker int
	start  time.Duration
	end    time.Duration
	gone   bool
	n      int
}

// decider is a way to order jobs and to place tasks.
type decider struct {
	name    string
	order   func(now time.Duration, jobs []*pending, teams []policy.Team, total resource.Amount) []int
	place   func(size resource.Amount, cs []policy.Candidate) (int, bool)
	preempt bool
	// blocks ends a round at the first job that does not fit.
	blocks bool
}

// sim is one workload under one decider; time is virtual.
type sim struct {
	d       decider
	teams   []policy.Team
	total   resource.Amount
	workers []policy.Candidate
	on      [][]*running
	queue   []*pending
	ends    endHeap
	now     time.Duration
	// rounds is when the last round was, and due tells that one is owed.
	rounds time.Duration
	due    bool
	res    result
}

// roundEvery is the least time between two rounds of decisions.
const roundEvery = 50 * time.Millisecond

// result is what a run measured.
type result struct {
	waits    map[string][]time.Duration
	late     int
	deadline int
	// used and room add up, over the time in which work waited, what was in use and what there was.
	used, room float64
	lost       time.Duration
	decisions  int
	spent      time.Duration
	finished   time.Duration
}

type endHeap []*running

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].end < h[j].end }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(*running)) }
func (h *endHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}

func newSim(d decider, w workload) *sim {
	s := &sim{d: d, teams: slices.Clone(w.teams), res: result{waits: make(map[string][]time.Duration)}}
	for range w.workers {
		s.workers = append(s.workers, policy.Candidate{Free: w.capacity, Capacity: w.capacity})
		s.total = s.total.Add(w.capacity)
	}
	s.on = make([][]*running, w.workers)
	return s
}

// runAll drives a workload to its end.
func (s *sim) runAll(w workload) result {
	next := 0
	for next < len(w.jobs) || len(s.ends) > 0 || len(s.queue) > 0 {
		at := time.Duration(1<<63 - 1)
		if next < len(w.jobs) {
			at = w.jobs[next].at
		}
		if len(s.ends) > 0 {
			at = min(at, s.ends[0].end)
		}
		if s.due {
			at = min(at, max(s.now, s.rounds+roundEvery))
		}
		if at == 1<<63-1 {
			break
		}
		s.advance(at)
		for next < len(w.jobs) && w.jobs[next].at <= s.now {
			j := w.jobs[next]
			p := &pending{job: j, left: j.tasks}
			for range j.tasks {
				p.since = append(p.since, s.now)
			}
			s.queue = append(s.queue, p)
			s.due = true
			next++
		}
		for len(s.ends) > 0 && s.ends[0].end <= s.now {
			s.finish(heap.Pop(&s.ends).(*running))
			s.due = true
		}
		if s.now < s.rounds+roundEvery {
			continue
		}
		s.rounds, s.due = s.now, false
		began := time.Now()
		s.round()
		s.res.spent += time.Since(began)
	}
	s.res.finished = s.now
	return s.res
}

// advance moves the time, and adds up the packing while work waits.
func (s *sim) advance(to time.Duration) {
	if len(s.queue) > 0 {
		var all resource.Amount
		for _, t := range s.teams {
			all = all.Add(t.Used)
		}
		used := all.DominantShare(s.total)
		d := (to - s.now).Seconds()
		s.res.used += used * d
		s.res.room += d
	}
	s.now = to
}

func (s *sim) finish(r *running) {
	if r.gone {
		return
	}
	s.free(r)
	if r.job.deadline > 0 {
		s.res.deadline++
		if s.now > r.job.deadline {
			s.res.late++
		}
	}
}

func (s *sim) free(r *running) {
	s.workers[r.worker].Free = s.workers[r.worker].Free.Add(r.job.size)
	s.teams[r.job.team].Used = s.teams[r.job.team].Used.Sub(r.job.size)
	s.on[r.worker] = slices.DeleteFunc(s.on[r.worker], func(x *running) bool { return x == r })
}

// round places what waits, in the decider's order.
func (s *sim) round() {
	if len(s.queue) == 0 {
		return
	}
	var failed []*pending
	for _, i := range s.d.order(s.now, s.queue, s.teams, s.total) {
		p := s.queue[i]
		// What is no smaller and no more urgent than what found no room finds none either.
		if slices.ContainsFunc(failed, func(f *pending) bool { return p.size.Fits(f.size) && p.priority <= f.priority }) {
			continue
		}
		for p.left > 0 && s.placeOne(p) {
			p.left--
		}
		if p.left > 0 {
			failed = append(failed, p)
		}
		if p.left > 0 && s.d.blocks {
			break
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(p *pending) bool { return p.left == 0 })
}

func (s *sim) placeOne(p *pending) bool {
	s.res.decisions++
	w, ok := s.d.place(p.size, s.workers)
	if !ok && s.d.preempt {
		w, ok = s.makeRoom(p)
	}
	if !ok {
		return false
	}
	since := p.since[len(p.since)-1]
	p.since = p.since[:len(p.since)-1]
	s.res.waits[p.class] = append(s.res.waits[p.class], s.now-since)
	key := p.class + " of " + s.teams[p.team].Name
	s.res.waits[key] = append(s.res.waits[key], s.now-since)
	r := &running{job: &p.job, worker: w, start: s.now, end: s.now + p.run, n: 1}
	s.workers[w].Free = s.workers[w].Free.Sub(p.size)
	s.teams[p.team].Used = s.teams[p.team].Used.Add(p.size)
	s.on[w] = append(s.on[w], r)
	heap.Push(&s.ends, r)
	return true
}

// makeRoom preempts where the fewest tasks must go; they wait again for what
// they have not run yet, since they were checkpointed.
func (s *sim) makeRoom(p *pending) (int, bool) {
	best, victims := -1, []int(nil)
	for w := range s.workers {
		var tasks []policy.RunningTask
		for _, r := range s.on[w] {
			tasks = append(tasks, policy.RunningTask{Priority: r.job.priority, Size: r.job.size, Attempt: r.n, Preemptible: r.job.preempt})
		}
		chosen, ok := policy.Victims(p.size, s.workers[w].Free, p.priority, tasks)
		if ok && (best < 0 || len(chosen) < len(victims)) {
			best, victims = w, chosen
		}
	}
	if best < 0 {
		return 0, false
	}
	var gone []*running
	for _, v := range victims {
		gone = append(gone, s.on[best][v])
	}
	for _, r := range gone {
		s.free(r)
		r.gone = true
		rest := *r.job
		rest.run, rest.tasks = r.end-s.now, 1
		s.res.lost += checkpointLoss
		s.queue = append(s.queue, &pending{job: rest, left: 1, since: []time.Duration{s.now}})
	}
	return best, true
}

// checkpointLoss is the work that a preempted task does again.
const checkpointLoss = time.Second

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(len(d)-1, int(q*float64(len(d))))]
}

// The deciders that are held beside each other.

func ours(weights policy.Weights) decider {
	return decider{
		name: "switchbank", preempt: true,
		order: func(now time.Duration, jobs []*pending, teams []policy.Team, total resource.Amount) []int {
			items := make([]policy.WaitingJob, len(jobs))
			for i, p := range jobs {
				items[i] = policy.WaitingJob{
					TeamIndex: p.team, Priority: p.priority, RunTime: p.declared, Submitted: epoch.Add(p.at), TaskSize: p.size, Demand: p.size.Times(int64(p.left)),
				}
				if p.deadline > 0 {
					items[i].Deadline = epoch.Add(p.deadline)
				}
			}
			return policy.Order(epoch.Add(now), items, teams, total)
		},
		place: func(size resource.Amount, cs []policy.Candidate) (int, bool) {
			return policy.Place(size, cs, policy.Constraints{}, weights)
		},
	}
}

var epoch = time.Date(2026, 12, 2, 6, 0, 0, 0, time.UTC)

func byArrival(_ time.Duration, jobs []*pending, _ []policy.Team, _ resource.Amount) []int {
	order := make([]int, len(jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(jobs[a].at, jobs[b].at) })
	return order
}

func firstFit(size resource.Amount, cs []policy.Candidate) (int, bool) {
	for i := range cs {
		if cs[i].Free.Fits(size) {
			return i, true
		}
	}
	return 0, false
}

func bestFit(size resource.Amount, cs []policy.Candidate) (int, bool) {
	return policy.Place(size, cs, policy.Constraints{}, policy.Weights{Packing: 1})
}

func deciders(weights policy.Weights) []decider {
	return []decider{
		ours(weights),
		{name: "first in, first out; first fit", order: byArrival, place: firstFit, blocks: true},
		{name: "best fit without shares", order: byArrival, place: bestFit},
	}
}
