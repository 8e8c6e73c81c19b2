// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// TestStalledLongRunningTaskMoves lets a task that lasts come to a worker on which nothing
// comes on, beside a sound one, and checks that it is at work on the sound one soon.
//
// Only runs that end were watched for standing still: this one stayed at 0% for good, and
// counted as away, so that no other task of its step could leave a worker either.
func TestStalledLongRunningTaskMoves(t *testing.T) {
	const within = 10 * time.Second
	r := newRig(t, 2)
	r.upsertWorkers()
	r.shard.AddJob(r.now, batch("j", longRunningTasks(1, 500)), nil, false)
	r.runFor(200 * time.Millisecond)
	stuck := r.workerOf("j")
	if stuck == "" {
		t.Fatal("the task does not run")
	}
	for end := r.now.Add(within); r.now.Before(end); {
		r.runFor(100 * time.Millisecond)
		r.workers[otherWorker(stuck)].setPercent(100)
	}
	if w := r.workerOf("j"); w != otherWorker(stuck) {
		t.Errorf("the task runs on %q %v after it stood still on %q", w, within, stuck)
	}
}

// TestSlowlyStartingLongRunningTaskIsKept lets a task that lasts be at work only after
// two seconds in which its percent does not rise, and checks that it isn't stopped.
func TestSlowlyStartingLongRunningTaskIsKept(t *testing.T) {
	r := newRig(t, 2)
	r.upsertWorkers()
	r.shard.AddJob(r.now, batch("j", longRunningTasks(1, 500)), nil, false)
	r.runFor(2 * time.Second)
	for _, f := range r.workers {
		f.setPercent(100)
	}
	r.runFor(20 * time.Second)
	if n := r.shard.Counts().Stops; n != 0 {
		t.Errorf("%d runs were stopped, want none", n)
	}
}

// TestStalledTaskMovesAfterItsCopyIsLost lets a speculative task stand still, and the
// worker of its copy die. The task stands still on the first worker all the same, so it has
// to start elsewhere.
//
// A task got one copy in its life; one that stood still was copied or left alone, so that
// after the copy was lost nothing helped it any more.
func TestStalledTaskMovesAfterItsCopyIsLost(t *testing.T) {
	r := newRig(t, 3)
	r.upsertWorkers()
	step := tasks(1, 500)
	step.Speculative = true
	r.shard.AddJob(r.now, batch("j", step), nil, false)
	r.runFor(200 * time.Millisecond)
	first := r.workerOf("j")
	r.runFor(2 * time.Second)
	if n := len(r.workersOf("j")); n != 2 {
		t.Fatalf("%d runs of a task that stands still, want 2", n)
	}
	for _, w := range r.workersOf("j") {
		if w != first {
			r.shard.WorkerEnded(r.now, w, "its machine is down")
			delete(r.workers, w)
		}
	}
	r.runFor(5 * time.Second)
	for _, w := range r.workersOf("j") {
		if w != first {
			return
		}
	}
	t.Errorf("5 s after its copy was lost, the task runs on %v only, where it stands still", r.workersOf("j"))
}

// TestTaskMovesWhenBothRunsStall lets a speculative task and its copy both stand still, and
// checks that it comes to the third worker, which is sound.
//
// With two runs of a task, neither was helped.
func TestTaskMovesWhenBothRunsStall(t *testing.T) {
	r := newRig(t, 3)
	r.upsertWorkers()
	step := tasks(1, 500)
	step.Speculative = true
	r.shard.AddJob(r.now, batch("j", step), nil, false)
	r.runFor(2 * time.Second)
	still := r.workersOf("j")
	if len(still) != 2 {
		t.Fatalf("%d runs of a task that stands still, want 2", len(still))
	}
	for range 60 {
		r.runFor(100 * time.Millisecond)
		for _, w := range r.workersOf("j") {
			if w != still[0] && w != still[1] {
				return
			}
		}
	}
	t.Errorf("6 s later the task runs on %v, where it stands still, and not on the sound worker", r.workersOf("j"))
}

// TestTaskAvoidsBusyWorker lets one of two workers answer all starts as busy while one
// job waits, and checks that it runs on the other soon.
//
// A worker that takes no start is set aside once two jobs have met that. A job that was alone
// chose the same worker each 50 ms for as long as that went on, with room on the other.
func TestTaskAvoidsBusyWorker(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang=%v", gang), func(t *testing.T) {
			const within = 3 * time.Second
			r := newRig(t, 3)
			r.upsertWorkers()
			step := tasks(2, 500)
			step.Gang = gang
			r.shard.AddJob(r.now, batch("j", step), nil, false)
			for end := r.now.Add(within); r.now.Before(end); {
				r.now = r.now.Add(100 * time.Millisecond)
				r.reportAll()
				r.roundWithBusy("w0")
			}
			if n := len(r.running()); n != 2 {
				t.Errorf("%d of 2 tasks run %v after the job came", n, within)
			}
		})
	}
}

// TestInheritedJobMovesOnceWorkersHaveAnswered lets a worker answer a new owner only after its
// takeover has ended by time, and checks that a job which can't run here may then move.
//
// Whether all workers had answered was noted once, at the end of the takeover. After one that
// ended by time, no job of an earlier owner moved any more, whatever was learned later.
func TestInheritedJobMovesOnceWorkersHaveAnswered(t *testing.T) {
	r := newRig(t, 2)
	r.upsertWorkers()
	r.workers["w1"].silent = true
	step := tasks(1, 500)
	step.Label = "none here has it"
	r.shard.AddJob(r.now, batch("j", step), nil, true)
	r.runFor(12 * time.Second)
	if n := len(r.shard.BeginMoves(r.now, 1)); n != 0 {
		t.Fatalf("%d jobs move while a worker may still tell of their runs", n)
	}
	r.workers["w1"].silent = false
	r.runFor(2 * time.Second)
	if n := len(r.shard.BeginMoves(r.now, 1)); n != 1 {
		t.Errorf("%d jobs move once all workers have answered, want 1", n)
	}
}

// TestInheritedJobMovesOnceWorkersAreListed lets the machines be listed only after the
// takeover has ended by time, and checks the same.
func TestInheritedJobMovesOnceWorkersAreListed(t *testing.T) {
	r := newRig(t, 2)
	r.takeOverUnlisted()
	r.upsertWorkers()
	step := tasks(1, 500)
	step.Label = "none here has it"
	r.shard.AddJob(r.now, batch("j", step), nil, true)
	r.runFor(12 * time.Second)
	if n := len(r.shard.BeginMoves(r.now, 1)); n != 0 {
		t.Fatalf("%d jobs move while a worker may still tell of their runs", n)
	}
	r.shard.ExpectWorkers(r.workerIDs())
	r.runFor(2 * time.Second)
	if n := len(r.shard.BeginMoves(r.now, 1)); n != 1 {
		t.Errorf("%d jobs move once all workers have answered, want 1", n)
	}
}

// TestHeldFillerResumes lets a serving task go over its target once, for which the filler
// beside it is held, and then stay at 0.7 of it. The filler works on in the end.
//
// A filler got more only once the tail was under 0.6 of the target. A serving task whose own
// tail is above that kept it held for good.
func TestHeldFillerResumes(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	serving, filler := longRunningTasks(1, 500), tasks(1, 500)
	serving.LatencyTargetMS, filler.BestEffortCPU = 100, true
	r.addLongRunning(batch("serves", serving))
	r.shard.AddJob(r.now, batch("fills", filler), nil, false)
	pace := 100
	tail := func(ms int64, d time.Duration) {
		for end := r.now.Add(d); r.now.Before(end); {
			r.runWithProgress(100 * time.Millisecond)
			for i, e := range r.workers["w0"].running {
				if e.Task.Job == "serves" {
					r.workers["w0"].running[i].Usage = ms
				}
			}
			for _, c := range commandsOf[scheduler.SetPace](r.lastCommands) {
				pace = c.Percent
			}
		}
	}
	tail(50, time.Second)
	tail(150, 5*time.Second)
	if pace != 0 {
		t.Fatalf("the filler's pace is %d beside a task over its target, want 0", pace)
	}
	tail(70, 10*time.Second)
	if pace == 0 {
		t.Error("the filler is still held 10 s after the tail fell to 0.7 of the target")
	}
}

// workersOf returns the workers on which something of a job runs, in order.
func (r *rig) workersOf(job string) []string {
	var list []string
	for _, id := range r.workerIDs() {
		for _, e := range r.workers[id].running {
			if e.Task.Job == job {
				list = append(list, id)
			}
		}
	}
	return list
}

// workerOf returns the first worker on which something of a job runs, or "".
func (r *rig) workerOf(job string) string {
	if list := r.workersOf(job); len(list) > 0 {
		return list[0]
	}
	return ""
}

// otherWorker returns the otherWorker one of two workers.
func otherWorker(worker string) string {
	if worker == "w0" {
		return "w1"
	}
	return "w0"
}

// setPercent sets how far all runs on a worker have come.
func (f *fakeWorker) setPercent(percent int) {
	for i := range f.running {
		f.running[i].Percent = percent
	}
}

// roundWithBusy takes one round, in which one worker takes no start.
func (r *rig) roundWithBusy(busy string) {
	for _, c := range r.shard.Schedule(r.now) {
		switch c := c.(type) {
		case scheduler.Start:
			if c.Worker == busy {
				r.shard.StartReplied(r.now, c.Worker, c.Task, c.Run, cluster.ReplyBusy)
				continue
			}
			r.workers[c.Worker].running = append(r.workers[c.Worker].running, cluster.RunStatus{Task: c.Task, Run: c.Run})
			r.shard.StartReplied(r.now, c.Worker, c.Task, c.Run, cluster.ReplyOK)
		case scheduler.Stop:
			r.endRun(c.Worker, c.Task, c.Run, cluster.OutcomeStopped)
			r.shard.StopReplied(r.now, c.Worker, c.Task, c.Run, cluster.ReplyOK)
		}
	}
}

// TestUnplaceableGangDoesNotBlockOthers lets a gang that no worker could hold wait in a
// shard that is full of tasks of six seconds, and checks that a less urgent gang, which
// fits, starts as soon as it does without the first.
//
// Room is kept for up to 15 s for the first gang of a round only, and one that never finds
// any took that place in each round: the second gang waited for as long as the first did.
func TestUnplaceableGangDoesNotBlockOthers(t *testing.T) {
	for _, beside := range []bool{false, true} {
		t.Run(fmt.Sprintf("beside=%v", beside), func(t *testing.T) {
			const within = 20 * time.Second
			r := newRig(t, 4)
			r.upsertWorkers()
			f := &busyShard{rig: r}
			f.runBusy(6 * time.Second)
			if beside {
				wide := tasks(5, 3000)
				wide.Gang = true
				job := batch("wide", wide)
				job.Policy.Priority = 0
				r.shard.AddJob(r.now, job, nil, false)
			}
			fits := tasks(4, 3000)
			fits.Gang = true
			job := batch("fits", fits)
			job.Policy.Priority = 1
			r.shard.AddJob(r.now, job, nil, false)
			for end := r.now.Add(within); r.now.Before(end) && !r.isRunning("fits"); {
				f.runBusy(100 * time.Millisecond)
			}
			if !r.isRunning("fits") {
				t.Errorf("the gang that fits does not run %v after it came", within)
			}
		})
	}
}

// busyShard is a rig that is full of tasks of six seconds, of which more always wait.
type busyShard struct {
	*rig
	// cpu is what each of them takes; 0: half of a worker.
	cpu int64
	// everyMS is how often one comes; 0: three in 0.9 s.
	everyMS  int64
	added    int
	progress map[cluster.TaskID]float64
}

// runBusy lets all workers runBusy for a time.
func (f *busyShard) runBusy(d time.Duration) {
	const percent = 100.0 / 60 // in a tenth of a second
	if f.progress == nil {
		f.progress = make(map[cluster.TaskID]float64)
	}
	for end := f.now.Add(d); f.now.Before(end); {
		if f.now.UnixMilli()%cmp.Or(f.everyMS, 300) == 0 {
			f.added++
			step := tasks(1, cmp.Or(f.cpu, 2000))
			step.EstimateMS = 6000
			f.shard.AddJob(f.now, batch(fmt.Sprintf("small%d", f.added), step), nil, false)
		}
		f.runFor(100 * time.Millisecond)
		for _, id := range f.workerIDs() {
			w := f.workers[id]
			for i := range w.running {
				e := &w.running[i]
				if f.longRunning[e.Task.Job] {
					e.Percent = 100
					continue
				}
				f.progress[e.Task] += percent
				e.Percent = int(min(100, f.progress[e.Task]))
			}
			for _, e := range append([]cluster.RunStatus(nil), w.running...) {
				if e.Percent == 100 && !f.longRunning[e.Task.Job] {
					f.endRun(id, e.Task, e.Run, cluster.OutcomeDone)
				}
			}
		}
	}
}

// TestStalledFillerMoves lets a task that fills come to a worker on which
// nothing comes on, beside a sound one, and checks that it comes to that one.
//
// What fills gets what others leave, so that it may stand still for a while, and was not
// watched at all: it stayed for good where nothing came on.
func TestStalledFillerMoves(t *testing.T) {
	const within = 12 * time.Second
	r := newRig(t, 2)
	r.upsertWorkers()
	step := tasks(1, 500)
	step.BestEffortCPU = true
	r.shard.AddJob(r.now, batch("j", step), nil, false)
	r.runFor(200 * time.Millisecond)
	stuck := r.workerOf("j")
	r.runFor(within)
	if w := r.workerOf("j"); w != otherWorker(stuck) {
		t.Errorf("the filler runs on %q %v after it stood still on %q", w, within, stuck)
	}
}

// TestHeldFillerMoves lets a serving task stay over its target, for which
// the filler beside it is held, and then lets a second worker come. The filler goes there.
//
// It was held for as long as the serving task was over its target, whatever the cause.
func TestHeldFillerMoves(t *testing.T) {
	const within = 15 * time.Second
	r := newRig(t, 1)
	r.upsertWorkers()
	serving, filler := longRunningTasks(1, 500), tasks(1, 500)
	serving.LatencyTargetMS, filler.BestEffortCPU = 100, true
	r.addLongRunning(batch("serves", serving))
	r.shard.AddJob(r.now, batch("fills", filler), nil, false)
	over := func(d time.Duration) {
		for end := r.now.Add(d); r.now.Before(end); {
			r.runFor(100 * time.Millisecond)
			for i, e := range r.workers["w0"].running {
				if e.Task.Job == "serves" {
					r.workers["w0"].running[i].Usage, r.workers["w0"].running[i].Percent = 150, 100
				}
			}
		}
	}
	over(3 * time.Second)
	r.workers["w1"] = &fakeWorker{}
	r.upsertWorkers()
	over(within)
	if w := r.workerOf("fills"); w != "w1" {
		t.Errorf("the filler runs on %q %v after another worker came, want w1", w, within)
	}
}

// TestUnplaceableStepsDoNotBlockOthers lets more steps wait than may have room set aside in
// a round, for which there never is any beside tasks that last, and checks that a less urgent
// one, which only needs some small tasks to end, starts as soon as it does without them.
//
// They counted among the steps that have room set aside though none was found for them, in
// each round, so that the small tasks took all room that came free.
func TestUnplaceableStepsDoNotBlockOthers(t *testing.T) {
	for _, beside := range []int{0, 10} {
		t.Run(fmt.Sprintf("beside=%d", beside), func(t *testing.T) {
			const within = 20 * time.Second
			r := newRig(t, 4)
			r.upsertWorkers()
			each := longRunningTasks(4, 1000)
			each.MaxPerWorker = 1
			r.addLongRunning(batch("lasts", each))
			f := &busyShard{rig: r, cpu: 750, everyMS: 400}
			f.runBusy(8 * time.Second)
			for i := range beside {
				job := batch(fmt.Sprintf("never%d", i), tasks(1, 3500))
				job.Policy.Priority = 1
				r.shard.AddJob(r.now, job, nil, false)
			}
			r.shard.AddJob(r.now, batch("fits", tasks(1, 2900)), nil, false)
			for end := r.now.Add(within); r.now.Before(end) && !r.isRunning("fits"); {
				f.runBusy(100 * time.Millisecond)
			}
			if !r.isRunning("fits") {
				t.Errorf("the task that fits does not run %v after it came", within)
			}
		})
	}
}

// TestOverdueFillerIsPreempted lets a filler that is overdue by its estimate, and
// goes on, hold the memory that a task that lasts needs, and checks that it makes way soon.
//
// The room of a run that is overdue counted as free at once, anew each 0.3 s, so that none
// was made: the task that lasts started after 6.8 s, and after 0.2 s where the estimate was
// long. Behind a speculative run that stood still it did not start within 60 s.
func TestOverdueFillerIsPreempted(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	filler := tasks(1, 500)
	filler.BestEffortCPU, filler.Need.MemoryMB = true, 8000
	r.shard.AddJob(r.now, batch("filler", filler), nil, false)
	r.runFor(1500 * time.Millisecond)
	r.addLongRunning(batch("lasts", longRunningTasks(1, 1000)))
	r.runFor(3 * time.Second)
	if !r.isRunning("lasts") {
		t.Error("the task that lasts does not run after 3 s")
	}
}

// TestCopiesDoNotUseLastAttempt lets copies of a speculative task fail whose first
// run is on a worker that is silent, and checks that the job isn't shown as failed.
//
// A copy was started after each that had failed: two used up the two attempts while the
// first run could still succeed.
func TestCopiesDoNotUseLastAttempt(t *testing.T) {
	r := newRig(t, 3)
	r.upsertWorkers()
	step := tasks(1, 500)
	step.Speculative = true
	r.shard.AddJob(r.now, batch("j", step), nil, false)
	r.runFor(300 * time.Millisecond)
	first := r.workerOf("j")
	r.workers[first].silent = true
	for range 10 {
		r.runFor(200 * time.Millisecond)
		for _, w := range r.workersOf("j") {
			if w == first {
				continue
			}
			for _, e := range r.workers[w].running {
				r.endRun(w, e.Task, e.Run, cluster.OutcomeFailed)
			}
		}
	}
	r.persist(make(map[string]scheduler.Record))
	r.wantState(cluster.StateRunning)
}

// TestJobThatStayedIsOfferedAgain lets a job that stayed once wait beside new ones that may
// move in each round, and checks that it is offered to other shards again.
//
// Jobs that had never been offered always came first: one that had stayed was offered in
// none of 100 rounds.
func TestJobThatStayedIsOfferedAgain(t *testing.T) {
	const atOnce = 4
	r := newRig(t, 1)
	r.upsertWorkers()
	add := func(id string) {
		step := tasks(1, 500)
		step.Label = "none"
		r.shard.AddJob(r.now, batch(id, step), nil, false)
	}
	add("stayed")
	r.runFor(time.Second)
	r.shard.BeginMoves(r.now, atOnce)
	r.shard.CancelMove("stayed")
	offered := 0
	for i := range 50 {
		for k := range atOnce {
			add(fmt.Sprintf("n%d", i*atOnce+k))
		}
		r.runFor(200 * time.Millisecond)
		for _, m := range r.shard.BeginMoves(r.now, atOnce) {
			if m.Job.ID == "stayed" {
				offered++
				r.shard.CancelMove("stayed")
				continue
			}
			r.shard.CompleteMove(r.now, m.Job.ID)
		}
	}
	if offered == 0 {
		t.Error("the job that stayed is offered in none of 50 rounds")
	}
}

// TestWaitLogNamesBlockingReason lets a task that lasts wait for a worker that is set aside and
// full of what lasts, and checks that the log names its being full: a task that lasts takes
// workers that are set aside.
//
// The log named the first reason found, and looked at the worker's health before its room.
func TestWaitLogNamesBlockingReason(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	r := newRig(t, 1)
	r.log = zap.New(core)
	r.takeOver()
	r.upsertWorkers()
	r.addLongRunning(batch("full", longRunningTasks(1, 3800)))
	r.runFor(2 * time.Second)
	for i := 0; r.shard.Counts().SetAside < 3; i++ {
		id := fmt.Sprintf("fails%d", i)
		r.shard.AddJob(r.now, batch(id, tasks(1, 100)), nil, false)
		for !r.isRunning(id) {
			r.runFor(100 * time.Millisecond)
		}
		r.endOneRun(id, cluster.OutcomeFailed)
		r.runFor(100 * time.Millisecond)
	}
	r.addLongRunning(batch("waits", longRunningTasks(1, 1500)))
	r.runFor(3 * time.Second)
	waits := logs.FilterMessage("task waits").All()
	if len(waits) == 0 {
		t.Fatal("nothing tells that the task waits")
	}
	if got := waits[0].ContextMap(); got["full"] != int64(1) {
		t.Errorf("the log names %v, want full=1", got)
	}
}
