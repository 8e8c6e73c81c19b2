// SPDX-License-Identifier: Apache-2.0

package site

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxStall is the platform's bound for the time in which nothing of a job runs although the
	// turn of a task has come and there is room for it twice over.
	maxStall = 3 * time.Second
	// stallRoom is how many times the room that a step needs must be free.
	stallRoom = 2
	// stallSampling is the time between two looks at all jobs.
	stallSampling = 100 * time.Millisecond
	// workerSettleTime is how long after its start, or the end of a fault, a worker counts as room.
	workerSettleTime = 2 * time.Second
)

// CalmBeforeStall is the platform's bound for how long before a stall nothing may have disturbed the
// system.
const CalmBeforeStall = 4 * time.Second

// StallJob describes an accepted job of which something should run.
type StallJob struct {
	ID string
	// Accepted is when a node acknowledged the job, and Cancelled when its cancel was sent; zero:
	// it wasn't.
	Accepted, Cancelled time.Time
	// MaxAttempts is how many runs of a task may fail before the job ends as failed.
	MaxAttempts int
	Steps       []StallStep
}

// StallStep describes a step of a job.
type StallStep struct {
	Tasks              int
	CPUMilli, MemoryMB int64
	// DependsOn are the steps that come before.
	DependsOn []int
	Gang      bool
	// NeedsTicket is set if the advice service decides where the tasks may run.
	NeedsTicket bool
	Label       string
	// MaxPerWorker is the maximum number of tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int
}

// jobSubmission is the body of a request that submits a job, as far as a stall depends on it.
type jobSubmission struct {
	Steps []struct {
		Count       int    `json:"Count"`
		CPU         int64  `json:"Cpu"`
		MemoryMB    int64  `json:"MemMb"`
		DependsOn   []int  `json:"DependsOn"`
		Gang        bool   `json:"Gang"`
		Constraints string `json:"Constraints"`
		PerWorker   int    `json:"AntiAffinity"`
	} `json:"Steps"`
}

// ParseStallJob returns the description of a job that was accepted just now, from the body with which
// it was submitted. needsTicket is set if its queue has an advice service.
func ParseStallJob(id, body string, needsTicket bool, maxAttempts int) (StallJob, error) {
	var sub jobSubmission
	if err := json.Unmarshal([]byte(body), &sub); err != nil {
		return StallJob{}, fmt.Errorf("site: job %s: %w", id, err)
	}
	j := StallJob{ID: id, Accepted: time.Now(), MaxAttempts: maxAttempts}
	for _, st := range sub.Steps {
		j.Steps = append(j.Steps, StallStep{
			Tasks: st.Count, CPUMilli: st.CPU, MemoryMB: st.MemoryMB, DependsOn: st.DependsOn, Gang: st.Gang, NeedsTicket: needsTicket,
			Label: st.Constraints, MaxPerWorker: st.PerWorker,
		})
	}
	return j, nil
}

// StallCheck is a check for jobs that wait beside room.
type StallCheck struct {
	Jobs        []StallJob
	From, Until time.Time
	// Disturbed reports whether anything disturbed the system between two times, so that a job
	// may wait; nil: nothing did.
	Disturbed func(from, until time.Time) bool
	// Unreachable are workers that don't count as room.
	Unreachable map[string]bool
	// Teams are the teams with limits. A job of one may wait for as long as its step doesn't fit
	// twice into the limit beside all runs of the team. Jobs of no team have no limit.
	Teams []TeamExpectation
}

// Stalls describes each job of which nothing ran for longer than the bound, although there was room
// all the while. It reads the events on the workers, what they hold and what the advice service
// decides.
func (s *Site) Stalls(c StallCheck) []string {
	w := newStallWatch(s, c)
	events := s.Events()
	for at := c.From; !at.After(c.Until); at = at.Add(stallSampling) {
		n := 0
		for n < len(events) && !events[n].At.After(at) {
			w.apply(events[n])
			n++
		}
		events = events[n:]
		w.look(at)
	}
	return w.stalls
}

// stallWatch holds the state that follows from the events so far.
type stallWatch struct {
	site    *Site
	check   StallCheck
	workers []*Worker
	steps   map[string]StallStep // by job and number, as in "job.0.1"
	// running holds what the runs on each worker take, by task, also those of jobs that aren't checked.
	running map[string]map[string]int64
	busy    map[string]int // runs of each job
	// teams are the teams of jobs, and teamUse what the runs of each team take.
	teams    map[string]*TeamExpectation
	teamUse  map[*TeamExpectation]int64
	done     map[string]map[string]bool
	failures map[string]int // of each task
	failed   map[string]bool
	// waitsSince is since when each job has waited beside room.
	waitsSince map[string]time.Time
	reported   map[string]bool
	stalls     []string
}

func newStallWatch(s *Site, c StallCheck) *stallWatch {
	w := &stallWatch{
		site: s, check: c, workers: s.incarnationsSoFar(), steps: make(map[string]StallStep), running: make(map[string]map[string]int64), busy: make(map[string]int),
		done: make(map[string]map[string]bool), failures: make(map[string]int), failed: make(map[string]bool), waitsSince: make(map[string]time.Time), reported: make(map[string]bool),
		teams: make(map[string]*TeamExpectation), teamUse: make(map[*TeamExpectation]int64),
	}
	for i := range c.Teams {
		for job := range c.Teams[i].Jobs {
			w.teams[job] = &c.Teams[i]
		}
	}
	for _, j := range c.Jobs {
		for i, st := range j.Steps {
			w.steps[stepName(j.ID, i)] = st
		}
	}
	return w
}

// stepName returns the name of a step of a job that runs once.
func stepName(job string, step int) string { return job + ".0." + strconv.Itoa(step) }

// stepOf returns the name of a task's step.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// apply applies an event on a worker.
func (w *stallWatch) apply(e Event) {
	job, _, _ := strings.Cut(e.Task, ".")
	switch e.Kind {
	case EventStart:
		if w.running[e.Worker] == nil {
			w.running[e.Worker] = make(map[string]int64)
		}
		w.teamUse[w.teams[job]] += e.CPUMilli - w.running[e.Worker][e.Task]
		w.running[e.Worker][e.Task] = e.CPUMilli
		w.busy[job]++
	case EventEnd, EventGangTimeout, EventSuccess:
		if taken, ok := w.running[e.Worker][e.Task]; ok {
			delete(w.running[e.Worker], e.Task)
			w.teamUse[w.teams[job]] -= taken
			w.busy[job]--
		}
		if e.Kind == EventSuccess {
			w.setDone(e.Task)
		}
		if e.Failed {
			w.failures[e.Task]++
			w.failed[job] = w.failed[job] || w.failures[e.Task] >= w.maxAttempts(job)
		}
	}
}

func (w *stallWatch) setDone(task string) {
	step := stepOf(task)
	if w.done[step] == nil {
		w.done[step] = make(map[string]bool)
	}
	w.done[step][task] = true
}

func (w *stallWatch) maxAttempts(job string) int {
	i := slices.IndexFunc(w.check.Jobs, func(j StallJob) bool { return j.ID == job })
	if i < 0 {
		return 0
	}
	return w.check.Jobs[i].MaxAttempts
}

// look judges all jobs at a time.
func (w *stallWatch) look(at time.Time) {
	for _, j := range w.check.Jobs {
		if w.reported[j.ID] {
			continue
		}
		step, waits := w.waitingStep(j, at)
		if !waits || !w.hasRoom(j.ID, step, at) {
			delete(w.waitsSince, j.ID)
			continue
		}
		since, known := w.waitsSince[j.ID]
		if !known {
			since = at
			w.waitsSince[j.ID] = at
		}
		if at.Sub(since) < maxStall {
			continue
		}
		if d := w.check.Disturbed; d != nil && d(at.Add(-maxStall-CalmBeforeStall), at) {
			continue
		}
		w.reported[j.ID] = true
		w.stalls = append(w.stalls, fmt.Sprintf("nothing of job %s has run from %s to %s, though step %s has room for %d of its tasks%s", j.ID, since.Format("05.000"), at.Format("05.000"), step, w.places(step, at), w.describeLimit(j.ID, step, at)))
	}
}

// waitingStep returns a step of a job whose turn has come, if nothing of the job runs.
func (w *stallWatch) waitingStep(j StallJob, at time.Time) (step string, ok bool) {
	if j.Accepted.IsZero() || at.Before(j.Accepted) || w.busy[j.ID] > 0 || w.failed[j.ID] || (!j.Cancelled.IsZero() && !at.Before(j.Cancelled)) {
		return "", false
	}
	for i, st := range j.Steps {
		if w.isDone(j, i) {
			continue
		}
		if !slices.ContainsFunc(st.DependsOn, func(k int) bool { return !w.isDone(j, k) }) {
			return stepName(j.ID, i), true
		}
	}
	return "", false
}

// isDone reports whether all tasks of a step have succeeded: those of a gang end with the first one.
func (w *stallWatch) isDone(j StallJob, step int) bool {
	done := len(w.done[stepName(j.ID, step)])
	return done >= j.Steps[step].Tasks || (j.Steps[step].Gang && done > 0)
}

// wantedPlaces returns for how many tasks a step needs room at once.
func wantedPlaces(st StallStep) int {
	if st.Gang {
		return st.Tasks
	}
	return 1
}

// hasRoom reports whether a waiting step has room twice over, on workers and within its team's limit.
func (w *stallWatch) hasRoom(job, step string, at time.Time) bool {
	wanted := stallRoom * wantedPlaces(w.steps[step])
	within, limited := w.placesWithinLimit(job, step, at)
	return (!limited || within >= wanted) && w.places(step, at) >= wanted
}

// placesWithinLimit returns for how many more tasks of a step there is room within the limit of the
// job's team. limited is false if there is no limit.
func (w *stallWatch) placesWithinLimit(job, step string, at time.Time) (n int, limited bool) {
	team := w.teams[job]
	if team == nil {
		return 0, false
	}
	return int(max(0, team.lowestLimitAt(at)-w.teamUse[team]) / max(1, w.steps[step].CPUMilli)), true
}

// describeLimit describes the room within the limit of the job's team, if it has one.
func (w *stallWatch) describeLimit(job, step string, at time.Time) string {
	n, limited := w.placesWithinLimit(job, step, at)
	if !limited {
		return ""
	}
	team := w.teams[job]
	return fmt.Sprintf(" on workers, and for %d within the limit of team %s (%d, of which %d are taken)", n, team.Name, team.lowestLimitAt(at), w.teamUse[team])
}

// places returns for how many more tasks of a step there is room.
func (w *stallWatch) places(step string, at time.Time) (n int) {
	st := w.steps[step]
	for _, k := range w.workers {
		if !w.check.Unreachable[k.ID] && k.isSoundAt(at) && strings.Contains(k.cfg.Label, st.Label) && (!st.NeedsTicket || w.site.AdviceAllows(step, k.ID)) {
			n += w.placesOn(k, step, st)
		}
	}
	return n
}

// placesOn returns for how many more tasks of a step a worker has room.
func (w *stallWatch) placesOn(k *Worker, step string, st StallStep) int {
	cpu, memory, same := k.cfg.CPUMilli, k.cfg.MemoryMB, 0
	for task, taken := range w.running[k.ID] {
		cpu, memory = cpu-taken, memory-w.steps[stepOf(task)].MemoryMB
		if stepOf(task) == step {
			same++
		}
	}
	n := max(0, min(cpu/max(1, st.CPUMilli), memory/max(1, st.MemoryMB)))
	if st.MaxPerWorker > 0 {
		n = min(n, int64(max(0, st.MaxPerWorker-same)))
	}
	return int(n)
}
