// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/scheduler"
)

// The load of a shard of batch jobs and short jobs.
const (
	overloadWorkers    = 40
	overloadWorkerCPU  = 16_000
	batchTasksPerStep  = 17
	batchTasksOnWorker = 3
	batchTaskTime      = 4800 * time.Millisecond
	shortTaskTime      = time.Second
	shortsPerBatch     = 3
	// estimateError is by how much run times differ from their estimates at most.
	estimateError = 0.2
)

// overload replays a load above the capacity of a shard.
type overload struct {
	*rig
	seed uint64
	rng  *rand.Rand
	jobs []*overloadJob
	// active are the jobs that have not ended.
	active  []*overloadJob
	ends    map[runKey]time.Time
	started map[runKey]time.Time
	rows    map[string]scheduler.Record
	// batchRate is how many batch jobs arrive per second.
	batchRate float64
}

// overloadJob is a job with the times at which it was accepted, began and ended.
type overloadJob struct {
	spec                   cluster.Job
	acceptedAt, begun, end time.Time
	objective              time.Duration
}

func newOverload(t *testing.T, seed uint64, load float64, o scheduler.Order) *overload {
	s := &overload{
		rig: newRig(t, overloadWorkers), seed: seed, rng: rand.New(rand.NewPCG(seed, 0)), //nolint:gosec // Each seed must be reproducible.
		ends: make(map[runKey]time.Time), started: make(map[runKey]time.Time), rows: make(map[string]scheduler.Record),
	}
	s.shard.UseOrder(o)
	s.batchRate = load * overloadWorkers * batchTasksOnWorker / (2 * batchTasksPerStep * batchTaskTime.Seconds())
	for i, id := range s.workerIDs() {
		s.shard.UpsertWorker(s.now, cluster.Worker{
			ID: id, Address: id, Service: "svc", Rack: fmt.Sprintf("r1-%d", i/4),
			Capacity: resource.Amount{CPUMilli: overloadWorkerCPU, MemoryMB: 64_000}, ClockMS: s.now.UnixMilli(),
		})
	}
	return s
}

// chain returns a chain of steps of equal tasks.
func chain(steps, n int, cpu int64, estimate time.Duration) (list []cluster.Step) {
	for i := range steps {
		st := cluster.Step{Count: n, Need: resource.Amount{CPUMilli: cpu, MemoryMB: 100}, EstimateMS: estimate.Milliseconds()}
		if i > 0 {
			st.After = []int{i - 1}
		}
		list = append(list, st)
	}
	return list
}

// arrive adds the jobs that arrive within a tick.
func (s *overload) arrive() {
	if s.rng.Float64() < s.batchRate*tick.Seconds() {
		s.add(cluster.Policy{Priority: 2, MaxAttempts: 4, Stretch: 2.2, TargetMS: 1200}, "batch", chain(2, batchTasksPerStep, 4500, batchTaskTime))
	}
	for range shortsPerBatch {
		if s.rng.Float64() < s.batchRate*tick.Seconds() {
			steps := 1
			if s.rng.Float64() < 0.6 {
				steps = 2
			}
			s.add(cluster.Policy{MaxAttempts: 4, Stretch: 1.5, TargetMS: 250}, "short", chain(steps, 10, 2200, shortTaskTime))
		}
	}
}

func (s *overload) add(p cluster.Policy, queue string, steps []cluster.Step) {
	path := time.Duration(len(steps)) * time.Duration(steps[0].EstimateMS) * time.Millisecond
	j := &overloadJob{
		spec:       cluster.Job{ID: fmt.Sprintf("%s-%d", queue, len(s.jobs)), Queue: queue, Service: "svc", Policy: p, Steps: steps, AcceptedMS: s.now.UnixMilli()},
		acceptedAt: s.now, objective: time.Duration(p.Stretch*float64(path)) + time.Duration(p.TargetMS)*time.Millisecond,
	}
	s.jobs, s.active = append(s.jobs, j), append(s.active, j)
	s.shard.AddJob(s.now, j.spec, nil, false)
}

// runLoad lets jobs arrive for a time.
func (s *overload) runLoad(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.arrive()
		s.step()
	}
}

// drain runs until all jobs have ended, or for at most the given time.
func (s *overload) drain(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end) && len(s.active) > 0; {
		s.step()
	}
}

// step advances the time by a tick.
func (s *overload) step() {
	s.now = s.now.Add(tick)
	s.endRuns()
	s.reportAll()
	for _, c := range s.round() {
		if c, ok := c.(scheduler.Start); ok {
			s.noteStart(c)
		}
	}
	s.persist(s.rows)
	s.active = slices.DeleteFunc(s.active, func(j *overloadJob) bool {
		state, ok := s.shard.Job(j.spec.ID)
		if ok && state.Finished() {
			j.end = s.now
			if state != cluster.StateSucceeded {
				s.t.Errorf("job %s ended as %s", j.spec.ID, state)
			}
		}
		return !j.end.IsZero()
	})
}

// noteStart draws when a run ends.
func (s *overload) noteStart(c scheduler.Start) {
	for _, j := range s.active {
		if j.spec.ID == c.Task.Job {
			if j.begun.IsZero() {
				j.begun = s.now
			}
			s.started[runKey{c.Task, c.Run}], s.ends[runKey{c.Task, c.Run}] = s.now, s.now.Add(s.runTime(j, c.Task))
		}
	}
}

// runTime draws how long a task takes, which is the same in each run and under each policy.
func (s *overload) runTime(j *overloadJob, id cluster.TaskID) time.Duration {
	h := fnv.New64a()
	if _, err := fmt.Fprintf(h, "%d %v", s.seed, id); err != nil {
		panic("write to hash: " + err.Error())
	}
	x := rand.New(rand.NewPCG(h.Sum64(), 0)).Float64() //nolint:gosec // Each seed must be reproducible.
	return time.Duration(float64(j.spec.Steps[id.Step].EstimateMS)*(1+estimateError*(2*x-1))) * time.Millisecond
}

// endRuns sets the progress of all runs and ends those that are complete.
func (s *overload) endRuns() {
	for _, id := range s.workerIDs() {
		f := s.workers[id]
		for i := range f.running {
			k := runKey{f.running[i].Task, f.running[i].Run}
			f.running[i].Percent = min(99, int(100*s.now.Sub(s.started[k]).Seconds()/s.ends[k].Sub(s.started[k]).Seconds()))
		}
		for _, e := range slices.Clone(f.running) {
			if !s.now.Before(s.ends[runKey{e.Task, e.Run}]) {
				s.endRun(id, e.Task, e.Run, cluster.OutcomeDone)
			}
		}
	}
}

// result counts the jobs of a queue by how they ended, and holds the longest times in seconds
// from acceptance to the first start and from that to the end.
type result struct{ onTime, late, noUse, wait, run int }

func (r *result) add(o result) {
	r.onTime, r.late, r.noUse = r.onTime+o.onTime, r.late+o.late, r.noUse+o.noUse
	r.wait, r.run = max(r.wait, o.wait), max(r.run, o.run)
}

func (s *overload) result(queue string) (r result) {
	for _, j := range s.jobs {
		took := j.end.Sub(j.acceptedAt)
		switch {
		case j.spec.Queue != queue:
			continue
		case j.end.IsZero() || took > 3*j.objective:
			r.noUse++
		case took > j.objective:
			r.late++
		default:
			r.onTime++
		}
		r.wait = max(r.wait, int(math.Round(j.begun.Sub(j.acceptedAt).Seconds())))
		r.run = max(r.run, int(math.Round(j.end.Sub(j.begun).Seconds())))
	}
	return r
}

// replay replays a load of a minute and returns the results of batch jobs and short jobs. All
// jobs must end once no more arrive.
func replay(t *testing.T, seeds int, load float64, o scheduler.Order) (batches, shorts result) {
	t.Helper()
	replays := make([]*overload, seeds)
	var wg sync.WaitGroup
	for seed := range replays {
		wg.Go(func() {
			s := newOverload(t, uint64(seed), load, o)
			s.runLoad(time.Minute)
			s.drain(3 * time.Minute)
			replays[seed] = s
		})
	}
	wg.Wait()
	for seed, s := range replays {
		if len(s.active) > 0 {
			t.Errorf("%s, load %v, seed %d: %d jobs have not ended 3 min after the load", o.Name, load, seed, len(s.active))
		}
		batches.add(s.result("batch"))
		shorts.add(s.result("short"))
	}
	return batches, shorts
}

// TestOverloadOrder guards against jobs that each end slightly too late since late ones come
// first: at 1.5 and 2 times the capacity at least three times as many batch jobs must end on time
// as by due time alone, at lower loads not fewer. Short jobs must remain on time, chains that have
// begun must end in good time, and all jobs must end after the load.
//
// MODEL=full compares all policies.
func TestOverloadOrder(t *testing.T) {
	if os.Getenv("MODEL") == "full" {
		compareOrders(t)
		return
	}
	const (
		seeds       = 3
		lateShorts  = 0.02
		longestRun  = 45
		overloadWin = 3
	)
	for _, load := range []float64{0.8, 1.05, 1.5, 2} {
		before, _ := replay(t, seeds, load, scheduler.OrderEDF)
		batches, shorts := replay(t, seeds, load, scheduler.OrderInUse)
		t.Logf("load %v: by due time %+v, in use %+v, short %+v", load, before, batches, shorts)
		least := before.onTime
		if load >= 1.5 {
			least *= overloadWin
		}
		if batches.onTime < least {
			t.Errorf("load %v: %d batch jobs on time, want at least %d", load, batches.onTime, least)
		}
		if n := shorts.late + shorts.noUse; float64(n) > lateShorts*float64(n+shorts.onTime) {
			t.Errorf("load %v: %d of %d short jobs late", load, n, n+shorts.onTime)
		}
		if batches.run > longestRun {
			t.Errorf("load %v: a batch job ended %d s after its first start, want at most %d", load, batches.run, longestRun)
		}
	}
}

// compareOrders prints the results of all policies.
func compareOrders(t *testing.T) {
	const seeds = 10
	orders := []scheduler.Order{
		scheduler.OrderEDF, scheduler.OrderEDFYields, scheduler.OrderLostLast, scheduler.OrderLateLast, scheduler.OrderMostInTime,
		scheduler.OrderLeastSlack, scheduler.OrderInUse,
	}
	for _, load := range []float64{0.8, 0.9, 1, 1.05, 1.5, 2} {
		for _, o := range orders {
			batches, shorts := replay(t, seeds, load, o)
			t.Logf("load %4v %-20s batch %+v short %+v", load, o.Name, batches, shorts)
		}
	}
}

// TestLateJobsTakeTheirTurn guards against jobs that wait for as long as an overload lasts: none
// may begin before another one of its queue that has waited behind others for a minute and is due
// sooner.
func TestLateJobsTakeTheirTurn(t *testing.T) {
	const bound, tolerance = time.Minute, 500 * time.Millisecond
	s := newOverload(t, 1, 1.5, scheduler.OrderInUse)
	s.runLoad(150 * time.Second)
	s.drain(5 * time.Minute)
	if len(s.active) > 0 {
		t.Errorf("%d jobs have not ended", len(s.active))
	}
	waited := 0
	for i, a := range s.jobs {
		path := time.Duration(len(a.spec.Steps)) * time.Duration(a.spec.Steps[0].EstimateMS) * time.Millisecond
		turn := a.acceptedAt.Add(a.objective - path + bound + tolerance)
		if a.begun.After(turn) {
			waited++
		}
		for _, b := range s.jobs[i+1:] {
			if b.spec.Queue == a.spec.Queue && b.acceptedAt.Add(b.objective).After(a.acceptedAt.Add(a.objective)) && b.begun.After(turn) && b.begun.Before(a.begun) {
				t.Errorf("%s began %v after the turn of %s, which began %v later", b.spec.ID, b.begun.Sub(turn), a.spec.ID, a.begun.Sub(b.begun))
			}
		}
	}
	if waited == 0 {
		t.Error("no job waited for its turn; the load is too low for this test")
	}
}

// TestLateJobWaits guards against late jobs that come before those that can still end on time,
// and against jobs that wait behind others although they keep their turn.
func TestLateJobWaits(t *testing.T) {
	const lateBy = 30 * time.Second
	tests := []struct {
		name   string
		lateBy time.Duration
		change func(j *cluster.Job)
		waits  bool
	}{
		{"late job", lateBy, func(*cluster.Job) {}, true},
		{"job of use", time.Second, func(*cluster.Job) {}, true},
		{"job that has waited for long", 61 * time.Second, func(*cluster.Job) {}, false},
		{"more urgent job", lateBy, func(j *cluster.Job) { j.Policy.Priority = 1 }, false},
		{"job without an objective", lateBy, func(j *cluster.Job) { j.Policy.Stretch = 0 }, false},
		{"periodic job", lateBy, func(j *cluster.Job) { j.Repeats, j.StartMS, j.IntervalMS = 2, j.AcceptedMS, 1000 }, false},
		{"gang", lateBy, func(j *cluster.Job) { j.Steps[0].Gang = true }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, 1)
			r.upsertWorkers()
			r.shard.AddJob(r.now, batch("running", tasks(1, 4000)), nil, false)
			r.runFor(200 * time.Millisecond)
			late := batch("late", tasks(1, 4000))
			late.Policy.Stretch = 2
			late.AcceptedMS = r.now.Add(-2*time.Second - tt.lateBy).UnixMilli()
			tt.change(&late)
			onTime := batch("on-time", tasks(1, 4000))
			onTime.Policy.Stretch, onTime.AcceptedMS = 10, r.now.UnixMilli()
			r.shard.AddJob(r.now, late, nil, false)
			r.shard.AddJob(r.now, onTime, nil, false)
			r.runFor(500 * time.Millisecond)
			r.endAllRuns(cluster.OutcomeDone)
			r.runFor(300 * time.Millisecond)
			running := r.running()
			if got := running[cluster.TaskID{Job: "on-time"}] == 1; got != tt.waits || len(running) != 1 {
				t.Errorf("running %v, want the late job to wait: %v", running, tt.waits)
			}
		})
	}
}

// TestBegunJobKeepsTurn guards against late jobs that lose what they have done: the second step of
// a late job comes before a job that can still end on time.
func TestBegunJobKeepsTurn(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	first, second := tasks(1, 4000), tasks(1, 4000)
	second.After = []int{0}
	late := batch("late", first, second)
	late.Policy.Stretch, late.AcceptedMS = 2, r.now.Add(-6*time.Second).UnixMilli()
	r.shard.AddJob(r.now, late, nil, false)
	r.runFor(200 * time.Millisecond)
	onTime := batch("on-time", tasks(1, 4000))
	onTime.Policy.Stretch, onTime.AcceptedMS = 10, r.now.UnixMilli()
	r.shard.AddJob(r.now, onTime, nil, false)
	r.runFor(500 * time.Millisecond)
	r.endAllRuns(cluster.OutcomeDone)
	r.runFor(300 * time.Millisecond)
	if running := r.running(); running[cluster.TaskID{Job: "late", Step: 1}] != 1 {
		t.Errorf("running %v, want the second step of the late job", running)
	}
}

// TestRankOrder guards against lateness that outweighs the priority or the weight of a team, and
// against jobs of no use that overtake each other.
func TestRankOrder(t *testing.T) {
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	ranks := []scheduler.Rank{
		{Priority: 0, Lateness: scheduler.InTime, Due: at(50)},
		{Priority: 0, Lateness: scheduler.OfNoUse, Due: at(1), Accepted: at(1)},
		{Priority: 2, Lateness: scheduler.InTime, Due: at(9)},
		{Priority: 2, Lateness: scheduler.InTime, Due: at(10)},
		{Priority: 2, Lateness: scheduler.Late, Due: at(5)},
		{Priority: 2, Lateness: scheduler.Late, Due: at(6)},
		{Priority: 2, Lateness: scheduler.OfNoUse, Due: at(4), Accepted: at(1)},
		{Priority: 2, Lateness: scheduler.OfNoUse, Due: at(3), Accepted: at(2)},
		{Priority: 0, BeyondWeight: true, Due: at(1)},
	}
	for i, a := range ranks {
		for k, b := range ranks {
			if got, want := a.Before(b), i < k; got != want {
				t.Errorf("%+v before %+v: %v, want %v", a, b, got, want)
			}
		}
	}
}

// TestLateUrgentJobKeepsTurn guards against late jobs of the most urgent priority that wait behind
// later ones: on days with bursts of batch jobs, three times as many short jobs ended late.
func TestLateUrgentJobKeepsTurn(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	urgent := func(id string, age time.Duration) cluster.Job {
		job := batch(id, tasks(1, 4000))
		job.Policy.Priority, job.Policy.Stretch, job.AcceptedMS = 0, 4, r.now.Add(-age).UnixMilli()
		return job
	}
	r.shard.AddJob(r.now, urgent("running", 0), nil, false)
	r.runFor(200 * time.Millisecond)
	r.shard.AddJob(r.now, urgent("late", 5*time.Second), nil, false)
	r.shard.AddJob(r.now, urgent("on-time", 0), nil, false)
	r.runFor(500 * time.Millisecond)
	r.endAllRuns(cluster.OutcomeDone)
	r.runFor(300 * time.Millisecond)
	if running := r.running(); running[cluster.TaskID{Job: "late"}] != 1 {
		t.Errorf("running %v, want the late job", running)
	}
}
