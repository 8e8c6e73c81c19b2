// SPDX-License-Identifier: Apache-2.0

package matrix_test

import (
	"fmt"
	"slices"
	"time"

	"switchbank.example/switchbank/internal/api"
	standinworker "switchbank.example/switchbank/standin/worker"
)

// The promises of the brief, in its order, and that everything goes on after a fault.
const (
	promiseRoom    = "1 room"
	promisePlace   = "2 one place"
	promiseAnswer  = "3 own answer"
	promiseNotRun  = "4 not run"
	promiseOnce    = "5 once"
	promiseLeaving = "6 leaving"
	promiseStop    = "7 planned stop"
	promiseBundle  = "8 bundle"
	goesOn         = "goes on"
)

var promises = []string{
	promiseRoom, promisePlace, promiseAnswer, promiseNotRun, promiseOnce, promiseLeaving, promiseStop, promiseBundle, goesOn,
}

const (
	leavingWithin = 5 * time.Second
	bundleWithin  = 7 * time.Second
)

// breach is a promise that was broken, and how.
type breach struct{ promise, how string }

// judge holds what was seen from outside against the promises.
func (s *scenario) judge(cutsAnswers bool) []breach {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b []breach
	add := func(promise, format string, args ...any) {
		b = append(b, breach{promise, fmt.Sprintf(format, args...)})
	}
	sights := s.c.evidence()
	slices.SortStableFunc(sights, func(x, y standinworker.Event) int { return x.At.Compare(y.At) })
	s.judgeTasks(sights, add)
	judgeOwners(sights, add)
	s.judgeKeys(sights, add)
	s.judgeCalls(sights, cutsAnswers, add)
	s.judgeBundles(add)
	for _, st := range s.stuck {
		add(goesOn, "%s", st)
	}
	return b
}

type taskName struct {
	job  string
	task int
}

func (s *scenario) judgeTasks(sights []standinworker.Event, add func(string, string, ...any)) {
	running, started := make(map[taskName]int), make(map[taskName]int)
	for _, e := range sights {
		name := taskName{e.Attempt.Job, e.Attempt.Task}
		switch e.Kind {
		case standinworker.EventStart:
			running[name]++
			started[name]++
			if running[name] > 1 {
				add(promisePlace, "%s runs in two places at %s", e.Attempt, e.At.Format("05.000"))
			}
			if started[name] > 1 && name.job == "once" {
				add(promiseOnce, "%s started again", e.Attempt)
			}
			if at, ok := s.cancelled[name.job]; ok && e.At.After(at) {
				add(promiseNotRun, "%s started %s after it was cancelled", e.Attempt, e.At.Sub(at))
			}
			s.judgeLeaving(e, add)
		case standinworker.EventDone, standinworker.EventFailed, standinworker.EventStopped, standinworker.EventLapsed:
			running[name]--
		case standinworker.EventOverload:
			add(promiseRoom, "worker %s was given %s beyond its room", e.Worker, e.Attempt)
		case standinworker.EventRequest:
			s.judgeLeaving(e, add)
		case standinworker.EventSlotsExceeded:
			add(promiseRoom, "instance %s was given a request beyond its slots", e.Attempt)
		case standinworker.EventCheckpoint, standinworker.EventThrottle, standinworker.EventNewOwner:
		}
	}
}

// judgeOwners holds what the workers saw against a model of ownership: each epoch
// of a shard has one owner, and at one worker epochs only rise.
func judgeOwners(sights []standinworker.Event, add func(string, string, ...any)) {
	type shardEpoch struct {
		shard string
		epoch int64
	}
	owners, highest := make(map[shardEpoch]string), make(map[string]int64)
	for _, e := range sights {
		if e.Kind != standinworker.EventNewOwner {
			continue
		}
		k := shardEpoch{e.Shard, e.Epoch}
		if was, ok := owners[k]; ok && was != e.Owner {
			add(promisePlace, "shard %s has two owners under epoch %d: %s and %s", e.Shard, e.Epoch, was, e.Owner)
		}
		owners[k] = e.Owner
		if e.Epoch < highest[e.Worker] {
			add(promisePlace, "worker %s took epoch %d after %d", e.Worker, e.Epoch, highest[e.Worker])
		}
		highest[e.Worker] = max(highest[e.Worker], e.Epoch)
	}
}

// judgeKeys holds the arrivals of each key against a model of it: it runs at most
// once, and who was told that it is done was told so of a run.
func (s *scenario) judgeKeys(sights []standinworker.Event, add func(string, string, ...any)) {
	runs := make(map[string]int)
	for _, e := range sights {
		if e.Kind == standinworker.EventRequest {
			runs[e.Body]++
		}
	}
	for _, cl := range s.calls {
		if cl.key == "" {
			continue
		}
		if runs[cl.body] > 1 {
			add(promiseOnce, "%s ran %d times", cl.key, runs[cl.body])
		}
		if cl.outcome == string(api.OutcomeDone) && runs[cl.body] == 0 {
			add(promiseAnswer, "%s was said to be done, and never ran", cl.key)
		}
	}
}

func (s *scenario) judgeLeaving(e standinworker.Event, add func(string, string, ...any)) {
	if at, ok := s.leaving[e.Worker]; ok && e.At.Sub(at) > leavingWithin {
		add(promiseLeaving, "worker %s got a %s %s after it began to leave", e.Worker, e.Kind, e.At.Sub(at))
	}
}

func (s *scenario) judgeCalls(sights []standinworker.Event, cutsAnswers bool, add func(string, string, ...any)) {
	runs := make(map[string]int)
	for _, e := range sights {
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
		if cl.wrong {
			add(promiseAnswer, "%q got another's answer", cl.body)
		}
		s.judgeStop(cl, cutsAnswers, add)
	}
	for body, none := range notRun {
		if none && runs[body] > 0 {
			add(promiseNotRun, "%q was said not to have run, and ran", body)
		}
	}
	for body, n := range runs {
		if n > 1 && body != "last" {
			add(promiseOnce, "%q ran %d times", body, n)
		}
	}
}

// judgeStop looks at requests that were in flight while a node stopped as planned.
func (s *scenario) judgeStop(cl call, cutsAnswers bool, add func(string, string, ...any)) {
	at := cl.node.drained
	if at.IsZero() || cutsAnswers || cl.sent.After(at) || cl.at.Before(at) {
		return
	}
	if cl.outcome == "cut" {
		add(promiseStop, "%q was cut off when %s stopped", cl.body, cl.node.name)
	}
}

func (s *scenario) judgeBundles(add func(string, string, ...any)) {
	highest := make(map[*cellNode]int64)
	for _, v := range s.versions {
		if v.version < highest[v.node] {
			add(promiseBundle, "%s went back from version %d to %d", v.node.name, highest[v.node], v.version)
		}
		highest[v.node] = max(highest[v.node], v.version)
		for version, at := range s.accepted {
			if v.ready && v.version < version && v.at.Sub(at) > bundleWithin {
				add(promiseBundle, "%s serves version %d %s after %d was accepted", v.node.name, v.version, v.at.Sub(at), version)
			}
		}
	}
}
