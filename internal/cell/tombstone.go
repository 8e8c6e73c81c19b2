// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/internal/tables"
)

// This file cancels jobs that are not there. Only the store sees all acceptances: the node that took the
// submission may be another one, or may have ended, and its write may be done seconds after this call.

// maxTombstones bounds the tombstones that all nodes together write within the time for which each is
// kept, so that cancels of jobs that never existed don't fill the store.
const maxTombstones = 10_000

// tombstoneBudget counts the tombstones that this node writes.
type tombstoneBudget struct {
	mu      sync.Mutex
	since   time.Time
	written int
}

// take reports whether one more of at most limit tombstones may be written within a time.
func (b *tombstoneBudget) take(now time.Time, limit int, within time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.since) >= within {
		b.since, b.written = now, 0
	}
	if b.written >= limit {
		return false
	}
	b.written++
	return true
}

// finishedRetention returns for how long the state of a finished job and a tombstone are kept.
func (n *Node) finishedRetention() time.Duration {
	return time.Duration(n.cfg.Bounds.FinishedRetentionMS) * time.Millisecond
}

// cancelAbsent cancels a job that was not found. AnswerNoJob means that it doesn't exist and will not be
// accepted, and AnswerOK that it was accepted meanwhile, so that it has to be cancelled there.
func (n *Node) cancelAbsent(ctx context.Context, v Viewer, service, id string) Answer {
	if n.pins.Contains(id) {
		// It was accepted, and has been over for so long that its pin was deleted.
		return AnswerNoJob
	}
	layout, ok := n.layout(service)
	if !ok || !n.tombstones.take(time.Now(), max(1, maxTombstones/(n.peers.count()+1)), n.finishedRetention()) {
		return AnswerRefused
	}
	txn := owner.TombstoneTxn(n.candidatesByLoad(&layout, id)[0], id, v.Team)
	maybeCommitted := false
	for n.mayRetry(ctx) {
		if !maybeCommitted && !n.partAnswers(ctx, "cancel", id) {
			return AnswerRefused
		}
		c, cancel := attemptContext(ctx)
		res, err := n.store.Commit(c, txn)
		cancel()
		switch {
		case err != nil:
			maybeCommitted = maybeCommitted || tables.IsUnknown(err)
		case res.Committed:
			n.Log.Info("job cancelled before it was accepted", events.CancelAccepted, zap.String("job", id), zap.String("state", "absent"))
			return AnswerNoJob
		default:
			return n.answerPinned(v, id, res.Current)
		}
		n.awaitRetry(ctx, txn.Part())
	}
	if !maybeCommitted {
		return AnswerRefused
	}
	return AnswerUnknown
}

// answerPinned returns the answer of cancelAbsent for a job whose pin is there.
func (n *Node) answerPinned(v Viewer, id string, current []tables.Row) Answer {
	for _, r := range current {
		pin, err := owner.ParsePin(r)
		if err != nil {
			n.Log.Warn("pin row skipped", events.RowSkipped, zap.String("job", id), zap.Error(err))
			return AnswerRefused
		}
		if pin.Tombstone || !v.sees(pin.Team) {
			return AnswerNoJob
		}
	}
	return AnswerOK
}

// blockingPin returns the pin that kept a job from being accepted; ok is false if it can't be read.
func blockingPin(current []tables.Row) (pin owner.Pin, ok bool) {
	for _, r := range current {
		if pin, err := owner.ParsePin(r); err == nil {
			return pin, true
		}
	}
	return owner.Pin{}, false
}

// answerBlocked returns the answer for a job that was not accepted since a pin was there: its own, that
// of a job of another team, or the tombstone that its cancel has left.
func (n *Node) answerBlocked(job *cluster.Job, current []tables.Row) Answer {
	pin, ok := blockingPin(current)
	switch {
	case !ok:
		return n.answerAccepted(job)
	case pin.Team != job.Team:
		n.refuse(job.ID, "a job of another team has this ID")
		return AnswerConflict
	case pin.Tombstone:
		n.refuse(job.ID, "it was cancelled before it was accepted")
		return AnswerCancelled
	}
	return n.answerAccepted(job)
}
