// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// TestJointGangKeepsTickets checks that a gang that several shards run together holds valid
// tickets for all approved workers at any time, also for those that are full of other work. It
// guards against asking only about workers with room: room comes and goes within tenths of a
// second, a call takes half a second, and all shards must have room at the same time, so that a
// gang of 130 tasks in six shards started only when the load had ended.
func TestJointGangKeepsTickets(t *testing.T) {
	const (
		validTime = 2500 * time.Millisecond
		callTime  = 500 * time.Millisecond
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
	job.Policy.Advice = &cluster.AdviceCost{BaseMS: 400, ValidMS: validTime.Milliseconds()}
	r.shard.AddJob(r.now, job, nil, false)
	answerAt := time.Time{}
	var open scheduler.RequestAdvice
	validUntil := map[string]time.Time{}
	for end := r.now.Add(20 * time.Second); r.now.Before(end); {
		r.shard.GangPolls(r.now)
		r.runFor(100 * time.Millisecond)
		for _, c := range commandsOf[scheduler.RequestAdvice](r.lastCommands) {
			open, answerAt = c, r.now.Add(callTime)
		}
		if !answerAt.IsZero() && !r.now.Before(answerAt) {
			answerAt = time.Time{}
			var tickets []cluster.Ticket
			for _, w := range open.Workers {
				tickets = append(tickets, cluster.Ticket{Worker: w, Value: "t"})
				validUntil[w] = r.now.Add(validTime)
			}
			r.shard.AdviceReplied(r.now, open.Step, open.Workers, tickets, validTime, nil)
		}
		if end.Sub(r.now) > 18*time.Second {
			continue
		}
		for _, w := range r.workerIDs() {
			if !r.now.Before(validUntil[w]) {
				t.Fatalf("the ticket for %s expired %s ago", w, r.now.Sub(validUntil[w]))
			}
		}
	}
}
