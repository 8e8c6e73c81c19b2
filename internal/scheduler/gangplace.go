// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"cmp"
	"time"
)

// This file starts gangs: all members at once, or none.

// placeGang starts all members of a gang at once, or none.
func (s *Shard) placeGang(now time.Time, st *step, waiting []*task) {
	if len(waiting) < st.spec.Count {
		return // members of an earlier run are still there
	}
	if st.job.isJoint() {
		if st.waitingSince.IsZero() {
			st.waitingSince = now
		}
		s.requestJointAdvice(now, st)
		return
	}
	if s.startsWithinLimit(now, st, st.spec.Count) < st.spec.Count {
		s.limitBlocks(now, st, st.spec.Count)
		st.waitingSince, st.pendingSince = time.Time{}, time.Time{}
		return
	}
	st.limitSince = time.Time{}
	if !s.mayStartIsolated(now, st) {
		return
	}
	var places []*worker
	if s.countStartable(now, st) >= st.spec.Count {
		places = s.gangPlacement(now, st)
	}
	if places == nil {
		s.limitAllows(now, st, len(waiting))
		s.handleUnplaced(now, st, len(waiting))
		return
	}
	st.waitingSince, st.pendingSince = time.Time{}, time.Time{}
	s.startMembers(now, st.tasks, places, st.lastGangRun+1, st.checkpoint())
}

// checkpoint returns the checkpoint of a gang's member, which is valid for all members,
// or "".
func (st *step) checkpoint() (checkpoint string) {
	for _, t := range st.tasks {
		checkpoint = cmp.Or(t.checkpoint, checkpoint)
	}
	return checkpoint
}

// startMembers starts members of a gang on the given workers, as one run from one
// checkpoint.
func (s *Shard) startMembers(now time.Time, members []*task, places []*worker, run int64, checkpoint string) {
	isolate := len(members) > 0 && members[0].step.mustIsolate()
	for i, t := range members {
		t.checkpoint = checkpoint
		if r := s.startRun(now, t, places[i], run); isolate {
			s.isolate(r)
		}
	}
}

// gangPlacement returns a worker for each member of a gang, or nil. A gang that asks for
// one rack is placed across racks only after it has waited for oneRackTimeout.
func (s *Shard) gangPlacement(now time.Time, st *step) []*worker {
	if st.spec.OneRack {
		for _, rack := range s.racks() {
			if places := s.placeGangOnRack(now, st, rack); places != nil {
				return places
			}
		}
		if now.Sub(st.waitingSince) < oneRackTimeout || st.waitingSince.IsZero() {
			return nil
		}
	}
	return s.placeGangOnRack(now, st, "")
}

// oneRackTimeout is how long a gang waits for a single rack before it starts across
// racks, where it takes half as long again.
const oneRackTimeout = time.Second

// placeGangOnRack returns a worker on the rack for each member of a gang, or nil. If rack
// is "", all workers are considered.
func (s *Shard) placeGangOnRack(now time.Time, st *step, rack string) []*worker {
	isolate := st.mustIsolate()
	return s.placeMembers(now, st, st.spec.Count, func(w *worker) bool {
		if isolate && w.hasSuspectBeside(now, st.tasks[0]) {
			return false
		}
		return rack == "" || w.info.Rack == rack
	})
}

// placeMembers returns an allowed worker for each of n members of a gang, or nil.
func (s *Shard) placeMembers(now time.Time, st *step, n int, allowed func(*worker) bool) []*worker {
	extra := make(map[*worker]int)
	places := make([]*worker, 0, n)
	for range n {
		w := s.bestWorker(now, st, extra, allowed)
		if w == nil {
			return nil
		}
		extra[w]++
		places = append(places, w)
	}
	return places
}

// racks returns the racks of the known workers, without duplicates.
func (s *Shard) racks() []string {
	var racks []string
	seen := make(map[string]bool)
	for _, w := range s.workerList {
		if !seen[w.info.Rack] {
			seen[w.info.Rack] = true
			racks = append(racks, w.info.Rack)
		}
	}
	return racks
}
