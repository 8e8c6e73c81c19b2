// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
)

// maxListedEnds is how many ends a worker lists in one report. After a full list there
// may be more, so that a run which is missing from it may have ended. The next ones are listed
// once these are confirmed.
const maxListedEnds = 500

// Observe processes a worker's report, the answer to the hold with that number. Reports of
// earlier holds than the last one processed are ignored.
func (s *Shard) Observe(now time.Time, id string, seq int64, report cluster.Report) {
	w := s.workers[id]
	if w == nil || seq <= w.lastReportedHold || !s.resolveIncarnation(now, w, report.Started) {
		return
	}
	w.lastReportedHold = seq
	w.clockMS, w.clockAt, w.contactLostAt = report.ClockMS, now, time.Time{}
	if w.silent {
		w.silent = false
		s.log.Info("worker answers again", events.WorkerResponsive, zap.String("worker", id), zap.Duration("silent", now.Sub(w.silentSince)))
	}
	first := !w.answered
	w.answered, w.answeredSinceLoad = true, true
	if first && w.generation > 1 && w.started != 0 {
		w.inDoubtLeaseEnd = now.Add(s.params.MaxLease + leaseMargin)
	}
	reported := runsOf(report)
	if !w.endsKnown {
		s.resolveInDoubt(now, w, reported)
		w.endsKnown = reported.complete
	}
	s.observeRuns(now, w, report)
	if reported.complete {
		s.dropUnlisted(now, w, seq, reported.runs)
	}
	s.recomputeUsed(w)
	if first {
		s.log.Info("worker taken over", events.WorkerTakenOver, zap.String("worker", id), zap.Int64("epoch", s.params.Epoch), zap.Int("runs", len(w.runs)))
	}
}

// reportedRuns are the runs that a report names.
type reportedRuns struct {
	runs map[runKey]bool
	// complete is set if the report names all runs that run or whose ends are unconfirmed.
	complete bool
}

// runsOf returns the runs that a report names.
func runsOf(report cluster.Report) reportedRuns {
	r := reportedRuns{make(map[runKey]bool, len(report.Running)+len(report.Ended)), len(report.Ended) < maxListedEnds}
	for _, e := range report.Ended {
		r.runs[runKey{e.Task, e.Run}] = true
	}
	for _, e := range report.Running {
		r.runs[runKey{e.Task, e.Run}] = true
	}
	return r
}

// observeRuns processes the ends that are new in a report, and then all that runs.
func (s *Shard) observeRuns(now time.Time, w *worker, report cluster.Report) {
	for _, e := range report.Ended {
		if e.N > w.lastEnd {
			w.lastEnd = e.N
			s.receiveEnd(now, w, e)
		}
	}
	clear(w.unknownRuns)
	for _, e := range report.Running {
		s.observeRun(now, w, e)
	}
}

// resolveIncarnation reports whether a worker's answer is from the known incarnation, by
// the start time that it tells. An answer from another incarnation ends the known one and
// is not processed any further: what the new one runs is known once it has accepted an
// order of its own generation.
func (s *Shard) resolveIncarnation(now time.Time, w *worker, started int64) bool {
	if w.relationTo(started, true) == newerIncarnation {
		s.replaceIncarnation(now, w, started)
		return false
	}
	if w.started != started {
		// Only a directory entry, or the last owner's data, was known of it.
		w.started, w.entryMissing = started, w.info.Started != started
	}
	return true
}

// observeRun processes one run that a worker reports as running.
func (s *Shard) observeRun(now time.Time, w *worker, e cluster.RunStatus) {
	r := s.runs[runKey{e.Task, e.Run}]
	if r == nil {
		r = s.adoptRun(now, w, e)
	}
	if r == nil || r.worker != w {
		return
	}
	if r.state == runStarting || (r.state == runUnanswered && r.isolated && !r.stopping) {
		r.state = runRunning
	}
	// Reports may arrive out of order: one for a hold that was sent before this report
	// was processed may be older than the run, which would then be taken for lost and run
	// twice.
	r.knownSinceHold, r.accepted = w.holdsSent, true
	t := r.task
	t.step.job.ran = true
	t.uncertain = false
	if r.firstAt.IsZero() {
		r.firstAt, r.firstPercent = now, e.Percent
	}
	if e.Percent != r.percent {
		r.percent, r.percentChangedAt = e.Percent, now
	}
	r.latencyMS = e.Usage
	noteSurvivor(now, r)
	s.creditLongRunning(now, w, r)
	s.clearSuspect(r)
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	if r.state == runUnanswered || r.stopping {
		s.stop(now, r, r.stopCause)
	}
}

// adoptRun adds a run that an earlier owner started, or that was thought lost, and stops
// it if it must not run.
func (s *Shard) adoptRun(now time.Time, w *worker, e cluster.RunStatus) *run {
	t := s.task(e.Task)
	if t == nil {
		w.unknownRuns[runKey{e.Task, e.Run}] = true
		if s.mayBeUnread(e.Task.Job) {
			return nil
		}
		s.log.Warn("run of an unknown task", events.RunUnknown, zap.Stringer("task", e.Task), zap.Int64("run", e.Run), zap.String("worker", w.info.ID))
		s.emit(Stop{Order: s.orderFor(w), Task: e.Task, Run: e.Run})
		return nil
	}
	others := len(t.runs) > 0 && !t.step.spec.Speculative
	r := s.addRun(now, t, e.Run, w, runRunning)
	if t.step.spec.BestEffortCPU {
		r.pace = paceUnknown
	}
	if t.mustIsolate() {
		s.isolate(r)
	}
	s.log.Info("run adopted", events.RunAdopted, zap.Stringer("task", e.Task), zap.Int64("run", e.Run), zap.String("worker", w.info.ID), zap.Int("percent", e.Percent))
	switch {
	case t.done || t.step.job.state.Finished():
		s.stop(now, r, "job or task has ended")
	case others:
		s.stop(now, r, "another run is known")
	}
	return r
}

// dropUnlisted drops the runs that the report should list but does not.
func (s *Shard) dropUnlisted(now time.Time, w *worker, seq int64, listed map[runKey]bool) {
	for _, r := range sortedRuns(w.runs) {
		if listed[r.key()] || seq <= r.knownSinceHold || r.state == runStarting {
			continue
		}
		if r.state == runUnanswered && !r.stopped {
			s.stop(now, r, "start not answered")
			continue
		}
		s.log.Info("run not on its worker", events.RunLost, zap.Stringer("task", r.task.id), zap.Int64("run", r.number),
			zap.String("worker", w.info.ID), zap.String("cause", "not listed"), zap.Bool("stopped", r.stopped))
		s.dropRun(r)
		s.noteNotRun(r)
		s.stopOtherMembers(now, r, "a member is gone")
	}
}
