// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"os"
	"testing"
)

// The model explores all interleavings of a first owner of shard A that moves a job to shard B,
// two nodes that take over shard A in turn, the owner of shard B, and a caller that cancels the
// job. Replies may be lost, and writes may take effect late. A process may stop at any step,
// since no other one waits for its steps. The writes and their conditions are those of
// fence.go, move.go and rows.go.

// Steps of an owner of shard A.
const (
	stepClaim          = iota // Write the owner's row.
	stepReadFence             // Read the fence.
	stepWriteFence            // Write the fence.
	stepReadJobs              // Read the jobs.
	stepReadProgress          // Read the progress.
	stepContactWorkers        // Contact the workers, which then refuse lower epochs.
	stepHoldJob               // Have the job, of which nothing runs here.
	stepReadPin               // Read the pin.
	stepWriteMark             // Mark the job as moving.
	stepWriteMove             // Write the pin and the job for shard B.
	stepResolveMove           // Read the pin after a move without an answer, or after finding a mark.
	stepBumpPin               // Give the pin a new version.
	stepRemoveMark            // Remove the mark of a job that has moved.
	stepWriteBegun            // Persist that the job has begun.
	stepEnd
)

// Steps of the caller's cancel.
const (
	cancelReadsPin = iota
	cancelWrites
	cancelAnswered
)

// What is persisted of the job's progress.
const (
	progressNone = iota
	progressMark
	progressBegun
)

const (
	shardA     = 0
	shardB     = 1
	ownerCount = 2
	// noWrite marks an empty slot for a write that may take effect late.
	noWrite = -1
	// maxPinWrites and maxMarkWrites are how often the pin and the mark may have been written
	// when another move begins. They bound the number of states.
	maxPinWrites  = 1
	maxMarkWrites = 1
)

// ownerState is what one owner knows. The fields whose names begin with late hold the version
// that is the condition of a write that may take effect late.
type ownerState struct {
	step                                   int8
	fence, progress, pin                   int8
	hasJob, marked, begun                  bool
	lateFence, lateMark, lateMove, latePin int8
}

// systemState is one state of all processes and of the store.
type systemState struct {
	ownerEpoch, fenceEpoch, workersEpoch int8
	progress, progressVersion            int8
	pinShard, pinVersion                 int8
	cancel                               [2]bool
	started                              [2]bool
	owners                               [ownerCount]ownerState
	cancelStep, cancelPin, cancelShard   int8
	lateCancel                           int8
	lateCancelShard                      int8
	// readerEpoch is the highest epoch that has read the progress.
	readerEpoch int8
	violated    int8
}

// The violations that the model looks for.
const (
	noViolation = iota
	ranTwice
	cancelLost
	jobLost
	oldOwnerPersisted
)

var violationNames = map[int8]string{
	ranTwice: "the job ran in both shards", cancelLost: "a cancel was lost by a move",
	jobLost: "no shard has the job", oldOwnerPersisted: "an owner persisted after its successor had read",
}

// removedGuards selects the safeguards that are left out.
type removedGuards struct {
	jobsBeforeFence, pinAfterMark, noBump, noMark, noCancelCondition, noFenceCondition, noCaller, noStarts bool
}

func initialState() systemState {
	m := systemState{ownerEpoch: 1, fenceEpoch: 1, workersEpoch: 1, readerEpoch: 1, lateCancel: noWrite}
	for k := range m.owners {
		m.owners[k] = ownerState{step: stepClaim, lateFence: noWrite, lateMark: noWrite, lateMove: noWrite, latePin: noWrite}
	}
	m.owners[0].step, m.owners[0].hasJob = stepHoldJob, true
	return m
}

// explore visits all reachable states, and returns their number and the violations found. It
// ends early once the violation until is found.
func explore(g removedGuards, until int8) (states int, violations map[int8]bool) {
	violations = make(map[int8]bool)
	initial := initialState()
	seen := map[systemState]bool{initial: true}
	stack := []systemState{initial}
	for len(stack) > 0 && (until == noViolation || !violations[until]) {
		m := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for _, next := range m.next(g) {
			if v := next.violation(); v != noViolation {
				violations[v] = true
				continue
			}
			next.canonicalize(g)
			if !seen[next] {
				seen[next] = true
				stack = append(stack, next)
			}
		}
	}
	return len(seen), violations
}

// canonicalize clears what can make no difference any more, which merges states: values that
// the next steps don't use, and late writes whose conditions can't hold again, since versions
// only rise.
func (m *systemState) canonicalize(g removedGuards) {
	for k := range m.owners {
		o := &m.owners[k]
		if o.step != stepWriteFence {
			o.fence = 0
		}
		if o.step != stepWriteMark && o.step != stepWriteMove && o.step != stepBumpPin {
			o.pin = 0
		}
		if o.step == stepEnd {
			o.progress, o.marked, o.begun = 0, false, false
		}
		if o.step >= stepHoldJob {
			o.marked = false
		}
		fencedOff := m.fenceEpoch > int8(k+1) && !g.noFenceCondition
		clearIf(&o.lateFence, o.lateFence != m.fenceEpoch)
		clearIf(&o.lateMark, o.lateMark != m.progressVersion || fencedOff)
		clearIf(&o.lateMove, o.lateMove != m.pinVersion)
		clearIf(&o.latePin, o.latePin != m.pinVersion)
	}
	clearIf(&m.lateCancel, m.lateCancel != m.pinVersion)
	if m.lateCancel == noWrite {
		m.lateCancelShard = 0
	}
	if m.cancelStep != cancelWrites {
		m.cancelPin, m.cancelShard = 0, 0
	}
}

// clearIf empties a slot for a late write if the condition holds.
func clearIf(slot *int8, condition bool) {
	if condition {
		*slot = noWrite
	}
}

// violation returns the violation in a state, or noViolation.
func (m *systemState) violation() int8 {
	switch {
	case m.violated != noViolation:
		return m.violated
	case m.started[shardA] && m.started[shardB]:
		return ranTwice
	case (m.cancel[shardA] || m.cancel[shardB]) && !m.cancel[m.pinShard]:
		return cancelLost
	}
	for k := range m.owners {
		last := int8(k+1) == m.ownerEpoch && m.ownerEpoch == m.fenceEpoch
		if last && m.owners[k].step == stepEnd && !m.owners[k].hasJob && m.pinShard == shardA {
			return jobLost
		}
	}
	return noViolation
}

// next returns all successor states.
func (m *systemState) next(g removedGuards) []systemState {
	var states []systemState
	for k := range m.owners {
		states = append(states, m.ownerSteps(g, k)...)
		states = append(states, m.lateWrites(g, k)...)
	}
	if !g.noCaller {
		states = append(states, m.cancelSteps()...)
	}
	if !g.noStarts && m.pinShard == shardB && !m.cancel[shardB] && !m.started[shardB] {
		s := *m
		s.started[shardB] = true
		states = append(states, s)
	}
	return states
}

// write models a write with its three outcomes: answered, done but unanswered, and late. The
// functions do the write (false means that its condition doesn't hold) and record the outcome.
func (m *systemState) write(do func(*systemState) bool, answered func(s *systemState, done bool), unknown func(*systemState), late func(*systemState) bool) []systemState {
	now := *m
	done := do(&now)
	lost := now
	answered(&now, done)
	unknown(&lost)
	states := []systemState{now, lost}
	later := *m
	if late(&later) {
		unknown(&later)
		states = append(states, later)
	}
	return states
}

// setIfEmpty sets an empty slot for a late write.
func setIfEmpty(slot *int8, version int8) bool {
	if *slot != noWrite {
		return false
	}
	*slot = version
	return true
}

// ownerSteps returns the states after one step of an owner.
func (m *systemState) ownerSteps(g removedGuards, k int) []systemState {
	s := *m
	o := &s.owners[k]
	epoch := int8(k + 1)
	switch o.step {
	case stepClaim:
		if m.ownerEpoch != epoch-1 {
			return nil
		}
		s.ownerEpoch, o.step = epoch, stepReadFence
		if g.jobsBeforeFence {
			o.step = stepReadJobs
		}
	case stepReadFence:
		o.fence, o.step = m.fenceEpoch, stepWriteFence
		if m.fenceEpoch >= epoch {
			o.step = stepAfterFence(g, epoch == m.fenceEpoch)
		}
	case stepWriteFence:
		return m.write(
			func(s *systemState) bool { return s.takeFence(k, o.fence) },
			func(s *systemState, done bool) {
				s.owners[k].step = stepReadFence
				if done {
					s.owners[k].step = stepAfterFence(g, true)
				}
			},
			func(s *systemState) { s.owners[k].step = stepReadFence },
			func(s *systemState) bool { return setIfEmpty(&s.owners[k].lateFence, o.fence) })
	case stepReadJobs:
		o.hasJob, o.step = m.pinShard == shardA, stepReadProgress
		if g.jobsBeforeFence {
			o.step = stepReadFence
		}
	case stepReadProgress:
		o.marked, o.begun, o.progress = m.progress == progressMark, m.progress == progressBegun, m.progressVersion
		s.readerEpoch, o.step = max(s.readerEpoch, epoch), stepContactWorkers
	case stepContactWorkers:
		s.workersEpoch = max(s.workersEpoch, epoch)
		o.begun = o.begun || m.started[shardA]
		switch {
		case !o.hasJob:
			o.step = stepEnd
		case o.marked:
			o.step = stepResolveMove
		default:
			o.step = stepHoldJob
		}
	case stepHoldJob:
		return m.holdJobSteps(g, k)
	case stepWriteMark:
		return m.markSteps(g, k)
	case stepReadPin, stepResolveMove:
		o.pin = m.pinVersion
		switch {
		case m.pinShard != shardA:
			o.hasJob, o.step = false, stepRemoveMark
		case o.step == stepReadPin && !g.noMark && !g.pinAfterMark:
			o.step = stepWriteMark
		case o.step == stepReadPin:
			o.step = stepWriteMove
		case g.noBump:
			o.step = stepHoldJob
		default:
			o.step = stepBumpPin
		}
	case stepWriteMove:
		return m.moveSteps(g, k)
	case stepBumpPin:
		return m.bumpSteps(k)
	case stepRemoveMark:
		if m.fenceEpoch == epoch && m.progressVersion == o.progress {
			s.progress, s.progressVersion = progressNone, m.progressVersion+1
		}
		o.step = stepEnd
	case stepWriteBegun:
		return m.begunSteps(k)
	default:
		return nil
	}
	return []systemState{s}
}

// stepAfterFence returns the step after the fence was taken by this owner, or by one with a
// higher epoch.
func stepAfterFence(g removedGuards, taken bool) int8 {
	switch {
	case !taken:
		return stepEnd
	case g.jobsBeforeFence:
		return stepReadProgress
	}
	return stepReadJobs
}

// takeFence writes the fence on condition of the epoch seen.
func (m *systemState) takeFence(k int, seen int8) bool {
	if m.fenceEpoch != seen {
		return false
	}
	m.fenceEpoch = int8(k + 1)
	return true
}

// holdJobSteps returns what an owner may do with a job of which nothing runs.
func (m *systemState) holdJobSteps(g removedGuards, k int) []systemState {
	var states []systemState
	if m.cancel[shardA] {
		s := *m
		s.owners[k].step = stepEnd
		states = append(states, s)
	}
	if !g.noStarts && int8(k+1) >= m.workersEpoch {
		s := *m
		s.started[shardA], s.owners[k].begun, s.owners[k].step = true, true, stepWriteBegun
		states = append(states, s)
	}
	if !m.owners[k].begun && m.pinVersion < maxPinWrites && m.progressVersion < maxMarkWrites {
		s := *m
		s.owners[k].step = stepReadPin
		if g.pinAfterMark {
			s.owners[k].step = stepWriteMark
		}
		states = append(states, s)
	}
	return states
}

// setProgress writes progress under an owner's fence, on condition of its version.
func (m *systemState) setProgress(g removedGuards, k int, value, seen int8) bool {
	if (m.fenceEpoch != int8(k+1) && !g.noFenceCondition) || m.progressVersion != seen {
		return false
	}
	if m.readerEpoch > int8(k+1) {
		m.violated = oldOwnerPersisted
	}
	m.progress, m.progressVersion = value, seen+1
	return true
}

// progressAnswered records the answer to a write of progress: done, fenced off, or refused
// because the version differs.
func (m *systemState) progressAnswered(k int, done bool, next, again int8) {
	o := &m.owners[k]
	switch {
	case done:
		o.progress, o.step = m.progressVersion, next
	case m.fenceEpoch != int8(k+1):
		o.step = stepEnd
	default:
		o.progress, o.step = m.progressVersion, again
	}
}

func (m *systemState) markSteps(g removedGuards, k int) []systemState {
	seen := m.owners[k].progress
	return m.write(
		func(s *systemState) bool { return s.setProgress(g, k, progressMark, seen) },
		func(s *systemState, done bool) { s.progressAnswered(k, done, stepAfterMark(g), stepHoldJob) },
		func(s *systemState) { s.owners[k].step = stepHoldJob },
		func(s *systemState) bool { return setIfEmpty(&s.owners[k].lateMark, seen) })
}

// stepAfterMark returns the step after the mark.
func stepAfterMark(g removedGuards) int8 {
	if g.pinAfterMark {
		return stepReadPin
	}
	return stepWriteMove
}

func (m *systemState) begunSteps(k int) []systemState {
	seen := m.owners[k].progress
	return m.write(
		func(s *systemState) bool { return s.setProgress(removedGuards{}, k, progressBegun, seen) },
		func(s *systemState, done bool) { s.progressAnswered(k, done, stepEnd, stepWriteBegun) },
		func(s *systemState) { s.owners[k].step = stepWriteBegun },
		func(*systemState) bool { return false })
}

// movePin moves the job to shard B, on condition of the pin and of no cancel.
func (m *systemState) movePin(g removedGuards, seen int8) bool {
	if m.pinVersion != seen || (m.cancel[shardA] && !g.noCancelCondition) {
		return false
	}
	m.pinShard, m.pinVersion = shardB, seen+1
	return true
}

func (m *systemState) moveSteps(g removedGuards, k int) []systemState {
	seen := m.owners[k].pin
	return m.write(
		func(s *systemState) bool { return s.movePin(g, seen) },
		func(s *systemState, done bool) {
			s.owners[k].step = stepHoldJob
			if done {
				s.owners[k].hasJob, s.owners[k].step = false, stepRemoveMark
			}
		},
		func(s *systemState) { s.owners[k].step = stepResolveMove },
		func(s *systemState) bool { return setIfEmpty(&s.owners[k].lateMove, seen) })
}

// bumpPin gives the pin a new version.
func (m *systemState) bumpPin(seen int8) bool {
	if m.pinVersion != seen {
		return false
	}
	m.pinVersion++
	return true
}

func (m *systemState) bumpSteps(k int) []systemState {
	if m.pinVersion > maxPinWrites+1 {
		return nil
	}
	seen := m.owners[k].pin
	return m.write(
		func(s *systemState) bool { return s.bumpPin(seen) },
		func(s *systemState, done bool) {
			s.owners[k].step = stepResolveMove
			if done {
				s.owners[k].step = stepHoldJob
			}
		},
		func(s *systemState) { s.owners[k].step = stepResolveMove },
		func(s *systemState) bool { return setIfEmpty(&s.owners[k].latePin, seen) })
}

// lateWrites returns the states after a late write of an owner takes effect.
func (m *systemState) lateWrites(g removedGuards, k int) []systemState {
	var states []systemState
	late := func(slot func(*ownerState) *int8, do func(s *systemState, seen int8) bool) {
		seen := *slot(&m.owners[k])
		if seen == noWrite {
			return
		}
		s := *m
		*slot(&s.owners[k]) = noWrite
		if do(&s, seen) {
			states = append(states, s)
		}
	}
	late(func(o *ownerState) *int8 { return &o.lateFence }, func(s *systemState, seen int8) bool { return s.takeFence(k, seen) })
	late(func(o *ownerState) *int8 { return &o.lateMark }, func(s *systemState, seen int8) bool { return s.setProgress(g, k, progressMark, seen) })
	late(func(o *ownerState) *int8 { return &o.lateMove }, func(s *systemState, seen int8) bool { return s.movePin(g, seen) })
	late(func(o *ownerState) *int8 { return &o.latePin }, func(s *systemState, seen int8) bool { return s.bumpPin(seen) })
	return states
}

// cancelSteps returns the states after one step of the caller's cancel.
func (m *systemState) cancelSteps() []systemState {
	var states []systemState
	switch m.cancelStep {
	case cancelReadsPin:
		s := *m
		s.cancelPin, s.cancelShard, s.cancelStep = m.pinVersion, m.pinShard, cancelWrites
		states = append(states, s)
	case cancelWrites:
		states = m.write(
			func(s *systemState) bool { return s.setCancel(m.cancelPin, m.cancelShard) },
			func(s *systemState, done bool) {
				s.cancelStep = cancelReadsPin
				if done {
					s.cancelStep = cancelAnswered
				}
			},
			func(s *systemState) { s.cancelStep = cancelReadsPin },
			func(s *systemState) bool {
				s.lateCancelShard = m.cancelShard
				return setIfEmpty(&s.lateCancel, m.cancelPin)
			})
	}
	if m.lateCancel != noWrite {
		s := *m
		s.lateCancel = noWrite
		if s.setCancel(m.lateCancel, m.lateCancelShard) {
			states = append(states, s)
		}
	}
	return states
}

// setCancel writes the cancel on condition of the pin.
func (m *systemState) setCancel(pin, shard int8) bool {
	if m.pinVersion != pin {
		return false
	}
	m.cancel[shard] = true
	return true
}

// TestModelInvariants checks the order of writes in all interleavings, once with starts of the
// job and once with the caller's cancel. MODEL=full adds both at once, which takes 11 million
// states.
func TestModelInvariants(t *testing.T) {
	type scenario struct {
		name string
		g    removedGuards
		// minStates is the least number of states: fewer mean that the exploration ended early.
		minStates int
	}
	scenarios := []scenario{{"starts", removedGuards{noCaller: true}, 500_000}, {"cancel", removedGuards{noStarts: true}, 9_000}}
	if os.Getenv("MODEL") == "full" {
		scenarios = append(scenarios, scenario{"full", removedGuards{}, 5_000_000})
	}
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			states, violations := explore(c.g, noViolation)
			t.Logf("%d states", states)
			for p := range violations {
				t.Errorf("invariant violated: %s", violationNames[p])
			}
			if states < c.minStates {
				t.Errorf("only %d states were reached", states)
			}
		})
	}
}

// TestModelDetectsRemovedGuards checks that the model finds the violation that each safeguard
// prevents.
func TestModelDetectsRemovedGuards(t *testing.T) {
	for _, c := range []struct {
		name string
		g    removedGuards
		want int8
	}{
		{"jobs read before the fence is taken", removedGuards{jobsBeforeFence: true, noCaller: true}, ranTwice},
		{"pin read after the mark", removedGuards{pinAfterMark: true, noCaller: true}, ranTwice},
		{"pin without a new version", removedGuards{noBump: true, noCaller: true}, ranTwice},
		{"no mark", removedGuards{noMark: true, noCaller: true}, ranTwice},
		{"move in spite of a cancel", removedGuards{noCancelCondition: true, noStarts: true}, cancelLost},
		{"progress without the fence", removedGuards{noFenceCondition: true, noCaller: true}, oldOwnerPersisted},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, violations := explore(c.g, c.want); !violations[c.want] {
				t.Errorf("violation not found: %s", violationNames[c.want])
			}
		})
	}
}
