// SPDX-License-Identifier: Apache-2.0

package site

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// aloneAfter is how long a member of a gang waits for the others.
const aloneAfter = 3 * time.Second

// gangSpec says that the members of one of a job's steps work only together. It is read
// from the job's Spec: "gang=STEP:MEMBERS".
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

// has reports whether a task, ID.K.STEP.INDEX, is a member.
func (g gangSpec) has(task string) bool {
	parts := strings.Split(task, ".")
	return g.members > 0 && len(parts) == 4 && parts[2] == g.step
}

// gangRun is one run of a gang, on any workers.
type gangRun struct {
	present []string
	// wholeAt is since when all members are there; zero: they never were.
	wholeAt time.Time
	// done is set once a member has succeeded, and broken once one has ended otherwise
	// before that.
	done, broken bool
}

// gangKey names a run of a gang.
type gangKey struct {
	step string
	run  int64
}

func keyOf(t *taskRun) gangKey { return gangKey{t.task[:strings.LastIndexByte(t.task, '.')], t.run} }

// joinGang notes that a member of a gang has begun.
func (s *Site) joinGang(t *taskRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gangs[keyOf(t)]
	if g == nil {
		g = &gangRun{}
		s.gangs[keyOf(t)] = g
	}
	if !slices.Contains(g.present, t.task) {
		g.present = append(g.present, t.task)
	}
	if len(g.present) == t.spec.gang.members && g.wholeAt.IsZero() && !g.broken {
		g.wholeAt = time.Now()
	}
}

// leaveGang notes that a member of a gang has ended, with success or not.
func (s *Site) leaveGang(t *taskRun, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gangs[keyOf(t)]
	g.done = g.done || done
	g.broken = g.broken || !g.done
}

// gang returns a member's gang.
func (s *Site) gang(t *taskRun) gangRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *s.gangs[keyOf(t)]
}

// gangEnd returns how a member of a gang ends because of the others, or "".
func (w *Worker) gangEnd(t *taskRun) string {
	g := w.site.gang(t)
	switch {
	case g.done:
		return "done"
	case !g.wholeAt.IsZero() && g.broken:
		return "broken"
	case g.wholeAt.IsZero() && time.Since(t.startedAt) > aloneAfter:
		return "alone"
	}
	return ""
}

// worked returns for how long a run has worked.
func (w *Worker) worked(t *taskRun) time.Duration {
	if !t.inGang {
		return time.Since(t.startedAt)
	}
	if g := w.site.gang(t); !g.wholeAt.IsZero() {
		return time.Since(g.wholeAt)
	}
	return 0
}
