// SPDX-License-Identifier: Apache-2.0

package jobs_test

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/jobs"
	"switchbank.example/switchbank/internal/peer"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/worker"
)

var at = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func workload(kind api.Kind, tasks int) api.Workload {
	w := api.Workload{
		ID: "j", Team: "t", Kind: kind, Class: "c", Tasks: tasks,
		Size: resource.Amount{CPUMilli: 1, MemoryMB: 1}, Command: []string{"x"},
	}
	if kind == api.KindService {
		w.Service = "s"
	}
	return w.WithDefaults()
}

func newStateWith(w api.Workload) *jobs.State {
	st := jobs.NewState()
	st.Apply(jobs.Record{Admit: &jobs.Admit{Workload: w, At: at}})
	return st
}

func applyPlace(st *jobs.State, task, n int) {
	st.Apply(jobs.Record{Place: &jobs.Place{Placements: []peer.Placement{{
		Attempt: worker.Attempt{Job: "j", Task: task, N: n}, Worker: "w", Shard: "worker/dc/000", Reservation: "r",
	}}}})
}

func applyEvent(st *jobs.State, kind peer.EventKind, task, n int, result worker.Result) {
	st.Apply(jobs.Record{Event: &jobs.Event{At: at, Event: peer.Event{
		Kind: kind, Attempt: worker.Attempt{Job: "j", Task: task, N: n}, Worker: "w", Result: result, Reason: "because",
	}}})
}

func TestBatchCompletes(t *testing.T) {
	st := newStateWith(workload(api.KindBatch, 2))
	for task := range 2 {
		applyPlace(st, task, 1)
		applyEvent(st, peer.EventStarted, task, 1, "")
		applyEvent(st, peer.EventEnded, task, 1, worker.ResultDone)
	}
	if s := st.Jobs["j"].Status(false); s.State != api.JobDone || s.Counts.Done != 2 {
		t.Errorf("have %+v", s)
	}
}

func TestStaleEventsChangeNothing(t *testing.T) {
	st := newStateWith(workload(api.KindBatch, 1))
	applyPlace(st, 0, 1)
	applyEvent(st, peer.EventLost, 0, 1, "")
	applyPlace(st, 0, 2)
	applyEvent(st, peer.EventEnded, 0, 1, worker.ResultDone)
	applyEvent(st, peer.EventNeverRan, 0, 1, "")
	if s := st.Jobs["j"].Status(true); s.Tasks[0].State != api.TaskPlaced || s.Tasks[0].Attempt != 2 {
		t.Errorf("an event of an old attempt was applied: %+v", s.Tasks[0])
	}
}

func TestAtMostOnceBecomesUnknown(t *testing.T) {
	w := workload(api.KindBatch, 1)
	w.AtMostOnce = true
	st := newStateWith(w.WithDefaults())
	applyPlace(st, 0, 1)
	applyEvent(st, peer.EventNeverRan, 0, 1, "")
	if s := st.Jobs["j"].Status(true); s.Tasks[0].State != api.TaskWaiting {
		t.Errorf("a task that never ran was not requeued: %+v", s.Tasks[0])
	}
	applyPlace(st, 0, 2)
	applyEvent(st, peer.EventStarted, 0, 2, "")
	applyEvent(st, peer.EventLost, 0, 2, "")
	if s := st.Jobs["j"].Status(false); s.State != api.JobUnknown || s.Reason == "" {
		t.Errorf("have %+v", s)
	}
	applyEvent(st, peer.EventEnded, 0, 2, worker.ResultDone)
	if s := st.Jobs["j"].Status(false); s.State != api.JobDone {
		t.Errorf("a late report of success must end the job: %+v", s)
	}
}

func TestTaskFailsAfterMaxAttempts(t *testing.T) {
	st := newStateWith(workload(api.KindBatch, 1))
	for n := 1; n <= 3; n++ {
		if s := st.Jobs["j"].Status(false); s.State.Final() {
			t.Fatalf("final before attempt %d", n)
		}
		applyPlace(st, 0, n)
		applyEvent(st, peer.EventStarted, 0, n, "")
		applyEvent(st, peer.EventEnded, 0, n, worker.ResultFailed)
	}
	if s := st.Jobs["j"].Status(false); s.State != api.JobFailed || s.Reason == "" {
		t.Errorf("have %+v", s)
	}
}

func TestAllAtOnceJobRestartsAllTasks(t *testing.T) {
	st := newStateWith(workload(api.KindAllAtOnce, 3))
	for task := range 3 {
		applyPlace(st, task, 1)
		applyEvent(st, peer.EventStarted, task, 1, "")
	}
	applyEvent(st, peer.EventEnded, 0, 1, worker.ResultDone)
	applyEvent(st, peer.EventLost, 1, 1, "")
	applyEvent(st, peer.EventEnded, 2, 1, worker.ResultStopped)
	if s := st.Jobs["j"].Status(false); s.Counts.Waiting != 3 {
		t.Errorf("have %+v", s.Counts)
	}
}

func TestCancelEndsWaitingAndRunningTasks(t *testing.T) {
	st := newStateWith(workload(api.KindBatch, 3))
	applyPlace(st, 0, 1)
	applyEvent(st, peer.EventStarted, 0, 1, "")
	st.Apply(jobs.Record{Cancel: &jobs.Cancel{Job: "j", At: at}})
	applyPlace(st, 1, 1)
	if s := st.Jobs["j"].Status(false); s.Counts.Cancelled != 2 || s.Counts.Placed != 0 {
		t.Errorf("a cancelled task was placed: %+v", s.Counts)
	}
	applyEvent(st, peer.EventEnded, 0, 1, worker.ResultStopped)
	if s := st.Jobs["j"].Status(false); s.State != api.JobCancelled {
		t.Errorf("have %+v", s)
	}
}

func TestKeyRunsOnce(t *testing.T) {
	st := jobs.NewState()
	intent := func(token string) {
		st.Apply(jobs.Record{Intent: &jobs.Intent{ID: "k", Token: token, Digest: "d", PendingUntil: at, RetainUntil: at}})
	}
	finish := func(token string, o api.Outcome) {
		st.Apply(jobs.Record{Finish: &jobs.KeyResult{ID: "k", Token: token, Outcome: o}})
	}
	intent("a")
	intent("b")
	if st.Keys["k"].Token != "a" {
		t.Error("a second intent replaced the one of a running request")
	}
	finish("b", api.OutcomeNotRun)
	if st.Keys["k"].Outcome != "" {
		t.Error("the outcome of another arrival was applied")
	}
	finish("a", api.OutcomeNotRun)
	intent("b")
	if st.Keys["k"].Token != "b" {
		t.Error("a request that did not run was not allowed to run again")
	}
	finish("b", api.OutcomeUnknown)
	intent("c")
	if st.Keys["k"].Token != "b" {
		t.Error("a request that may have run was allowed to run again")
	}
}

// TestRandomRecords applies random records and checks that the counts match the tasks, that
// a final state does not change, and that a snapshot restores the same state.
func TestRandomRecords(t *testing.T) {
	kinds := []api.Kind{api.KindBatch, api.KindAllAtOnce, api.KindService}
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(5))
	props.Property("the counts match the tasks, a final state stays, and a snapshot restores the state", prop.ForAll(func(kind int, once bool, ops []int) bool {
		w := workload(kinds[kind], 3)
		w.AtMostOnce = once && w.Kind != api.KindService
		st := newStateWith(w.WithDefaults())
		j := st.Jobs["j"]
		for _, op := range ops {
			was := j.State
			applyRandomOp(st, op)
			if !countsMatchTasks(j) || (was.Final() && was != api.JobUnknown && j.State != was) {
				return false
			}
		}
		data, err := json.Marshal(st)
		if err != nil {
			return false
		}
		back, err := jobs.LoadState(data, nil)
		return err == nil && reflect.DeepEqual(back.Jobs["j"].Status(true), j.Status(true))
	}, gen.IntRange(0, 2), gen.Bool(), gen.SliceOf(gen.IntRange(0, 999))))
	props.TestingRun(t)
}

func applyRandomOp(st *jobs.State, op int) {
	task, n := op%3, 1+op/3%4
	results := []worker.Result{worker.ResultDone, worker.ResultFailed, worker.ResultStopped, worker.ResultLeaseExpired}
	switch op / 100 {
	case 0, 1, 2:
		applyPlace(st, task, st.Jobs["j"].Tasks[task].Attempt+1)
	case 3, 4:
		applyEvent(st, peer.EventStarted, task, n, "")
	case 5, 6:
		applyEvent(st, peer.EventEnded, task, n, results[op%4])
	case 7:
		applyEvent(st, peer.EventLost, task, n, "")
	case 8:
		applyEvent(st, peer.EventNeverRan, task, n, "")
	default:
		if op == 999 {
			st.Apply(jobs.Record{Cancel: &jobs.Cancel{Job: "j", At: at}})
		}
	}
}

func countsMatchTasks(j *jobs.Job) bool {
	c := j.Status(false).Counts
	var have api.TaskCounts
	for _, t := range j.Status(true).Tasks {
		switch t.State {
		case api.TaskWaiting:
			have.Waiting++
		case api.TaskPlaced:
			have.Placed++
		case api.TaskRunning:
			have.Running++
		case api.TaskDone:
			have.Done++
		case api.TaskFailed:
			have.Failed++
		case api.TaskUnknown:
			have.Unknown++
		case api.TaskCancelled:
			have.Cancelled++
		}
	}
	return c == have
}

func FuzzLoadState(f *testing.F) {
	f.Add([]byte(`{"jobs":{},"keys":{}}`), []byte(`{"admit":{"workload":{"id":"j","tasks":2},"at":"2026-12-02T08:00:00Z"}}`))
	f.Fuzz(func(_ *testing.T, snapshot, record []byte) {
		_, _ = jobs.LoadState(snapshot, []json.RawMessage{record})
	})
}
