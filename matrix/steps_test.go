// SPDX-License-Identifier: Apache-2.0

package matrix_test

import (
	"context"
	"slices"
	"sync"
	"time"
)

// The steps of a request, a key, a task, a change of ownership and the roll-out of a bundle,
// at which faults are injected. Steps whose name ends in "kept" are writes to the journal;
// stepKeyBeginCall is the call to the owner of a key's shard, and stepEvents the report that
// a task has ended.
const (
	stepNone         = ""
	stepForward      = "request: hand over"
	stepDispatch     = "request: dispatch"
	stepKeyBeginCall = "key: ask home"
	stepKeyBegin     = "key: intent kept"
	stepKeyFinish    = "key: outcome kept"
	stepAdmit        = "task: admit"
	stepReserve      = "task: reserve"
	stepPlace        = "task: place kept"
	stepConfirm      = "task: confirm"
	stepStart        = "task: start"
	stepStarted      = "task: started kept"
	stepRenew        = "task: renew"
	stepEvents       = "task: tell end"
	stepEnded        = "task: end kept"
	stepAck          = "task: acknowledge"
	stepCancel       = "task: cancel kept"
	stepStop         = "task: stop"
	stepLease        = "owner: renew lease"
	stepTake         = "owner: take shard"
	stepOpen         = "owner: read journal"
	stepInventory    = "owner: ask worker"
	stepSnapshot     = "owner: snapshot"
	stepHandOver     = "owner: hand over"
	stepPropose      = "bundle: propose"
	stepStage        = "bundle: stage"
	stepAccept       = "bundle: accept"
	stepApply        = "bundle: apply"
)

var allSteps = []string{
	stepForward, stepDispatch, stepKeyBeginCall, stepKeyBegin, stepKeyFinish,
	stepAdmit, stepReserve, stepPlace, stepConfirm, stepStart, stepStarted, stepRenew, stepEvents, stepEnded, stepAck, stepCancel, stepStop,
	stepLease, stepTake, stepOpen, stepInventory, stepSnapshot, stepHandOver,
	stepPropose, stepStage, stepAccept, stepApply,
}

// phase says whether a fault is injected before a step takes effect, or after it and before
// the reply.
type phase int

const (
	before phase = iota
	after
)

// messageFault says what happens to the message whose step triggered a fault.
type messageFault struct {
	// delay holds the message back, and copyDelay sends a copy of it that much later;
	// sendTwice sends a copy at once.
	delay, copyDelay time.Duration
	sendTwice        bool
	loseReply        bool
}

// trigger injects a fault when a step is reached.
type trigger struct {
	step  string
	phase phase
	// skip is the number of occurrences of the step to skip.
	skip int
	// node restricts the trigger to steps of this node, if set.
	node string
	// job restricts the trigger to messages that start tasks of this job, if set.
	job string
	// fire is called once, with the node that reached the step and the worker or peer that
	// its message goes to.
	fire func(node, to string) messageFault
}

// stepTracker counts the steps reached and fires the armed triggers.
type stepTracker struct {
	mu     sync.Mutex
	armed  []*trigger
	counts map[string]int
	fired  []string
}

func newStepTracker() *stepTracker { return &stepTracker{counts: make(map[string]int)} }

func (s *stepTracker) arm(t trigger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed = append(s.armed, &t)
}

func (s *stepTracker) disarm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed = nil
}

// onStep is called whenever a node reaches a step. It fires the first armed trigger that
// matches, and returns what to do with the step's message. The jobs are those whose tasks
// the message starts.
func (s *stepTracker) onStep(step string, ph phase, node, to string, jobs ...string) messageFault {
	if step == stepNone {
		return messageFault{}
	}
	s.mu.Lock()
	s.counts[step]++
	var due *trigger
	for i, t := range s.armed {
		if t.step != step || t.phase != ph || (t.node != "" && t.node != node) || (t.job != "" && !slices.Contains(jobs, t.job)) {
			continue
		}
		if t.skip > 0 {
			t.skip--
			continue
		}
		due = t
		s.armed = append(s.armed[:i:i], s.armed[i+1:]...)
		s.fired = append(s.fired, step)
		break
	}
	s.mu.Unlock()
	if due == nil {
		return messageFault{}
	}
	return due.fire(node, to)
}

// pending returns how many triggers have not fired.
func (s *stepTracker) pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.armed)
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
