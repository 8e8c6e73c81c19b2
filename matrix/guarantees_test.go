// SPDX-License-Identifier: Apache-2.0

package matrix_test

import (
	"fmt"
	"slices"
	"time"

	"switchbank.example/switchbank/internal/api"
	standinworker "switchbank.example/switchbank/standin/worker"
)

// The guarantees that the matrix checks, by the names in its grid. The first eight are
// safety properties; guaranteeProgress is that all work continues after a fault.
const (
	// guaranteeCapacity: no worker gets more tasks than it has capacity for, and no instance
	// more requests than it has slots.
	guaranteeCapacity = "1 room"
	// guaranteeOnePlace: no task runs in two places, and no shard has two owners.
	guaranteeOnePlace = "2 one place"
	// guaranteeOwnAnswer: a caller gets the answer to its own request.
	guaranteeOwnAnswer = "3 own answer"
	// guaranteeNotRun: a request reported as not run never ran, and no task starts after its
	// job was cancelled.
	guaranteeNotRun = "4 not run"
	// guaranteeOnce: no request, and no task that must run at most once, runs twice.
	guaranteeOnce = "5 once"
	// guaranteeLeaving: a leaving worker gets no tasks or requests after leavingDeadline.
	guaranteeLeaving = "6 leaving"
	// guaranteePlannedStop: a planned stop of a node cuts no request off.
	guaranteePlannedStop = "7 planned stop"
	// guaranteeBundle: no ready node applies an old bundle after bundleDeadline, and no node
	// goes back to an older one.
	guaranteeBundle   = "8 bundle"
	guaranteeProgress = "goes on"
)

var guarantees = []string{
	guaranteeCapacity, guaranteeOnePlace, guaranteeOwnAnswer, guaranteeNotRun, guaranteeOnce, guaranteeLeaving, guaranteePlannedStop, guaranteeBundle, guaranteeProgress,
}

const (
	leavingDeadline = 5 * time.Second
	bundleDeadline  = 7 * time.Second
)

// violation is a broken guarantee, with a detail that says how it was broken.
type violation struct{ guarantee, detail string }

// findViolations checks the guarantees against what was observed from outside the nodes.
// With cutsAnswers, an unknown outcome of a request in flight is no violation.
func (s *scenario) findViolations(cutsAnswers bool) []violation {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []violation
	add := func(guarantee, format string, args ...any) {
		found = append(found, violation{guarantee, fmt.Sprintf(format, args...)})
	}
	events := s.c.events()
	slices.SortStableFunc(events, func(x, y standinworker.Event) int { return x.At.Compare(y.At) })
	s.checkTasks(events, add)
	checkOwners(events, add)
	s.checkKeys(events, add)
	s.checkCalls(events, cutsAnswers, add)
	s.checkBundles(add)
	for _, st := range s.stuck {
		add(guaranteeProgress, "%s", st)
	}
	return found
}

type taskKey struct {
	job  string
	task int
}

// checkTasks checks the starts and ends of tasks, and the refusals that show that a worker
// or an instance was given too much.
func (s *scenario) checkTasks(events []standinworker.Event, add func(string, string, ...any)) {
	running, started := make(map[taskKey]int), make(map[taskKey]int)
	for _, e := range events {
		key := taskKey{e.Attempt.Job, e.Attempt.Task}
		switch e.Kind {
		case standinworker.EventStart:
			running[key]++
			started[key]++
			if running[key] > 1 {
				add(guaranteeOnePlace, "%s runs in two places at %s", e.Attempt, e.At.Format("05.000"))
			}
			if started[key] > 1 && key.job == "once" {
				add(guaranteeOnce, "%s started again", e.Attempt)
			}
			if at, ok := s.cancelled[key.job]; ok && e.At.After(at) {
				add(guaranteeNotRun, "%s started %s after it was cancelled", e.Attempt, e.At.Sub(at))
			}
			s.checkLeaving(e, add)
		case standinworker.EventDone, standinworker.EventFailed, standinworker.EventStopped, standinworker.EventLeaseExpired:
			running[key]--
		case standinworker.EventOverload:
			add(guaranteeCapacity, "worker %s was given %s beyond its capacity", e.Worker, e.Attempt)
		case standinworker.EventRequest:
			s.checkLeaving(e, add)
		case standinworker.EventSlotsExceeded:
			add(guaranteeCapacity, "instance %s was given a request beyond its slots", e.Attempt)
		case standinworker.EventCheckpoint, standinworker.EventThrottle, standinworker.EventNewOwner:
		}
	}
}

// checkOwners checks the contacts of owners against a model of ownership: each epoch of a
// shard has one owner, and a worker never accepts an epoch lower than an earlier one.
func checkOwners(events []standinworker.Event, add func(string, string, ...any)) {
	type shardEpoch struct {
		shard string
		epoch int64
	}
	owners, highest := make(map[shardEpoch]string), make(map[string]int64)
	for _, e := range events {
		if e.Kind != standinworker.EventNewOwner {
			continue
		}
		k := shardEpoch{e.Shard, e.Epoch}
		if previous, ok := owners[k]; ok && previous != e.Owner {
			add(guaranteeOnePlace, "shard %s has two owners under epoch %d: %s and %s", e.Shard, e.Epoch, previous, e.Owner)
		}
		owners[k] = e.Owner
		if e.Epoch < highest[e.Worker] {
			add(guaranteeOnePlace, "worker %s took epoch %d after %d", e.Worker, e.Epoch, highest[e.Worker])
		}
		highest[e.Worker] = max(highest[e.Worker], e.Epoch)
	}
}

// checkKeys checks the requests with a key against a model of the key: the request runs at
// most once, and is reported as done only if it ran.
func (s *scenario) checkKeys(events []standinworker.Event, add func(string, string, ...any)) {
	runs := make(map[string]int)
	for _, e := range events {
		if e.Kind == standinworker.EventRequest {
			runs[e.Body]++
		}
	}
	for _, cl := range s.calls {
		if cl.key == "" {
			continue
		}
		if runs[cl.body] > 1 {
			add(guaranteeOnce, "%s ran %d times", cl.key, runs[cl.body])
		}
		if cl.outcome == string(api.OutcomeDone) && runs[cl.body] == 0 {
			add(guaranteeOwnAnswer, "%s was reported as done, but never ran", cl.key)
		}
	}
}

// checkLeaving checks that a worker that began to leave long enough ago gets no work.
func (s *scenario) checkLeaving(e standinworker.Event, add func(string, string, ...any)) {
	if at, ok := s.leaving[e.Worker]; ok && e.At.Sub(at) > leavingDeadline {
		add(guaranteeLeaving, "worker %s got a %s %s after it began to leave", e.Worker, e.Kind, e.At.Sub(at))
	}
}

// checkCalls checks what callers were told about their requests against the requests that
// ran.
func (s *scenario) checkCalls(events []standinworker.Event, cutsAnswers bool, add func(string, string, ...any)) {
	runs := make(map[string]int)
	for _, e := range events {
		if e.Kind == standinworker.EventRequest {
			runs[e.Body]++
		}
	}
	notRun := make(map[string]bool)
	for _, cl := range s.calls {
		if _, ok := notRun[cl.body]; !ok {
			notRun[cl.body] = true
		}
		if cl.outcome != string(api.OutcomeNotRun) && cl.outcome != string(api.OutcomeRefused) {
			notRun[cl.body] = false
		}
		if cl.wrongAnswer {
			add(guaranteeOwnAnswer, "%q got the answer to another request", cl.body)
		}
		s.checkPlannedStop(cl, cutsAnswers, add)
	}
	for body, allNotRun := range notRun {
		if allNotRun && runs[body] > 0 {
			add(guaranteeNotRun, "%q was reported as not run, but ran", body)
		}
	}
	for body, n := range runs {
		if n > 1 && body != "last" {
			add(guaranteeOnce, "%q ran %d times", body, n)
		}
	}
}

// checkPlannedStop checks a request that was in flight when its node began a planned stop.
func (s *scenario) checkPlannedStop(cl call, cutsAnswers bool, add func(string, string, ...any)) {
	at := cl.node.drained
	if at.IsZero() || cutsAnswers || cl.sentAt.After(at) || cl.answeredAt.Before(at) {
		return
	}
	if cl.outcome == "cut" {
		add(guaranteePlannedStop, "%q was cut off when %s stopped", cl.body, cl.node.name)
	}
}

// checkBundles checks the bundle versions that the nodes applied.
func (s *scenario) checkBundles(add func(string, string, ...any)) {
	highest := make(map[*clusterNode]int64)
	for _, v := range s.versions {
		if v.version < highest[v.node] {
			add(guaranteeBundle, "%s went back from version %d to %d", v.node.name, highest[v.node], v.version)
		}
		highest[v.node] = max(highest[v.node], v.version)
		for version, at := range s.accepted {
			if v.ready && v.version < version && v.at.Sub(at) > bundleDeadline {
				add(guaranteeBundle, "%s serves version %d %s after %d was accepted", v.node.name, v.version, v.at.Sub(at), version)
			}
		}
	}
}
