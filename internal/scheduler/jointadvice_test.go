// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// TestJointGangKeepsTickets lets a gang that several shards run together wait on workers
// that are full of other work. Its tickets for all workers that advice allows must be good
// all the time, but while they are renewed.
//
// A gang of 130 in six shards asked only about workers that had room at that moment. Room
// comes and goes within tenths of a second, a call takes half a second, and the room has to
// be there in all shards at once: it started 32 s later, when the load had ended. There was
// room for all of it within 1.2 s all the time:
//
//	30.8 gang waits members=130 ready=[4 1 9 1 0 0] soon=[63 95 74 102 73 78] starts_in=781ms
func TestJointGangKeepsTickets(t *testing.T) {
	const (
		valid   = 2500 * time.Millisecond
		callFor = 500 * time.Millisecond
	)
	r := newRig(t, 3)
	r.upsertWorkers()
	full := tasks(3, 4000)
	full.EstimateMS = 20_000
	r.shard.AddJob(r.now, batch("full", full), nil, false)
	r.runFor(200 * time.Millisecond)
	gang := tasks(4, 4000)
	gang.Gang = true
	job := batch("j", gang)
	job.Share = cluster.Share{Index: 0, Of: 2, Joint: true}
	job.Policy.Advice = &cluster.AdviceCost{BaseMS: 400, ValidMS: valid.Milliseconds()}
	r.shard.AddJob(r.now, job, nil, false)
	answerAt := time.Time{}
	var open scheduler.RequestAdvice
	good := map[string]time.Time{}
	for end := r.now.Add(20 * time.Second); r.now.Before(end); {
		r.shard.GangPolls(r.now)
		r.runFor(100 * time.Millisecond)
		for _, c := range commandsOf[scheduler.RequestAdvice](r.lastCommands) {
			open, answerAt = c, r.now.Add(callFor)
		}
		if !answerAt.IsZero() && !r.now.Before(answerAt) {
			answerAt = time.Time{}
			var tickets []cluster.Ticket
			for _, w := range open.Workers {
				tickets = append(tickets, cluster.Ticket{Worker: w, Value: "t"})
				good[w] = r.now.Add(valid)
			}
			r.shard.AdviceReplied(r.now, open.Step, open.Workers, tickets, valid, nil)
		}
		if end.Sub(r.now) > 18*time.Second {
			continue
		}
		for _, w := range r.workerIDs() {
			if !r.now.Before(good[w]) {
				t.Fatalf("the ticket for %s ended %s ago", w, r.now.Sub(good[w]))
			}
		}
	}
}
