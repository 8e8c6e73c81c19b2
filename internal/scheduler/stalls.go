// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
)

// This file finds jobs of which nothing runs although the turn of a task has come, and reports those
// that wait beside room with what keeps them from starting.

const (
	// stallCheckInterval is how often jobs are checked for a stall.
	stallCheckInterval = 250 * time.Millisecond
	// firstStallLog is after which stall a job is reported, and then again each time it has doubled.
	firstStallLog = 2 * time.Second
	// maxStallLogs bounds the reports of one check: each looks at all workers.
	maxStallLogs = 4
)

// stallCause is the first reason for which no task of a waiting step starts.
type stallCause string

const (
	stallMoving      stallCause = "moving"       // the job may be on its way to another shard
	stallFailing     stallCause = "failing"      // the job is being failed in all of its shards
	stallUnconfirmed stallCause = "unconfirmed"  // the ownership is not confirmed for long enough
	stallUncertain   stallCause = "uncertain"    // its tasks may run on a worker that has not answered
	stallDelayed     stallCause = "delayed"      // its tasks wait after a failure or a lost run
	stallUnknownTeam stallCause = "unknown_team" // its team was in no configuration yet
	stallHeld        stallCause = "held"         // a gang of its team waits for the team's limit
	stallLimit       stallCause = "limit"        // the shard's part of its team's limit is in use
	stallWorkers     stallCause = "workers"      // no worker takes it; the obstacles tell why
)

// stallCause returns what keeps the tasks of a waiting step from starting.
func (s *Shard) stallCause(now time.Time, st *step) stallCause {
	switch startable := s.startable(now, st); {
	case st.job.moving:
		return stallMoving
	case st.job.failing:
		return stallFailing
	case !s.mayStart(now):
		return stallUnconfirmed
	case slices.ContainsFunc(st.tasks, func(t *task) bool { return t.uncertain && !t.done }):
		return stallUncertain
	case len(startable) == 0:
		return stallDelayed
	}
	return s.limitCause(now, st)
}

// limitCause returns what its team's limit has to do with the stall of a step.
func (s *Shard) limitCause(now time.Time, st *step) stallCause {
	t, n := st.job.team, 1
	if st.spec.Gang {
		n = st.spec.Count
	}
	switch {
	case s.startsWithinLimit(now, st, n) >= n:
		return stallWorkers
	case !t.known:
		return stallUnknownTeam
	case s.headroom(t).Count(st.quotaUse(), int64(n)) >= int64(n):
		return stallHeld
	}
	return stallLimit
}

// waitingStep returns the first step of a job whose turn has come if nothing of the job runs; nil:
// something runs, or nothing should.
func (j *job) waitingStep(now time.Time) *step {
	if j.mayBeRunning() {
		return nil
	}
	for st := range j.steps() {
		if st.done < st.spec.Count && st.ready(now) {
			return st
		}
	}
	return nil
}

// standsSince returns since when nothing of a job has been running; zero: something runs.
func (j *job) standsSince(now time.Time) time.Time {
	switch {
	case j.mayBeRunning():
		return time.Time{}
	case j.stalledSince.IsZero():
		return now
	}
	return j.stalledSince
}

// StalledJobs returns how many jobs have had nothing running for firstStallLog although the turn of a
// task has come, whether there is room for it or not.
func (s *Shard) StalledJobs() int { return s.stalledJobs }

// checkStalls notes which jobs have stalled, and reports those that have stalled beside room.
func (s *Shard) checkStalls(now time.Time) {
	if now.Sub(s.stallsCheckedAt) < stallCheckInterval {
		return
	}
	s.stallsCheckedAt, s.stalledJobs = now, 0
	logs := 0
	for _, j := range s.active {
		st := j.waitingStep(now)
		if st == nil {
			j.stalledSince, j.nextStallLog = time.Time{}, 0
			continue
		}
		if j.stalledSince.IsZero() {
			j.stalledSince = now
		}
		stalled := now.Sub(j.stalledSince)
		if stalled < firstStallLog {
			continue
		}
		s.stalledJobs++
		if stalled >= j.nextStallLog && logs < maxStallLogs {
			logs++
			j.nextStallLog = 2 * stalled
			s.logStall(now, st, stalled)
		}
	}
}

// logStall reports a stall, unless the step waits only for room on workers.
func (s *Shard) logStall(now time.Time, st *step, stalled time.Duration) {
	obstacles := s.countObstacles(now, st)
	cause := s.stallCause(now, st)
	if cause == stallWorkers && obstacles[obstacleNone] == 0 && obstacles[obstacleFull] > 0 {
		return
	}
	fields := []zap.Field{
		events.JobStalls, zap.String("job", st.id.Job), zap.Int("step", st.id.Step), zap.Duration("stalled", stalled), zap.String("cause", string(cause)),
		zap.Int("tasks", st.spec.Count-st.done), zap.Bool("gang", st.spec.Gang), zap.Bool("begun", st.job.begun), zap.Bool("joint", st.job.isJoint()),
		zap.Int64("cpu_milli", st.spec.Need.CPUMilli), zap.Int64("memory_mb", st.spec.Need.MemoryMB), zap.Int("asked", st.advice.calls),
	}
	if st.advice.openCalls > 0 {
		fields = append(fields, zap.Duration("asking_for", now.Sub(st.advice.requestedAt)))
	}
	if t := st.job.team; t != nil {
		fields = append(fields, zap.String("team", t.name), zap.Any("limit", t.limit), zap.Any("limit_here", s.limitHere(t)), zap.Any("used_here", t.used), zap.Any("unseen_here", t.unseen))
		if cause == stallHeld {
			fields = append(fields, zap.String("held_for", t.heldFor.Job))
		}
	}
	s.log.Warn("nothing of a job runs", append(fields, obstacles.fields()...)...)
}
