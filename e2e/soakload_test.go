// SPDX-License-Identifier: Apache-2.0

//go:build e2e

package e2e_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// soakJobs are the jobs of the load. The Spec repeats the size of the tasks, so that the
// workers can check their load independently of the nodes.
var soakJobs = []struct{ queue, body string }{
	{"urgent", `{"Spec":"400 cpu=500","Steps":[{"Count":2,"Cpu":500,"MemMb":100,"EstimateMs":400},{"Count":2,"Cpu":500,"MemMb":100,"EstimateMs":400,"DependsOn":[0]}]}`},
	{"urgent", `{"Spec":"400 cpu=500","Steps":[{"Count":3,"Cpu":500,"MemMb":100,"EstimateMs":400}]}`},
	{"batch", `{"Spec":"1500 cpu=1000","Steps":[{"Count":3,"Cpu":1000,"MemMb":500,"EstimateMs":1500,"Checkpointing":true}]}`},
	{"batch", `{"Spec":"1500 cpu=1000","Steps":[{"Count":3,"Cpu":1000,"MemMb":500,"EstimateMs":1500,"Gang":true}]}`},
	{"batch", `{"Spec":"100 lasting cpu=200","Steps":[{"Count":4,"Cpu":200,"MemMb":100,"LongRunning":true}]}`},
}

// longRunningJob is the index in soakJobs of the job that runs until it is cancelled.
const longRunningJob = 4

// submitJobs submits jobs until soakDuration is over, and cancels the long-running ones.
func (s *soak) submitJobs() {
	var calls sync.WaitGroup
	for i := 0; time.Since(s.started) < soakDuration; i++ {
		kind := i % (len(soakJobs) - 1)
		if i%20 == 19 {
			kind = longRunningJob
		}
		calls.Go(func() {
			id := fmt.Sprintf("%016x", i+1)
			s.submitJob(i, soakJobs[kind].queue, id, soakJobs[kind].body)
			if kind == longRunningJob {
				s.mu.Lock()
				s.longRunning = append(s.longRunning, id)
				s.mu.Unlock()
				time.Sleep(time.Second)
				s.cancelJob(i, id)
			}
		})
		time.Sleep(soakJobInterval)
	}
	calls.Wait()
}

// submitJob sends a job to one node after the other until one accepts it, at most five times.
func (s *soak) submitJob(i int, queue, id, body string) {
	s.mu.Lock()
	s.gangs[id] = strings.Contains(body, `"Gang":true`)
	s.mu.Unlock()
	refused := true
	for k := range 5 {
		status := s.status(http.MethodPost, "http://"+s.nodes[(i+k)%len(s.nodes)].callers+"/"+queue+"/"+id, []byte(body))
		if status == http.StatusOK {
			s.mu.Lock()
			s.accepted = append(s.accepted, id)
			s.mu.Unlock()
			s.addStallJob(queue, id, body)
			return
		}
		refused = refused && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		time.Sleep(300 * time.Millisecond)
	}
	s.mu.Lock()
	s.refused[id] = refused
	s.mu.Unlock()
}

// cancelJob cancels a job, also one that may not have been accepted: status 410 means that there
// is no such job.
func (s *soak) cancelJob(i int, id string) {
	s.waitUntil("the cancellation of "+id+" is accepted", func() bool {
		i++
		status := s.status(http.MethodDelete, "http://"+s.nodes[i%len(s.nodes)].callers+"/batch/"+id, nil)
		return status == http.StatusOK || status == http.StatusGone
	})
	s.mu.Lock()
	s.canceled[id] = true
	s.mu.Unlock()
}
