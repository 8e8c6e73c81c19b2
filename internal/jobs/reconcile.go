// SPDX-License-Identifier: Apache-2.0

package jobs

import (
	"context"
	"time"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/journal"
	"switchbank.example/switchbank/internal/peer"
)

// reconcile asks again about tasks that were not told of, and stops those that
// must not run.
func (s *Set) reconcile(ctx context.Context) {
	now := time.Now()
	s.mu.Lock()
	if !s.changed && now.Sub(s.scanned) < s.opts.VerifyInterval/2 {
		s.mu.Unlock()
		return
	}
	verify := s.verify
	s.verify, s.changed, s.scanned = make(map[string]bool), false, now
	s.mu.Unlock()
	for _, sh := range s.all() {
		ask, stop, last := sh.doubtful(now, verify)
		if len(ask)+len(stop) == 0 || !keptSoon(ctx, last) {
			continue
		}
		s.halt(ctx, sh, stop)
		s.confirm(ctx, sh, ask)
	}
}

// halt stops tasks, and learns what became of those that are not there.
func (s *Set) halt(ctx context.Context, sh *Shard, places []peer.Placement) {
	sh.noteAsked(places, time.Now())
	eachPool(places, func(shard string, places []peer.Placement) {
		reply, err := s.deps.Pools.Stop(ctx, peer.StopRequest{Shard: shard, Placements: places})
		if err == nil {
			s.learn(ctx, sh, places, reply)
		}
	})
}

// keptSoon reports whether what was read is kept, waiting for it a short time;
// a start must not be asked for before its place is kept.
func keptSoon(ctx context.Context, last *journal.Pending) bool {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	return waitFor(ctx, last) == nil
}

// doubtful returns the tasks to be asked about and those to be stopped.
func (sh *Shard) doubtful(now time.Time, verify map[string]bool) (ask, stop []peer.Placement, last *journal.Pending) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, j := range sh.state.Jobs {
		if j.counts.Placed+j.counts.Running == 0 {
			continue
		}
		halt := j.mustStop()
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if !t.State.Active() {
				continue
			}
			moved := verify[t.Placement.Shard] || t.asked.IsZero()
			due := now.Sub(t.asked) >= sh.opts.VerifyInterval
			t.doubt = t.doubt || moved
			switch {
			case halt && (moved || due || !t.halted):
				t.halted = true
				stop = append(stop, t.Placement)
			case moved || (due && (t.doubt || t.State == api.TaskPlaced)):
				ask = append(ask, t.Placement)
			}
		}
	}
	return ask, stop, sh.last
}

// mustStop reports whether the job's active tasks must end.
func (j *Job) mustStop() bool {
	broken := j.Spec.Kind == api.KindAllAtOnce && !j.Spec.AtMostOnce && j.counts.Failed > 0
	return j.Cancelled || j.Restarting || broken
}

// noteAsked records when the owners were asked about tasks.
func (sh *Shard) noteAsked(places []peer.Placement, at time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, p := range places {
		if _, t := sh.state.task(p.Attempt); t != nil && t.Attempt == p.Attempt.N {
			t.asked = at
		}
	}
}

// noteAnswered records that the owners know the tasks, and tell of them from now on.
func (sh *Shard) noteAnswered(items []peer.Confirmed) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, c := range items {
		_, t := sh.state.task(c.Attempt)
		if t != nil && t.Attempt == c.Attempt.N && c.State == peer.ConfirmAccepted {
			t.doubt = false
		}
	}
}

// active returns the places of a job's tasks that a worker may be running.
func (sh *Shard) active(job string) []peer.Placement {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	j, ok := sh.state.Jobs[job]
	if !ok {
		return nil
	}
	var places []peer.Placement
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.State.Active() {
			t.halted = true
			places = append(places, t.Placement)
		}
	}
	return places
}
