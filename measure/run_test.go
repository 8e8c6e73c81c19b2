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
	submitted   time.Duration
	team        int
	class       string
	priority    int
	preemptible bool
	tasks       int
	size        resource.Amount
	// runTime is how long a task really runs, and declaredRunTime what its job declares.
	runTime, declaredRunTime time.Duration
	deadline                 time.Duration
}

// waitingJob is a job with tasks that wait to be placed.
type waitingJob struct {
	job
	// remaining counts the waiting tasks, and waitingSince has a time for each of them.
	remaining    int
	waitingSince []time.Duration
}

// runningTask is a task on a worker. A preempted one stays in the heap of running tasks
// until its end.
type runningTask struct {
	job       *job
	worker    int
	start     time.Duration
	end       time.Duration
	preempted bool
	attempt   int
}

// strategy is a way to order jobs and to place tasks.
type strategy struct {
	name string
	// order returns the indexes of the jobs in the order in which they are placed.
	order func(now time.Duration, jobs []*waitingJob, teams []policy.Team, total resource.Amount) []int
	// place returns the index of the worker for a task, or false if it fits none.
	place      func(size resource.Amount, cs []policy.Candidate) (int, bool)
	canPreempt bool
	// headBlocks ends a round at the first job that does not fit.
	headBlocks bool
}

// simulation runs one workload under one strategy in virtual time.
type simulation struct {
	strategy      strategy
	teams         []policy.Team
	total         resource.Amount
	workers       []policy.Candidate
	tasksByWorker [][]*runningTask
	queue         []*waitingJob
	running       runningHeap
	now           time.Duration
	// lastRound is the time of the last round of decisions, and roundDue is set if jobs
	// have arrived or tasks have ended since.
	lastRound time.Duration
	roundDue  bool
	res       result
}

// roundInterval is the minimum time between two rounds of decisions.
const roundInterval = 50 * time.Millisecond

// result holds the measurements of a run.
type result struct {
	// waits are the waiting times of the tasks, by class and by class and team.
	waits           map[string][]time.Duration
	deadlinesMissed int
	deadlinesDue    int
	// waitingSeconds is the time during which tasks waited, and usedShareSeconds the integral
	// of the used share of the workers over that time. Their quotient is the packing.
	usedShareSeconds, waitingSeconds float64
	redone                           time.Duration
	decisions                        int
	decisionTime                     time.Duration
	endedAt                          time.Duration
}

// runningHeap is a heap of running tasks by their end.
type runningHeap []*runningTask

func (h runningHeap) Len() int           { return len(h) }
func (h runningHeap) Less(i, j int) bool { return h[i].end < h[j].end }
func (h runningHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runningHeap) Push(x any)        { *h = append(*h, x.(*runningTask)) }
func (h *runningHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}

func newSimulation(st strategy, w workload) *simulation {
	s := &simulation{strategy: st, teams: slices.Clone(w.teams), res: result{waits: make(map[string][]time.Duration)}}
	for range w.workers {
		s.workers = append(s.workers, policy.Candidate{Free: w.capacity, Capacity: w.capacity})
		s.total = s.total.Add(w.capacity)
	}
	s.tasksByWorker = make([][]*runningTask, w.workers)
	return s
}

// run runs a workload until all tasks have ended, or nothing more can be placed.
func (s *simulation) run(w workload) result {
	next := 0
	for next < len(w.jobs) || len(s.running) > 0 || len(s.queue) > 0 {
		at := time.Duration(1<<63 - 1)
		if next < len(w.jobs) {
			at = w.jobs[next].submitted
		}
		if len(s.running) > 0 {
			at = min(at, s.running[0].end)
		}
		if s.roundDue {
			at = min(at, max(s.now, s.lastRound+roundInterval))
		}
		if at == 1<<63-1 {
			break
		}
		s.advance(at)
		for next < len(w.jobs) && w.jobs[next].submitted <= s.now {
			j := w.jobs[next]
			p := &waitingJob{job: j, remaining: j.tasks}
			for range j.tasks {
				p.waitingSince = append(p.waitingSince, s.now)
			}
			s.queue = append(s.queue, p)
			s.roundDue = true
			next++
		}
		for len(s.running) > 0 && s.running[0].end <= s.now {
			s.taskEnded(heap.Pop(&s.running).(*runningTask))
			s.roundDue = true
		}
		if s.now < s.lastRound+roundInterval {
			continue
		}
		s.lastRound, s.roundDue = s.now, false
		began := time.Now()
		s.placeWaiting()
		s.res.decisionTime += time.Since(began)
	}
	s.res.endedAt = s.now
	return s.res
}

// advance moves the time on, and adds to the packing's integral if tasks wait.
func (s *simulation) advance(to time.Duration) {
	if len(s.queue) > 0 {
		var all resource.Amount
		for _, t := range s.teams {
			all = all.Add(t.Used)
		}
		used := all.DominantShare(s.total)
		d := (to - s.now).Seconds()
		s.res.usedShareSeconds += used * d
		s.res.waitingSeconds += d
	}
	s.now = to
}

func (s *simulation) taskEnded(t *runningTask) {
	if t.preempted {
		return
	}
	s.release(t)
	if t.job.deadline > 0 {
		s.res.deadlinesDue++
		if s.now > t.job.deadline {
			s.res.deadlinesMissed++
		}
	}
}

func (s *simulation) release(t *runningTask) {
	s.workers[t.worker].Free = s.workers[t.worker].Free.Add(t.job.size)
	s.teams[t.job.team].Used = s.teams[t.job.team].Used.Sub(t.job.size)
	s.tasksByWorker[t.worker] = slices.DeleteFunc(s.tasksByWorker[t.worker], func(x *runningTask) bool { return x == t })
}

// placeWaiting runs a round of decisions: it places waiting tasks in the strategy's order.
func (s *simulation) placeWaiting() {
	if len(s.queue) == 0 {
		return
	}
	var failed []*waitingJob
	for _, i := range s.strategy.order(s.now, s.queue, s.teams, s.total) {
		p := s.queue[i]
		// A job whose tasks are no smaller and no more urgent than those of a job that did
		// not fit does not fit either.
		if slices.ContainsFunc(failed, func(f *waitingJob) bool { return p.size.Fits(f.size) && p.priority <= f.priority }) {
			continue
		}
		for p.remaining > 0 && s.placeTask(p) {
			p.remaining--
		}
		if p.remaining > 0 {
			failed = append(failed, p)
		}
		if p.remaining > 0 && s.strategy.headBlocks {
			break
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(p *waitingJob) bool { return p.remaining == 0 })
}

func (s *simulation) placeTask(p *waitingJob) bool {
	s.res.decisions++
	w, ok := s.strategy.place(p.size, s.workers)
	if !ok && s.strategy.canPreempt {
		w, ok = s.preemptFor(p)
	}
	if !ok {
		return false
	}
	since := p.waitingSince[len(p.waitingSince)-1]
	p.waitingSince = p.waitingSince[:len(p.waitingSince)-1]
	s.res.waits[p.class] = append(s.res.waits[p.class], s.now-since)
	key := p.class + " of " + s.teams[p.team].Name
	s.res.waits[key] = append(s.res.waits[key], s.now-since)
	r := &runningTask{job: &p.job, worker: w, start: s.now, end: s.now + p.runTime, attempt: 1}
	s.workers[w].Free = s.workers[w].Free.Sub(p.size)
	s.teams[p.team].Used = s.teams[p.team].Used.Add(p.size)
	s.tasksByWorker[w] = append(s.tasksByWorker[w], r)
	heap.Push(&s.running, r)
	return true
}

// preemptFor preempts tasks on the worker where the fewest have to stop for a task of p, and
// returns that worker. Preempted tasks were checkpointed, so that they wait again only for
// their remaining run time.
func (s *simulation) preemptFor(p *waitingJob) (int, bool) {
	worker, victims := -1, []int(nil)
	for w := range s.workers {
		var tasks []policy.RunningTask
		for _, r := range s.tasksByWorker[w] {
			tasks = append(tasks, policy.RunningTask{Priority: r.job.priority, Size: r.job.size, Attempt: r.attempt, Preemptible: r.job.preemptible})
		}
		chosen, ok := policy.Victims(p.size, s.workers[w].Free, p.priority, tasks)
		if ok && (worker < 0 || len(chosen) < len(victims)) {
			worker, victims = w, chosen
		}
	}
	if worker < 0 {
		return 0, false
	}
	var preempted []*runningTask
	for _, v := range victims {
		preempted = append(preempted, s.tasksByWorker[worker][v])
	}
	for _, r := range preempted {
		s.release(r)
		r.preempted = true
		remainder := *r.job
		remainder.runTime, remainder.tasks = r.end-s.now, 1
		s.res.redone += checkpointLoss
		s.queue = append(s.queue, &waitingJob{job: remainder, remaining: 1, waitingSince: []time.Duration{s.now}})
	}
	return worker, true
}

// checkpointLoss is the work since its last checkpoint that a preempted task does again.
const checkpointLoss = time.Second

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(len(d)-1, int(q*float64(len(d))))]
}

// switchbankStrategy orders and places with the functions of package policy.
func switchbankStrategy(weights policy.Weights) strategy {
	return strategy{
		name: "switchbank", canPreempt: true,
		order: func(now time.Duration, jobs []*waitingJob, teams []policy.Team, total resource.Amount) []int {
			items := make([]policy.WaitingJob, len(jobs))
			for i, p := range jobs {
				items[i] = policy.WaitingJob{
					TeamIndex: p.team, Priority: p.priority, RunTime: p.declaredRunTime, Submitted: startTime.Add(p.submitted), TaskSize: p.size, Demand: p.size.Times(int64(p.remaining)),
				}
				if p.deadline > 0 {
					items[i].Deadline = startTime.Add(p.deadline)
				}
			}
			return policy.Order(startTime.Add(now), items, teams, total)
		},
		place: func(size resource.Amount, cs []policy.Candidate) (int, bool) {
			return policy.Place(size, cs, policy.Constraints{}, weights)
		},
	}
}

// startTime is the time of day that stands for time 0 of the simulation.
var startTime = time.Date(2026, 12, 2, 6, 0, 0, 0, time.UTC)

// byArrival orders the jobs by the time of their submission.
func byArrival(_ time.Duration, jobs []*waitingJob, _ []policy.Team, _ resource.Amount) []int {
	order := make([]int, len(jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(jobs[a].submitted, jobs[b].submitted) })
	return order
}

// firstFit returns the first worker on which a task fits.
func firstFit(size resource.Amount, cs []policy.Candidate) (int, bool) {
	for i := range cs {
		if cs[i].Free.Fits(size) {
			return i, true
		}
	}
	return 0, false
}

// bestFit returns the fullest worker on which a task fits.
func bestFit(size resource.Amount, cs []policy.Candidate) (int, bool) {
	return policy.Place(size, cs, policy.Constraints{}, policy.Weights{Packing: 1})
}

// strategies returns the strategies to compare.
func strategies(weights policy.Weights) []strategy {
	return []strategy{
		switchbankStrategy(weights),
		{name: "first in, first out; first fit", order: byArrival, place: firstFit, headBlocks: true},
		{name: "best fit without shares", order: byArrival, place: bestFit},
	}
}
