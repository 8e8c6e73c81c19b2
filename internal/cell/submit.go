// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/internal/tables"
)

const (
	// submitTimeout bounds one attempt for a caller without a deadline. An attempt without an
	// answer is repeated while the caller's deadline allows, to determine its outcome.
	submitTimeout = 3 * time.Second
	// submitRetryInterval is the time between two attempts: a reset connection ends an
	// attempt at once.
	submitRetryInterval = 20 * time.Millisecond
	// answerMargin is the part of the caller's deadline that is left for the answer.
	answerMargin = 150 * time.Millisecond
	// RetryAfter is when a refused caller should retry: by then another node, or the store's
	// rate limit of the next second, may accept the job.
	RetryAfter = time.Second
	// LimitRetryAfter is when the caller of a job above its team's limit should retry: the
	// operators have to raise the limit first.
	LimitRetryAfter = time.Minute
)

// Submit accepts a job durably. It is idempotent: the same job may be submitted any number of
// times.
func (n *Node) Submit(ctx context.Context, job cluster.Job) Result {
	job.AcceptedMS = time.Now().UnixMilli()
	if cfg := n.Config(); cfg != nil {
		if t, ok := cfg.TeamIndex().ByName(job.Team); ok && !job.FitsLimit(t.Limit) {
			n.refuse(job.ID, "a step of it exceeds the limit of team "+t.Name)
			return Result{Answer: AnswerOverLimit}
		}
	}
	if d := n.admit(ctx, &job); !d.Admit {
		return Result{AnswerOverloaded, d.RetryAfter, d.Reason}
	}
	answer := n.acceptAdmitted(ctx, job)
	if answer == AnswerCancelled {
		return Result{Answer: answer, RetryAfter: n.finishedRetention()}
	}
	return Result{Answer: answer}
}

// accept persists a job and sends it to the owners of its shards.
func (n *Node) accept(ctx context.Context, job cluster.Job) Answer {
	parts, ok := n.place(ctx, job)
	if !ok {
		return n.refuse(job.ID, "the service has no layout yet")
	}
	txn, err := owner.AcceptJobTxn(parts)
	if err != nil {
		return n.refuse(job.ID, err.Error())
	}
	if n.store.down() {
		return n.answerUnsent(ctx, &job, "the store does not answer")
	}
	maybeCommitted := false
	leave, ok := n.enterPart(ctx, txn.Part())
	if ok {
		defer leave()
	} else {
		n.countPartRefusal("submit")
		if answer := n.answerUnsent(ctx, &job, causePartAway); answer != AnswerUnknown {
			return answer
		}
		// An earlier call may have submitted the job. The caller has few retries, so that this
		// call waits until the part shows the outcome.
		maybeCommitted = true
		n.awaitRetry(ctx, txn.Part())
	}
	began := time.Now()
	for n.mayRetry(ctx) {
		c, cancel := attemptContext(ctx)
		res, err := n.store.Commit(c, txn)
		cancel()
		switch {
		case err == nil && res.Committed:
			return n.sendAccepted(parts, res.Version, time.Since(began))
		case err == nil:
			return n.answerBlocked(&job, res.Current)
		case tables.KindOf(err) == tables.KindInvalid && !maybeCommitted:
			n.refuse(job.ID, err.Error())
			return AnswerImpossible
		case !tables.IsUnknown(err) && !maybeCommitted:
			return n.answerUnsent(ctx, &job, err.Error())
		case n.store.down():
			return n.answerUnknown(job.ID)
		}
		if !maybeCommitted {
			maybeCommitted = true
			n.noteUnresolved(&job)
		}
		n.awaitRetry(ctx, txn.Part())
	}
	if !maybeCommitted {
		return n.answerUnsent(ctx, &job, "the caller's deadline is too near")
	}
	return n.answerUnknown(job.ID)
}

// causePartAway is the cause of a refusal for the sake of a part that is away.
const causePartAway = "its part of the store does not answer"

// enterPart admits a submission to its part of the store, or returns false if nothing should be
// written there now.
func (n *Node) enterPart(ctx context.Context, part string) (leave func(), ok bool) {
	c, cancel := attemptContext(ctx)
	defer cancel()
	if !n.store.partAnswers(c, part) {
		return nil, false
	}
	return n.store.parts.enter(c, part)
}

// awaitRetry waits until an attempt without an answer should be repeated to determine its
// outcome: not while its part of the store is away.
func (n *Node) awaitRetry(ctx context.Context, part string) {
	tables.Sleep(ctx, submitRetryInterval)
	for n.mayRetry(ctx) && n.store.parts.isAway(part) {
		n.store.probeIfDue(part, partProbeInterval)
		tables.Sleep(ctx, submitRetryInterval)
	}
}

// answerUnknown returns the answer for a job whose commit got no answer from the store, and
// logs it.
func (n *Node) answerUnknown(id string) Answer {
	n.Log.Warn("outcome of job submission unknown", events.JobRefused, zap.String("job", id), zap.String("answer", string(AnswerUnknown)))
	return AnswerUnknown
}

// mayRetry reports whether another attempt can be answered before the caller's deadline.
func (n *Node) mayRetry(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() == nil && (!ok || time.Until(deadline) > answerMargin)
}

// attemptContext bounds one attempt so that its caller can still be answered in time.
func attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(submitTimeout)
	}
	return context.WithDeadline(ctx, deadline.Add(-answerMargin))
}

// refuse returns the answer for a job that isn't accepted, and logs the cause.
func (n *Node) refuse(id, cause string) Answer {
	n.Log.Info("job refused", events.JobRefused, zap.String("job", id), zap.String("answer", string(AnswerRefused)), zap.String("cause", cause))
	return AnswerRefused
}

// sendAccepted sends the parts of an accepted job to their owners. An owner that isn't
// reached finds its part in the store.
func (n *Node) sendAccepted(parts []cluster.Job, version int64, took time.Duration) Answer {
	shards := shardsOf(parts)
	n.pins.Add(parts[0].ID, pinOf(parts))
	n.Log.Info("job accepted", events.JobAccepted, zap.String("job", parts[0].ID), zap.String("queue", parts[0].Queue),
		zap.Stringers("shards", shards), zap.Duration("took", took))
	for _, j := range parts {
		n.sendToOwner(j, version)
	}
	return AnswerOK
}

// sendToOwner sends a part of a job to the owner of its shard.
func (n *Node) sendToOwner(job cluster.Job, version int64) {
	n.notifyOwner(job.ShardID(), func(o *owner.Owner) { o.AddJob(job, version) }, func(ctx context.Context, m member) error {
		_, err := call[jobMessage, empty](ctx, n.peers, m.Address, pathJob, jobMessage{job, version}, peerTimeout)
		return err
	})
}
