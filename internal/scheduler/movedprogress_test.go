// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// Which workers are approved for a step shows only once the steps before it have ended. If too
// few workers of the shard are, the job has to move although it has started: gangs of 69 and 91
// tasks waited forever in shards of 110 workers, a third of which were approved, because jobs
// that had started never moved.

// gangJob returns a job with a step of one task followed by a gang of three tasks, each of
// which needs a whole worker.
func gangJob() cluster.Job {
	gang := tasks(3, 4000)
	gang.Gang, gang.After = true, []int{0}
	return batch("j", tasks(1, 1000), gang)
}

// startGangJob returns a shard of four workers in which the first step of the job has ended
// and the given number of workers is approved for the gang.
func startGangJob(t *testing.T, approvedWorkers int) *rig {
	r := newRig(t, 4)
	r.upsertWorkers()
	r.runFor(200 * time.Millisecond)
	job := gangJob()
	job.Policy.Advice = &cluster.AdviceCost{BaseMS: 20, ValidMS: 2500}
	r.shard.AddJob(r.now, job, nil, false)
	for range 8 {
		r.now = r.now.Add(100 * time.Millisecond)
		r.reportAll()
		r.round()
		for _, c := range commandsOf[scheduler.RequestAdvice](r.lastCommands) {
			approved := c.Workers
			if c.Step.Step == 1 {
				approved = approved[:min(approvedWorkers, len(approved))]
			}
			var tickets []cluster.Ticket
			for _, w := range approved {
				tickets = append(tickets, cluster.Ticket{Worker: w, Value: "t"})
			}
			r.shard.AdviceReplied(r.now, c.Step, c.Workers, tickets, time.Second, nil)
		}
		if len(r.running()) == 1 {
			r.endAllRuns(cluster.OutcomeDone)
		}
		r.persist(make(map[string]scheduler.Record))
	}
	return r
}

// TestStartedJobMovesWhenItsGangCannotFit checks that a job moves to another shard with its
// progress if too few workers are approved for its gang, and that its finished step does not
// run again there.
func TestStartedJobMovesWhenItsGangCannotFit(t *testing.T) {
	r := startGangJob(t, 2)
	moves := r.shard.BeginMoves(r.now, 10)
	if len(moves) != 1 || !moves[0].Unfit || len(moves[0].Carried) == 0 {
		t.Fatalf("moves are %+v, want the job with its progress", moves)
	}
	job := moves[0].Job
	job.Moves, job.CarriedProgress = job.Moves+1, moves[0].Carried
	job.Policy.Advice = nil
	to := newRig(t, 4)
	to.upsertWorkers()
	to.runFor(200 * time.Millisecond)
	to.shard.AddJob(to.now, job, nil, false)
	starts := commandsOf[scheduler.Start](to.round())
	if len(starts) != 3 || starts[0].Task.Step != 1 {
		t.Fatalf("%d starts, the first of step %d, want the gang's 3 of step 1", len(starts), starts[0].Task.Step)
	}
	to.endAllRuns(cluster.OutcomeDone)
	to.runFor(200 * time.Millisecond)
	to.persist(make(map[string]scheduler.Record))
	to.wantState(cluster.StateSucceeded)
}

// TestStartedJobStaysWhereItsGangFits checks that a started job does not move while enough
// workers are approved for its gang, however long the gang waits for them.
func TestStartedJobStaysWhereItsGangFits(t *testing.T) {
	r := startGangJob(t, 3)
	r.runFor(2 * time.Second)
	if moves := r.shard.BeginMoves(r.now, 10); len(moves) > 0 {
		t.Errorf("moves are %+v, want none", moves)
	}
}

// TestFailuresCountAfterMove checks that failures in the shard that a job came from count
// towards its maximum of attempts, and that its next runs get higher numbers.
func TestFailuresCountAfterMove(t *testing.T) {
	const failed = 700_003
	job := batch("j", tasks(1, 1000))
	job.Moves = 1
	job.CarriedProgress = []byte(`{"state":"running","begun":true,"mv":1,"steps":[{"t":[{"i":0,"f":[700003],"l":700003}]}]}`)
	r := newRig(t, 2)
	r.upsertWorkers()
	r.runFor(200 * time.Millisecond)
	r.shard.AddJob(r.now, job, nil, false)
	starts := commandsOf[scheduler.Start](r.round())
	if len(starts) != 1 || starts[0].Run <= failed {
		t.Fatalf("starts are %+v, want one with a run number above %d", starts, failed)
	}
	r.endAllRuns(cluster.OutcomeFailed)
	r.runFor(200 * time.Millisecond)
	r.persist(make(map[string]scheduler.Record))
	r.wantState(cluster.StateFailed)
}

// TestProgressFromBeforeMove checks that progress stored before a job left the shard is
// distinguished from progress stored after it came back.
func TestProgressFromBeforeMove(t *testing.T) {
	for _, c := range []struct {
		value string
		moves int
		isOf  bool
	}{
		{`{"state":"running","mv":1}`, 0, true},
		{`{"state":"running","mv":1}`, 2, false},
		{`{"state":"running","mv":3}`, 2, true},
		{`{"state":"running"}`, 2, true}, // Stored by a node that did not record the number of moves.
	} {
		p, err := scheduler.ParseProgress([]byte(c.value), 1)
		if err != nil {
			t.Fatal(err)
		}
		if got := p.IsCurrent(&cluster.Job{Moves: c.moves}); got != c.isOf {
			t.Errorf("progress %s, job with %d moves: IsCurrent is %v, want %v", c.value, c.moves, got, c.isOf)
		}
	}
}
