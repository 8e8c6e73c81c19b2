// SPDX-License-Identifier: Apache-2.0

//go:build e2e

package e2e_test

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
)

// maxReportedLines is how many log lines of each kind are reported of each node.
const maxReportedLines = 12

// waitUntilEnded waits until every accepted job has ended and no worker runs a task. If that
// takes too long, it reports what callers, workers and nodes know about the first such job.
func (s *soak) waitUntilEnded() {
	job, unfinished := "", "not checked"
	s.t.Cleanup(func() {
		if s.t.Failed() {
			s.t.Logf("unfinished: %s", unfinished)
			if job != "" {
				s.reportJob(job)
			}
		}
	})
	s.waitUntil("every accepted job ends", func() bool {
		job, unfinished = s.findUnfinished()
		return unfinished == ""
	})
}

// reportJob logs the events of a job's tasks at their workers, and the last lines about it in
// the nodes' logs.
func (s *soak) reportJob(job string) {
	for _, e := range s.site.Events() {
		if strings.HasPrefix(e.Task, job+".") {
			s.t.Logf("%6.3f s: worker %s: %s of %s, run %d, fence %d", e.At.Sub(s.started).Seconds(), e.Worker, e.Kind, e.Task, e.Run, e.Fence)
		}
	}
	for _, n := range s.nodes {
		about, foreign := logLines(s.t, n.log.Name(), job)
		for _, line := range slices.Concat(about, foreign) {
			s.t.Logf("%s: %s", n.name, line)
		}
	}
}

// logLines returns the last lines of a node's log that contain the text, and the first ones that
// are no log entries, such as those of a panic.
func logLines(t *testing.T, file, text string) (about, foreign []string) {
	t.Helper()
	f, err := os.Open(file) //nolint:gosec // The test has written the file.
	if err != nil {
		t.Error(err)
		return nil, nil
	}
	defer func() { _ = f.Close() }()
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		switch line := scanner.Text(); {
		case !strings.HasPrefix(line, "{"):
			foreign = append(foreign, line)
		case strings.Contains(line, text):
			about = append(about, line)
		}
	}
	if err := scanner.Err(); err != nil {
		t.Error(err)
	}
	return about[max(0, len(about)-maxReportedLines):], foreign[:min(maxReportedLines, len(foreign))]
}

// findUnfinished returns an accepted job that has not reached its final state, or of which a
// worker still runs tasks, and describes it. Both are "" if there is none.
func (s *soak) findUnfinished() (job, description string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, id := range s.accepted {
		if job != "" && s.ended[id] {
			continue
		}
		if state := s.checkEnded(i, id); state != "" && job == "" {
			job, description = id, state
		}
	}
	if job != "" {
		return job, description
	}
	for i, w := range s.workers {
		if w.RunningTasks() > 0 {
			tasks := strings.Join(s.runningTasks(w.ID), ", ")
			job, _, _ := strings.Cut(tasks, ".")
			return job, fmt.Sprintf("worker %d runs %s", i, tasks)
		}
	}
	return "", ""
}

// runningTasks returns the tasks that run on a worker according to the events, sorted.
func (s *soak) runningTasks(worker string) (tasks []string) {
	for _, r := range s.site.RunningRuns() {
		if r.Worker == worker {
			tasks = append(tasks, r.Task)
		}
	}
	slices.Sort(tasks)
	return tasks
}

// checkEnded describes the state of the i-th accepted job unless it has ended, and returns ""
// if it has. A job that has been seen at its end may be unknown later: nodes forget it after
// the retention period, which may end while the test waits for another job.
func (s *soak) checkEnded(i int, id string) string {
	var got struct{ State string }
	n := s.nodes[i%len(s.nodes)]
	status := s.call(http.MethodGet, "http://"+n.callers+"/batch/"+id, nil, &got)
	switch {
	case status == http.StatusOK && s.endedAsExpected(id, got.State):
		s.ended[id] = true
		return ""
	case status == http.StatusGone && s.ended[id]:
		return ""
	case status == http.StatusOK && slices.Contains([]string{"succeeded", "failed", "cancelled"}, got.State):
		// Fails immediately: the nodes forget the states of ended jobs before the test
		// times out.
		s.reportJob(id)
		s.t.Fatalf("job %s at %s has the wrong final state %s", id, n.name, got.State)
	}
	return fmt.Sprintf("job %s at %s: %d %q", id, n.name, status, got.State)
}
