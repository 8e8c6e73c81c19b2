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

// TestStalledLongRunningTaskMoves checks that a long-running task that makes no progress on its
// first worker soon runs at 100% on another one. If only batch runs are watched for progress,
// it stays at 0% forever, and since it counts as unavailable, no other task of its step can
// leave a worker either.
func TestStalledLongRunningTaskMoves(t *testing.T) {
	const within = 10 * time.Second
	r := newRig(t, 2)
	r.upsertWorkers()
	r.shard.AddJob(r.now, batch("j", longRunningTasks(1, 500)), nil, false)
	r.runFor(200 * time.Millisecond)
	stalledOn := r.workerOf("j")
	if stalledOn == "" {
		t.Fatal("the task does not run")
	}
	for end := r.now.Add(within); r.now.Before(end); {
		r.runFor(100 * time.Millisecond)
		r.workers[otherWorker(stalledOn)].setPercent(100)
	}
	if w := r.workerOf("j"); w != otherWorker(stalledOn) {
		t.Errorf("the task runs on %q %v after it stalled on %q", w, within, stalledOn)
	}
}

// TestSlowlyStartingLongRunningTaskIsKept checks that a long-running task that makes no progress
// for its first two seconds and then runs at 100% is not stopped.
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

// TestStalledTaskMovesAfterItsCopyIsLost checks that a stalled speculative task whose copy is
// lost with its worker starts on a third worker. A task may get more than one copy: with only
// one, nothing helps it once that copy is lost.
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
		t.Fatalf("%d runs of a stalled task, want 2", n)
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
	t.Errorf("5 s after its copy was lost, the task runs only on %v, where it is stalled", r.workersOf("j"))
}

// TestTaskMovesWhenBothRunsStall checks that a speculative task that stalls together with its
// copy starts on a third, healthy worker. A copy helps only while one of the two runs makes
// progress; otherwise it must not keep the task from being restarted.
func TestTaskMovesWhenBothRunsStall(t *testing.T) {
	r := newRig(t, 3)
	r.upsertWorkers()
	step := tasks(1, 500)
	step.Speculative = true
	r.shard.AddJob(r.now, batch("j", step), nil, false)
	r.runFor(2 * time.Second)
	stalledOn := r.workersOf("j")
	if len(stalledOn) != 2 {
		t.Fatalf("%d runs of a stalled task, want 2", len(stalledOn))
	}
	for range 60 {
		r.runFor(100 * time.Millisecond)
		for _, w := range r.workersOf("j") {
			if w != stalledOn[0] && w != stalledOn[1] {
				return
			}
		}
	}
	t.Errorf("after 6 s the task runs on %v, where it is stalled, want the third worker", r.workersOf("j"))
}

// TestTaskAvoidsBusyWorker checks that a job that is alone in the shard soon starts elsewhere
// while one worker answers all starts as busy. Such a worker is quarantined only after it has
// refused two jobs, so a single job must not choose the same worker again each 50 ms while
// another one has room.
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
				t.Errorf("%d of 2 tasks run %v after the job was added", n, within)
			}
		})
	}
}

// TestInheritedJobMovesOnceWorkersHaveAnswered lets a worker answer a new owner only after the
// takeover has timed out, and checks that an inherited job that can't run here may move from
// then on. If the answers are checked only once, at the end of the takeover, no inherited job
// ever moves after a takeover that timed out.
func TestInheritedJobMovesOnceWorkersHaveAnswered(t *testing.T) {
	r := newRig(t, 2)
	r.upsertWorkers()
	r.workers["w1"].silent = true
	step := tasks(1, 500)
	step.Label = "none here has it"
	r.shard.AddJob(r.now, batch("j", step), nil, true)
	r.runFor(12 * time.Second)
	if n := len(r.shard.BeginMoves(r.now, 1)); n != 0 {
		t.Fatalf("%d jobs move while a worker may still report their runs, want none", n)
	}
	r.workers["w1"].silent = false
	r.runFor(2 * time.Second)
	if n := len(r.shard.BeginMoves(r.now, 1)); n != 1 {
		t.Errorf("%d jobs move once all workers have answered, want 1", n)
	}
}

// TestInheritedJobMovesOnceWorkersAreListed checks the same for workers that are listed only
// after the takeover has timed out.
func TestInheritedJobMovesOnceWorkersAreListed(t *testing.T) {
	r := newRig(t, 2)
	r.takeOverUnlisted()
	r.upsertWorkers()
	step := tasks(1, 500)
	step.Label = "none here has it"
	r.shard.AddJob(r.now, batch("j", step), nil, true)
	r.runFor(12 * time.Second)
	if n := len(r.shard.BeginMoves(r.now, 1)); n != 0 {
		t.Fatalf("%d jobs move while a worker may still report their runs, want none", n)
	}
	r.shard.ExpectWorkers(r.workerIDs())
	r.runFor(2 * time.Second)
	if n := len(r.shard.BeginMoves(r.now, 1)); n != 1 {
		t.Errorf("%d jobs move once all workers have answered, want 1", n)
	}
}

// TestPausedBestEffortTaskResumes checks that a best-effort task resumes after it was paused
// because the serving task beside it exceeded its latency target, while that task stays at 0.7
// of the target. If the latency had to fall below 0.6 of the target, the best-effort task would
// stay paused forever beside a serving task that is above that by itself.
func TestPausedBestEffortTaskResumes(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	serving, bestEffort := longRunningTasks(1, 500), tasks(1, 500)
	serving.LatencyTargetMS, bestEffort.BestEffortCPU = 100, true
	r.addLongRunning(batch("serves", serving))
	r.shard.AddJob(r.now, batch("fills", bestEffort), nil, false)
	pace := 100
	runAtLatency := func(ms int64, d time.Duration) {
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
	runAtLatency(50, time.Second)
	runAtLatency(150, 5*time.Second)
	if pace != 0 {
		t.Fatalf("the best-effort task's pace is %d beside a serving task over its target, want 0", pace)
	}
	runAtLatency(70, 10*time.Second)
	if pace == 0 {
		t.Error("the best-effort task is still paused 10 s after the latency fell to 0.7 of the target")
	}
}

// workersOf returns the workers on which tasks of a job run, in order.
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

// workerOf returns the first worker on which a task of a job runs, or "".
func (r *rig) workerOf(job string) string {
	if list := r.workersOf(job); len(list) > 0 {
		return list[0]
	}
	return ""
}

// otherWorker returns the other of the workers w0 and w1.
func otherWorker(worker string) string {
	if worker == "w0" {
		return "w1"
	}
	return "w0"
}

// setPercent sets the progress of all runs on a worker.
func (f *fakeWorker) setPercent(percent int) {
	for i := range f.running {
		f.running[i].Percent = percent
	}
}

// roundWithBusy runs one scheduling round in which one worker answers all starts as busy.
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

// TestUnplaceableGangDoesNotBlockOthers checks that in a shard full of six-second tasks a gang
// that no set of workers can hold does not delay a less urgent gang that fits. Capacity is
// reserved for up to 15 s for the first gang of a round only, so a gang that never fits must
// not take that place in each round.
func TestUnplaceableGangDoesNotBlockOthers(t *testing.T) {
	for _, unplaceable := range []bool{false, true} {
		t.Run(fmt.Sprintf("unplaceable=%v", unplaceable), func(t *testing.T) {
			const within = 20 * time.Second
			r := newRig(t, 4)
			r.upsertWorkers()
			f := &busyShard{rig: r}
			f.runBusy(6 * time.Second)
			if unplaceable {
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
				t.Errorf("the gang that fits does not run %v after it was added", within)
			}
		})
	}
}

// busyShard is a rig that is full of six-second tasks, with more of them always waiting.
type busyShard struct {
	*rig
	// cpu is what each task needs, in thousandths of a core; 0: 2000, half of a worker.
	cpu int64
	// everyMS is the time between two submitted tasks; 0: 300 ms.
	everyMS  int64
	added    int
	progress map[cluster.TaskID]float64
}

// runBusy advances the time while all workers make progress and tasks keep being submitted.
func (f *busyShard) runBusy(d time.Duration) {
	const percent = 100.0 / 60 // Progress of a six-second task in 0.1 s.
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

// TestStalledBestEffortTaskMoves checks that a best-effort task that makes no progress on its
// first worker moves to a healthy one. Such tasks get only unused CPU time and may stall for a
// while, but they must not be exempt from the check for progress.
func TestStalledBestEffortTaskMoves(t *testing.T) {
	const within = 12 * time.Second
	r := newRig(t, 2)
	r.upsertWorkers()
	step := tasks(1, 500)
	step.BestEffortCPU = true
	r.shard.AddJob(r.now, batch("j", step), nil, false)
	r.runFor(200 * time.Millisecond)
	stalledOn := r.workerOf("j")
	r.runFor(within)
	if w := r.workerOf("j"); w != otherWorker(stalledOn) {
		t.Errorf("the best-effort task runs on %q %v after it stalled on %q", w, within, stalledOn)
	}
}

// TestPausedBestEffortTaskMoves checks that a best-effort task that is paused beside a serving
// task that stays over its latency target moves to a second worker once there is one. Otherwise
// it stays paused for as long as the serving task is over its target, whatever the cause.
func TestPausedBestEffortTaskMoves(t *testing.T) {
	const within = 15 * time.Second
	r := newRig(t, 1)
	r.upsertWorkers()
	serving, bestEffort := longRunningTasks(1, 500), tasks(1, 500)
	serving.LatencyTargetMS, bestEffort.BestEffortCPU = 100, true
	r.addLongRunning(batch("serves", serving))
	r.shard.AddJob(r.now, batch("fills", bestEffort), nil, false)
	runOverTarget := func(d time.Duration) {
		for end := r.now.Add(d); r.now.Before(end); {
			r.runFor(100 * time.Millisecond)
			for i, e := range r.workers["w0"].running {
				if e.Task.Job == "serves" {
					r.workers["w0"].running[i].Usage, r.workers["w0"].running[i].Percent = 150, 100
				}
			}
		}
	}
	runOverTarget(3 * time.Second)
	r.workers["w1"] = &fakeWorker{}
	r.upsertWorkers()
	runOverTarget(within)
	if w := r.workerOf("fills"); w != "w1" {
		t.Errorf("the best-effort task runs on %q %v after another worker was added, want w1", w, within)
	}
}

// TestUnplaceableStepsDoNotBlockOthers checks that steps that never get room beside long-running
// tasks do not delay a less urgent step that fits once some small tasks end. There are more of
// them than may reserve room in a round, so a step for which none can be reserved must not count
// towards that limit in each round; otherwise small tasks take all room that becomes free.
func TestUnplaceableStepsDoNotBlockOthers(t *testing.T) {
	for _, unplaceable := range []int{0, 10} {
		t.Run(fmt.Sprintf("unplaceable=%d", unplaceable), func(t *testing.T) {
			const within = 20 * time.Second
			r := newRig(t, 4)
			r.upsertWorkers()
			each := longRunningTasks(4, 1000)
			each.MaxPerWorker = 1
			r.addLongRunning(batch("lasts", each))
			f := &busyShard{rig: r, cpu: 750, everyMS: 400}
			f.runBusy(8 * time.Second)
			for i := range unplaceable {
				job := batch(fmt.Sprintf("never%d", i), tasks(1, 3500))
				job.Policy.Priority = 1
				r.shard.AddJob(r.now, job, nil, false)
			}
			r.shard.AddJob(r.now, batch("fits", tasks(1, 2900)), nil, false)
			for end := r.now.Add(within); r.now.Before(end) && !r.isRunning("fits"); {
				f.runBusy(100 * time.Millisecond)
			}
			if !r.isRunning("fits") {
				t.Errorf("the task that fits does not run %v after it was added", within)
			}
		})
	}
}

// TestOverdueBestEffortTaskIsPreempted checks that a best-effort task that has exceeded its
// estimate and occupies the memory that a long-running task needs is soon preempted. If the room
// of an overdue run counted as about to be free, anew each 0.3 s, nothing would be preempted: the
// long-running task started after 6.8 s instead of 0.2 s, and behind a stalled speculative run
// not within 60 s.
func TestOverdueBestEffortTaskIsPreempted(t *testing.T) {
	r := newRig(t, 1)
	r.upsertWorkers()
	bestEffort := tasks(1, 500)
	bestEffort.BestEffortCPU, bestEffort.Need.MemoryMB = true, 8000
	r.shard.AddJob(r.now, batch("filler", bestEffort), nil, false)
	r.runFor(1500 * time.Millisecond)
	r.addLongRunning(batch("lasts", longRunningTasks(1, 1000)))
	r.runFor(3 * time.Second)
	if !r.isRunning("lasts") {
		t.Error("the long-running task does not run after 3 s")
	}
}

// TestCopiesDoNotUseLastAttempt checks that a job does not fail while copies of its speculative
// task fail and the original run, on a silent worker, may still succeed. Copies must leave an
// attempt to the original: two of them would use up both attempts.
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

// TestJobThatStayedIsOfferedAgain checks that a job for which no other shard was found is offered
// again while newer jobs may move in each round. If jobs that were never offered always came
// first, it would never be offered again.
func TestJobThatStayedIsOfferedAgain(t *testing.T) {
	const perRound = 4
	r := newRig(t, 1)
	r.upsertWorkers()
	add := func(id string) {
		step := tasks(1, 500)
		step.Label = "none"
		r.shard.AddJob(r.now, batch(id, step), nil, false)
	}
	add("stayed")
	r.runFor(time.Second)
	r.shard.BeginMoves(r.now, perRound)
	r.shard.CancelMove("stayed", 0)
	offered := 0
	for i := range 50 {
		for k := range perRound {
			add(fmt.Sprintf("n%d", i*perRound+k))
		}
		r.runFor(200 * time.Millisecond)
		for _, m := range r.shard.BeginMoves(r.now, perRound) {
			if m.Job.ID == "stayed" {
				offered++
				r.shard.CancelMove("stayed", 0)
				continue
			}
			r.shard.CompleteMove(r.now, m.Job.ID, m.Job.Moves)
		}
	}
	if offered == 0 {
		t.Error("the job that stayed was offered in none of 50 rounds")
	}
}

// TestWaitLogNamesBlockingReason lets a long-running task wait for a worker that is quarantined
// and also full of long-running tasks, and checks that the log names the lack of room: it is
// what blocks the task, since long-running tasks may start on quarantined workers. The log must
// not name the worker's health only because that is checked first.
func TestWaitLogNamesBlockingReason(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	r := newRig(t, 1)
	r.log = zap.New(core)
	r.takeOver()
	r.upsertWorkers()
	r.addLongRunning(batch("full", longRunningTasks(1, 3800)))
	r.runFor(2 * time.Second)
	for i := 0; r.shard.Counts().Quarantines < 3; i++ {
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
		t.Fatal("the log has no entry for the waiting task")
	}
	if got := waits[0].ContextMap(); got["full"] != int64(1) {
		t.Errorf("the log entry has the fields %v, want full=1", got)
	}
}
