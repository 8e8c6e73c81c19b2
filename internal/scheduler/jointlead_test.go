// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
)

// TestLeadWithoutMembersFails starts a gang of which the shard that leads its job has no room for
// any member, so that other shards start all of them.
func TestLeadWithoutMembersFails(t *testing.T) {
	const members = 3
	r := newRig(t, 1)
	r.upsertWorkers()
	full := tasks(1, 4000)
	full.EstimateMS = 20_000
	r.shard.AddJob(r.now, batch("full", full), nil, false)
	r.runFor(200 * time.Millisecond)
	gang := tasks(members, 4000)
	gang.Gang = true
	job := batch("j", gang)
	job.Share = cluster.Share{Index: 0, Of: 2, Joint: true}
	r.shard.AddJob(r.now, job, nil, false)
	r.runFor(100 * time.Millisecond)
	step := scheduler.StepID{Job: "j"}
	starts := r.shard.GangStatesReceived(r.now, step, []*scheduler.GangState{{Epoch: 1, AllKnown: true, Ready: members}})
	if len(starts) != 1 || starts[0].Body.To-starts[0].Body.From != members {
		t.Errorf("the lead orders %v, want one start of %d members", starts, members)
	}
}
