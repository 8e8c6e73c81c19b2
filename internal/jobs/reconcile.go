// SPDX-License-Identifier: Apache-2.0

package jobs

import (
	"context"
	"time"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/journal"
	"switchbank.example/switchbank/internal/peer"
)

// reconcile asks the owners of worker shards about tasks of which nothing was heard, and
// stops those that must not run. It scans the tasks when a scan is needed, and every
// half VerifyInterval.
func (s *Set) reconcile(ctx context.Context) {
	now := time.Now()
	s.mu.Lock()
	if !s.scanNeeded && now.Sub(s.lastScan) < s.opts.VerifyInterval/2 {
		s.mu.Unlock()
		return
	}
	verify := s.verify
	s.verify, s.scanNeeded, s.lastScan = make(map[string]bool), false, now
	s.mu.Unlock()
	for _, sh := range s.ownedShards() {
		ask, stop, pending := sh.tasksToReconcile(now, verify)
		if len(ask)+len(stop) == 0 || !becomesDurable(ctx, pending) {
			continue
		}
		s.stopTasks(ctx, sh, stop)
		s.confirm(ctx, sh, ask)
	}
}

// stopTasks stops tasks, and journals the end of those that the owners of their worker
// shards do not run any more.
func (s *Set) stopTasks(ctx context.Context, sh *Shard, placements []peer.Placement) {
	sh.recordAsked(placements, time.Now())
	eachPool(placements, func(shard string, placements []peer.Placement) {
		reply, err := s.deps.Pools.Stop(ctx, peer.StopRequest{Shard: shard, Placements: placements})
		if err == nil {
			s.applyConfirmReply(ctx, sh, placements, reply)
		}
	})
}

// becomesDurable waits up to journalTimeout for an append, and reports whether it is
// durable. A start must not be sent before the task's placement is durable.
func becomesDurable(ctx context.Context, pending *journal.Pending) bool {
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	return waitDurable(ctx, pending) == nil
}

// tasksToReconcile returns the active tasks to ask about, those to stop, and the last
// append, on which both depend. verify holds the worker shards whose owner has changed.
func (sh *Shard) tasksToReconcile(now time.Time, verify map[string]bool) (ask, stop []peer.Placement, pending *journal.Pending) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, j := range sh.state.Jobs {
		if j.counts.Placed+j.counts.Running == 0 {
			continue
		}
		mustStop := j.mustStop()
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if !t.State.Active() {
				continue
			}
			ownerChanged := verify[t.Placement.Shard] || t.lastAsked.IsZero()
			due := now.Sub(t.lastAsked) >= sh.opts.VerifyInterval
			t.unconfirmed = t.unconfirmed || ownerChanged
			switch {
			case mustStop && (ownerChanged || due || !t.stopSent):
				t.stopSent = true
				stop = append(stop, t.Placement)
			case ownerChanged || (due && (t.unconfirmed || t.State == api.TaskPlaced)):
				ask = append(ask, t.Placement)
			}
		}
	}
	return ask, stop, sh.lastAppend
}

// mustStop reports whether the job's active tasks must be stopped.
func (j *Job) mustStop() bool {
	gangFailed := j.Spec.Kind == api.KindAllAtOnce && !j.Spec.AtMostOnce && j.counts.Failed > 0
	return j.Cancelled || j.Restarting || gangFailed
}

// recordAsked records when the owners were asked about tasks.
func (sh *Shard) recordAsked(placements []peer.Placement, at time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, p := range placements {
		if _, t := sh.state.task(p.Attempt); t != nil && t.Attempt == p.Attempt.N {
			t.lastAsked = at
		}
	}
}

// recordConfirmed records that the owners know the tasks, and thus report their events.
func (sh *Shard) recordConfirmed(items []peer.Confirmed) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, c := range items {
		_, t := sh.state.task(c.Attempt)
		if t != nil && t.Attempt == c.Attempt.N && c.State == peer.ConfirmAccepted {
			t.unconfirmed = false
		}
	}
}

// markStopSent marks the active tasks of a job as sent a stop, and returns their placements.
func (sh *Shard) markStopSent(job string) []peer.Placement {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	j, ok := sh.state.Jobs[job]
	if !ok {
		return nil
	}
	var placements []peer.Placement
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.State.Active() {
			t.stopSent = true
			placements = append(placements, t.Placement)
		}
	}
	return placements
}
