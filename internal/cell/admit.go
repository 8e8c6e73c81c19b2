// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"strconv"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/admission"
	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/settings"
)

// This file addresses shards whose backlog is so long that a new job would end too late: such a job
// is refused before anything is written.

// pinLookupTimeout bounds the read of a job's pin before it is refused. Without an answer the job is
// accepted as usual, for which the caller's deadline has to leave enough time.
const pinLookupTimeout = 500 * time.Millisecond

// Result is the outcome of a submission.
type Result struct {
	Answer Answer
	// RetryAfter is when the caller should retry, if Answer is AnswerOverloaded or AnswerCancelled, and
	// Reason why its job is refused, if it is AnswerOverloaded.
	RetryAfter time.Duration
	Reason     admission.Reason
}

// admitter holds this node's state of admission control.
type admitter struct {
	policy  admission.Policy
	memory  *admission.Memory
	shares  *admission.Shares
	recent  admission.Recent
	started time.Time
	// deciding serializes decisions, so that each takes the jobs admitted before it into account.
	deciding sync.Mutex
	// uncertain holds the IDs of jobs whose acceptance is in progress, or has got no answer.
	uncertain *lru.Cache[string, struct{}]
}

func newAdmitter(a settings.Admission) *admitter {
	return &admitter{
		policy: admission.Policy{
			Enabled: a.Enabled, AcceptUntil: a.AcceptUntil, ExpectUntil: a.ExpectUntil, NewUntil: a.NewUntil, MaxWaiting: a.MaxWaitingS,
		},
		memory: admission.NewMemory(), shares: admission.NewShares(), started: time.Now(), uncertain: newCache[struct{}](maxUncertain),
	}
}

// maxUncertain bounds the jobs of which it is remembered that they may have been accepted: those of a
// store outage of 20 s at 100 jobs a second.
const maxUncertain = 2000

// acceptAdmitted accepts an admitted job. The job is not refused at this node until the outcome is
// known: a write without an answer may take effect late.
func (n *Node) acceptAdmitted(ctx context.Context, job cluster.Job) Answer {
	n.admitter.uncertain.Add(job.ID, struct{}{})
	answer := n.accept(ctx, job)
	if answer != AnswerUnknown {
		n.admitter.uncertain.Remove(job.ID)
	}
	return answer
}

// now returns the time since the node's start on the monotonic clock.
func (a *admitter) now() time.Duration { return time.Since(a.started) }

// admit decides whether a job may be accepted now, and records and logs a refusal. It writes
// nothing to the store.
func (n *Node) admit(ctx context.Context, job *cluster.Job) admission.Decision {
	a := n.admitter
	r := admission.NewRequest(job)
	layout, ok := n.layout(job.Service)
	if !ok || !a.policy.Applies(&r) {
		return admission.Decision{Admit: true, Reason: admission.ReasonExempt}
	}
	shards := n.placementShards(ctx, &layout, job)
	n.completeRequest(ctx, &r, &layout)
	d := n.decide(r, shards)
	if !d.Admit && n.mayBeAccepted(ctx, job, shards) {
		d = admission.Decision{Admit: true, Reason: admission.ReasonAccepted}
	}
	n.countAdmission(job.Queue, d.Reason)
	if d.Admit {
		a.memory.Admit(r, a.now())
		a.shares.Add(r, a.now())
		return d
	}
	a.memory.Refuse(r, d, a.now())
	n.Log.Info("job refused since its shards are overloaded", events.JobOverloaded, zap.String("job", job.ID), zap.String("queue", job.Queue),
		zap.String("team", job.Team), zap.String("reason", string(d.Reason)), zap.Duration("forecast", d.Forecast), zap.Duration("bound", d.Bound),
		zap.Duration("retry_after", d.RetryAfter), zap.Bool("returning", r.Returning), zap.Duration("since_first", r.Sent))
	return d
}

// decide decides whether a job is accepted on one of the shards, and records the choice.
func (n *Node) decide(r admission.Request, shards []cluster.ShardID) admission.Decision {
	n.admitter.deciding.Lock()
	defer n.admitter.deciding.Unlock()
	views := n.viewsFor(&r, shards)
	d := n.admitter.policy.Decide(r, views)
	if d.Admit {
		n.choosePlacement(r, shards, views)
	}
	return d
}

// choosePlacement returns the shard for a job, and records that it is placed there.
func (n *Node) choosePlacement(r admission.Request, shards []cluster.ShardID, views []admission.ShardView) cluster.ShardID {
	shard := shards[n.admitter.policy.Choose(r, views)]
	n.admitter.recent.Add(r, shard.String(), n.admitter.now())
	return shard
}

// completeRequest adds to a request what this node knows of the caller and of other jobs.
func (n *Node) completeRequest(ctx context.Context, r *admission.Request, layout *cluster.Layout) {
	if deadline, ok := ctx.Deadline(); ok {
		r.Deadline = time.Until(deadline)
	}
	now := n.admitter.now()
	n.admitter.memory.Complete(r, now)
	r.TeamShare = n.admitter.shares.Of(r.Team, r.Job.Priority, now)
	r.ServiceMilli = admission.ServiceCapacity(n.shardViews(layout.IDs()))
}

// mayBeAccepted reports whether a job was accepted before, or may have been. Its caller may have
// got no answer, and retries at any node.
func (n *Node) mayBeAccepted(ctx context.Context, job *cluster.Job, shards []cluster.ShardID) bool {
	if n.pins.Contains(job.ID) || n.admitter.uncertain.Contains(job.ID) {
		return true
	}
	if reply := n.askOwners(ctx, job.ID, shards); reply.Known || reply.Unresolved {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, pinLookupTimeout)
	defer cancel()
	_, _, answer := n.lookUpPin(ctx, AllTeams, job.ID)
	return answer != AnswerNoJob
}

// shardViews returns the latest summaries of shards.
func (n *Node) shardViews(shards []cluster.ShardID) []admission.ShardView {
	views := make([]admission.ShardView, 0, len(shards))
	for _, f := range n.ShardForecasts(shards) {
		views = append(views, admission.ShardView{Summary: f.Summary, Age: f.Age})
	}
	return views
}

// viewsFor returns what this node knows of shards that may run the job of a request: their
// summaries, with the jobs that it has just placed there itself.
func (n *Node) viewsFor(r *admission.Request, shards []cluster.ShardID) []admission.ShardView {
	views, now := n.shardViews(shards), n.admitter.now()
	for i, shard := range shards {
		views[i] = n.admitter.recent.Apply(shard.String(), views[i], r, now)
	}
	return views
}

// countAdmission counts a decision.
func (n *Node) countAdmission(queue string, reason admission.Reason) {
	n.metrics.GetOrCreateCounter(`switchbank_admission_total{queue=` + strconv.Quote(queue) + `,decision="` + string(reason) + `"}`).Inc()
}
