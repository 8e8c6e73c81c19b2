// SPDX-License-Identifier: Apache-2.0

package site

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// gangTimeout is how long a member of a gang waits for the others to start.
const gangTimeout = 3 * time.Second

// gangSpec makes the tasks of one of a job's steps a gang, whose members work only while all
// of them run. It is given in the job's Spec as "gang=STEP:MEMBERS".
type gangSpec struct {
	step    string
	members int
}

func parseGang(s string) gangSpec {
	step, members, _ := strings.Cut(s, ":")
	n, err := strconv.Atoi(members)
	if err != nil {
		return gangSpec{}
	}
	return gangSpec{step, n}
}

// includes reports whether a task, whose ID has the form JOB.REPEAT.STEP.INDEX, is a member.
func (g gangSpec) includes(task string) bool {
	parts := strings.Split(task, ".")
	return g.members > 0 && len(parts) == 4 && parts[2] == g.step
}

// gangRun is one run of a gang, whose members may run on different workers.
type gangRun struct {
	present []string
	// completeAt is when the last member started; zero: not all have started.
	completeAt time.Time
	// succeeded is set once a member has succeeded, and broken once a member has ended in
	// another way before any has succeeded.
	succeeded, broken bool
}

// gangKey identifies a run of a gang.
type gangKey struct {
	step string
	run  int64
}

func gangKeyOf(t *taskRun) gangKey {
	return gangKey{stepOf(t.task), t.run}
}

// joinGang records that a member of a gang has started.
func (s *Site) joinGang(t *taskRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gangs[gangKeyOf(t)]
	if g == nil {
		g = &gangRun{}
		s.gangs[gangKeyOf(t)] = g
	}
	if !slices.Contains(g.present, t.task) {
		g.present = append(g.present, t.task)
	}
	if len(g.present) == t.spec.gang.members && g.completeAt.IsZero() && !g.broken {
		g.completeAt = time.Now()
	}
}

// leaveGang records that a member of a gang has ended.
func (s *Site) leaveGang(t *taskRun, succeeded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gangs[gangKeyOf(t)]
	g.succeeded = g.succeeded || succeeded
	g.broken = g.broken || !g.succeeded
}

// gang returns the state of a member's gang.
func (s *Site) gang(t *taskRun) gangRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *s.gangs[gangKeyOf(t)]
}

// gangOutcome returns the outcome with which a member of a gang must end because of the other
// members, or "" if it may go on.
func (w *Worker) gangOutcome(t *taskRun) string {
	g := w.site.gang(t)
	switch {
	case g.succeeded:
		return "done"
	case !g.completeAt.IsZero() && g.broken:
		return "broken"
	case g.completeAt.IsZero() && time.Since(t.startedAt) > gangTimeout:
		return "alone"
	}
	return ""
}

// workedFor returns for how long a run has worked. A member of a gang works only once all
// members have started.
func (w *Worker) workedFor(t *taskRun) time.Duration {
	if !t.inGang {
		return time.Since(t.startedAt)
	}
	if g := w.site.gang(t); !g.completeAt.IsZero() {
		return time.Since(g.completeAt)
	}
	return 0
}
