// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/forecast"
	"switchbank.example/switchbank/internal/resource"
)

// This file addresses shards whose demand exceeds their capacity: nodes decide by the summary that
// it builds whether a job would end in time. It decides nothing about the shard's own work.

const (
	// forecastInterval is how often the summary is built at most.
	forecastInterval = 100 * time.Millisecond
	// arrivalDecay is the time constant with which accepted work is forgotten.
	arrivalDecay = 10 * time.Second
	// minArrivalTime is the least time over which the work that arrived is averaged, so that the
	// first job after a takeover does not look like a high rate.
	minArrivalTime = time.Second
	// maxTaskWork bounds the work of a task in milli-CPU x seconds: 16 cores for a week. An estimate
	// may be absurd, and the work of all tasks must not overflow.
	maxTaskWork = 1e10
	// maxTrackers bounds the queues of which statistics are kept.
	maxTrackers = 256
)

// forecasts is what the shard knows for forecasts.
type forecasts struct {
	// summary is nil while nothing is known. A summary never changes once it is built.
	summary *forecast.Summary
	builtAt time.Time
	// arrivals are by priority, and trackers by queue.
	arrivals map[int]*arrivals
	trackers map[string]*queueTracker
}

func newForecasts() forecasts {
	return forecasts{arrivals: make(map[int]*arrivals), trackers: make(map[string]*queueTracker)}
}

// queueTracker is a tracker and when it last learned something.
type queueTracker struct {
	forecast.Tracker
	usedAt time.Time
}

// arrivals is the accepted work of one priority, in milli-CPU x seconds, which decays with
// arrivalDecay.
type arrivals struct {
	work float64
	// due is the sum of work x due time in seconds from its acceptance.
	due float64
	at  time.Time
}

func (a *arrivals) decay(now time.Time) {
	by := math.Exp(-float64(max(0, now.Sub(a.at))) / float64(arrivalDecay))
	a.work, a.due, a.at = a.work*by, a.due*by, now
}

// rate returns the work accepted per second, in milli-CPU, of an owner that began at a time.
func (a *arrivals) rate(now, began time.Time) float64 {
	a.decay(now)
	over := max(now.Sub(began), minArrivalTime)
	return a.work / (arrivalDecay.Seconds() * (1 - math.Exp(-float64(over)/float64(arrivalDecay))))
}

// Forecast returns the summary of the shard and its age, or nil while it is unknown.
func (s *Shard) Forecast(now time.Time) (summary *forecast.Summary, age time.Duration) {
	s.updateForecast(now)
	return s.forecasts.summary, now.Sub(s.forecasts.builtAt)
}

// ForecastErrors returns the relative errors of the forecast ends of the last jobs of each queue.
// Jobs beyond their team's weight don't count: when they start depends on what other teams send.
func (s *Shard) ForecastErrors() map[string][]float64 {
	list := make(map[string][]float64, len(s.forecasts.trackers))
	for queue, t := range s.forecasts.trackers {
		if e := t.Errors(); len(e) > 0 {
			list[queue] = e
		}
	}
	return list
}

// updateForecast builds the summary every forecastInterval.
func (s *Shard) updateForecast(now time.Time) {
	if now.Sub(s.forecasts.builtAt) >= forecastInterval {
		s.forecasts.summary, s.forecasts.builtAt = s.buildSummary(now), now
	}
}

// buildSummary returns nil while it is not known what runs, or if no worker accepts starts.
func (s *Shard) buildSummary(now time.Time) *forecast.Summary {
	if s.takeover.open {
		return nil
	}
	sum := &forecast.Summary{Version: forecast.SummaryVersion, Epoch: s.params.Epoch}
	for _, w := range s.workerList {
		if s.acceptsStarts(now, w) {
			sum.CapacityMilli += w.info.Capacity.CPUMilli
			sum.FreeMilli += max(0, w.info.Capacity.CPUMilli-w.used.CPUMilli)
		}
	}
	if sum.CapacityMilli <= 0 {
		return nil
	}
	sum.Lanes = s.buildLanes(now, sum.CapacityMilli)
	sum.Queues = s.queueStats()
	return sum
}

// buildLanes returns the work by priority.
func (s *Shard) buildLanes(now time.Time, capacityMilli int64) []forecast.Lane {
	// The work of teams at their limits is kept apart, by team; nil stands for all other work.
	sets := map[*teamState]laneSet{nil: {}}
	for _, j := range s.active {
		if j.countsInForecast() {
			s.addWaitingWork(now, lanesFor(sets, j), j)
		}
	}
	for _, r := range s.runs {
		if r.task.step.job.countsInForecast() {
			s.addRunningWork(now, lanesFor(sets, r.task.step.job), r)
		}
	}
	lanes := sets[nil]
	drainTime := float64(lanes.waiting()) / float64(capacityMilli)
	for t, set := range sets {
		if t != nil {
			lanes.addLimited(set, float64(t.used.CPUMilli)*drainTime)
		}
	}
	s.addArrivals(now, lanes)
	return lanes.sorted()
}

// lanesFor returns the set for a job's work. That of a team at its limit starts no sooner if room
// comes free, so it does not delay others by all that waits.
func lanesFor(sets map[*teamState]laneSet, j *job) laneSet {
	t := j.team
	if t == nil || t.blocked == (resource.Amount{}) {
		return sets[nil]
	}
	if sets[t] == nil {
		sets[t] = make(laneSet)
	}
	return sets[t]
}

// addArrivals adds the rates at which work is accepted.
func (s *Shard) addArrivals(now time.Time, lanes laneSet) {
	for priority, a := range s.forecasts.arrivals {
		rate := int64(a.rate(now, s.startedAt))
		if rate == 0 {
			delete(s.forecasts.arrivals, priority)
			continue
		}
		lane := lanes.of(priority)
		lane.ArrivalMilli += rate
		lane.DueMS = max(0, int64(1000*a.due/a.work))
	}
}

// countsInForecast reports whether the job's work may start here.
func (j *job) countsInForecast() bool { return !j.state.Finished() && !j.moving && !j.failing }

// addWaitingWork adds what is left of a job's steps as waiting, also if it runs.
func (s *Shard) addWaitingWork(now time.Time, lanes laneSet, j *job) {
	lane, ratio, work := lanes.of(j.rank.Priority), s.taskRatio(j.spec.Queue), int64(0)
	for _, rep := range j.repeats {
		if rep.due.After(now) {
			break
		}
		for _, st := range rep.steps {
			left := int64(st.spec.Count - st.done)
			if st.job.isJoint() && st.spec.Gang {
				left /= int64(j.spec.Share.Of)
			}
			if st.spec.LongRunning {
				lane.ArrivalMilli += left * st.spec.Allocation().CPUMilli
				continue
			}
			work += left * st.taskWork(ratio)
			if !st.ready(now) {
				lane.NotReady += left * st.taskWork(ratio)
			}
		}
	}
	if due := j.forecastDue().Sub(now); work > 0 {
		lane.Waiting[dueBucket(due)] += work
		lane.LatestMS = max(lane.LatestMS, due.Milliseconds())
	}
}

// addRunningWork takes the work of a run's task from the waiting work and adds what is left of it
// as running.
func (s *Shard) addRunningWork(now time.Time, lanes laneSet, r *run) {
	st := r.task.step
	if st.spec.LongRunning || r.task.done {
		return
	}
	j := st.job
	lane := lanes.of(j.rank.Priority)
	if !r.stopping {
		lane.Running += int64(s.remainingTime(now, r).Seconds() * float64(st.spec.Allocation().CPUMilli))
	}
	if r.task.runs[0] == r {
		bucket := &lane.Waiting[dueBucket(j.forecastDue().Sub(now))]
		*bucket = max(0, *bucket-st.taskWork(s.taskRatio(j.spec.Queue)))
	}
}

// taskWork returns the work of one task of the step in milli-CPU x seconds, if run times are the
// given multiple of the estimates.
func (st *step) taskWork(ratio float64) int64 {
	work := float64(st.spec.Allocation().CPUMilli) * ratio * float64(st.spec.EstimateMS) / 1000
	return int64(min(maxTaskWork, max(0, work)))
}

// forecastDue returns the due time by which the job takes its turn: what is beyond its team's
// weight waits until its deferral ends, and a job that will be late behind those that come on
// time, for maxHopelessWait at most.
func (j *job) forecastDue() time.Time {
	switch {
	case j.rank.Lateness != InTime:
		return j.rank.Due.Add(maxHopelessWait)
	case j.rank.BeyondWeight:
		return j.rank.Due.Add(maxDeferral)
	}
	return j.rank.Due
}

// dueBucket returns the index in Lane.Waiting of work that is due in that time.
func dueBucket(due time.Duration) int {
	at, _ := slices.BinarySearch(forecast.DueBounds, due)
	return at
}

// laneSet holds the lanes by priority.
type laneSet map[int]*forecast.Lane

func (l laneSet) of(priority int) *forecast.Lane {
	lane := l[priority]
	if lane == nil {
		lane = &forecast.Lane{Priority: priority, Waiting: make([]int64, len(forecast.DueBounds)+1)}
		l[priority] = lane
	}
	return lane
}

// waiting returns the waiting work of all priorities.
func (l laneSet) waiting() (sum int64) {
	for _, lane := range l {
		for _, work := range lane.Waiting {
			sum += work
		}
	}
	return sum
}

// addLimited adds the work of a team at its limit: its runs, and as much of the waiting work as the
// team may run while the work of others drains.
func (l laneSet) addLimited(limited laneSet, mayRun float64) {
	share := min(1, mayRun/float64(max(1, limited.waiting())))
	for priority, from := range limited {
		lane := l.of(priority)
		lane.Running += from.Running
		lane.ArrivalMilli += from.ArrivalMilli
		lane.NotReady += int64(share * float64(from.NotReady))
		lane.LatestMS = max(lane.LatestMS, from.LatestMS)
		for i, work := range from.Waiting {
			lane.Waiting[i] += int64(share * float64(work))
		}
	}
}

// sorted returns the lanes, the most urgent first. The least urgent are merged if there are too
// many.
func (l laneSet) sorted() []forecast.Lane {
	list := make([]forecast.Lane, 0, len(l))
	for _, lane := range l {
		lane.Bound()
		list = append(list, *lane)
	}
	slices.SortFunc(list, func(a, b forecast.Lane) int { return cmp.Compare(a.Priority, b.Priority) })
	for len(list) > forecast.MaxLanes {
		last, into := list[len(list)-1], &list[len(list)-2]
		into.Running, into.ArrivalMilli = into.Running+last.Running, into.ArrivalMilli+last.ArrivalMilli
		into.DueMS = max(into.DueMS, last.DueMS)
		into.NotReady, into.LatestMS = into.NotReady+last.NotReady, max(into.LatestMS, last.LatestMS)
		for i, work := range last.Waiting {
			into.Waiting[i] += work
		}
		list = list[:len(list)-1]
	}
	return list
}

// queueStats returns the statistics of the queues that were used last, the latest first.
func (s *Shard) queueStats() []forecast.QueueStats {
	names := slices.DeleteFunc(s.forecasts.queuesByUse(), func(queue string) bool { return len(queue) > forecast.MaxQueueName })
	list := make([]forecast.QueueStats, 0, min(len(names), forecast.MaxQueues))
	for _, queue := range names[:min(len(names), forecast.MaxQueues)] {
		list = append(list, s.forecasts.trackers[queue].Stats(queue, min(1, s.approvalRates[queue])))
	}
	return list
}

// queuesByUse returns the tracked queues, those used last first.
func (f *forecasts) queuesByUse() []string {
	names := make([]string, 0, len(f.trackers))
	for queue := range f.trackers {
		names = append(names, queue)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(f.trackers[b].usedAt.Compare(f.trackers[a].usedAt), cmp.Compare(a, b))
	})
	return names
}

// tracker returns the tracker of a queue, and forgets the one that was not used for longest if
// there are too many.
func (f *forecasts) tracker(now time.Time, queue string) *queueTracker {
	t := f.trackers[queue]
	if t == nil {
		if len(f.trackers) >= maxTrackers {
			names := f.queuesByUse()
			delete(f.trackers, names[len(names)-1])
		}
		t = &queueTracker{}
		f.trackers[queue] = t
	}
	t.usedAt = now
	return t
}

// taskRatio returns the ratio of the run time of a queue's tasks to their estimates.
func (s *Shard) taskRatio(queue string) float64 {
	if t := s.forecasts.trackers[queue]; t != nil {
		return t.TaskRatio()
	}
	return 1
}

// forecastJob keeps the forecast for a job that was accepted now, and counts its work.
func (s *Shard) forecastJob(now time.Time, j *job) {
	f := forecast.FromJob(&j.spec)
	if f.Priority == longRunningPriority || j.spec.Repeats > 0 || j.inherited || j.begun {
		return
	}
	s.countArrival(now, j)
	f.Due = j.rank.Due.Sub(now)
	if s.forecasts.summary == nil || j.rank.BeyondWeight || !j.spec.Share.Whole() || f.CriticalPath <= 0 {
		return
	}
	age := now.Sub(s.forecasts.builtAt)
	j.forecast = &forecast.Pending{
		Job: f, Estimate: s.forecasts.summary.Estimate(f, age), Wait: s.forecasts.summary.Wait(f, age), AcceptedAt: now,
	}
}

// countArrival counts the work of a job that was accepted now.
func (s *Shard) countArrival(now time.Time, j *job) {
	a := s.forecasts.arrivals[j.rank.Priority]
	if a == nil {
		a = &arrivals{at: now}
		s.forecasts.arrivals[j.rank.Priority] = a
	}
	a.decay(now)
	ratio, work := s.taskRatio(j.spec.Queue), 0.0
	for st := range j.steps() {
		work += float64(int64(st.spec.Count-st.done) * st.taskWork(ratio))
	}
	a.work, a.due = a.work+work, a.due+work*j.forecastDue().Sub(now).Seconds()
}

// learnStepTime records how long the longest task of a finished step took compared to its
// estimate.
func (s *Shard) learnStepTime(now time.Time, st *step) {
	if st.done < st.spec.Count || st.spec.EstimateMS <= 0 || st.spec.LongRunning {
		return
	}
	longest := st.longestRun
	for _, t := range st.tasks {
		longest = max(longest, t.runTime)
	}
	if longest > 0 {
		s.forecasts.tracker(now, st.job.spec.Queue).StepEnded(float64(longest) / float64(st.estimate()))
	}
}

// forecastEnded learns from the end of a job.
func (s *Shard) forecastEnded(now time.Time, j *job) {
	if j.forecast != nil && j.state == cluster.StateSucceeded {
		s.forecasts.tracker(now, j.spec.Queue).JobEnded(j.forecast, now)
	}
	j.forecast = nil
}
