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

// The jobs of the load; a task's room stands in its Spec too, for the workers to check.
var soakJobs = []struct{ queue, body string }{
	{"urgent", `{"Spec":"400 cpu=500","Steps":[{"Count":2,"Cpu":500,"MemMb":100,"EstimateMs":400},{"Count":2,"Cpu":500,"MemMb":100,"EstimateMs":400,"DependsOn":[0]}]}`},
	{"urgent", `{"Spec":"400 cpu=500","Steps":[{"Count":3,"Cpu":500,"MemMb":100,"EstimateMs":400}]}`},
	{"batch", `{"Spec":"1500 cpu=1000","Steps":[{"Count":3,"Cpu":1000,"MemMb":500,"EstimateMs":1500,"Checkpointing":true}]}`},
	{"batch", `{"Spec":"1500 cpu=1000","Steps":[{"Count":3,"Cpu":1000,"MemMb":500,"EstimateMs":1500,"Gang":true}]}`},
	{"batch", `{"Spec":"100 lasting cpu=200","Steps":[{"Count":4,"Cpu":200,"MemMb":100,"LongRunning":true}]}`},
}

// lastingJob is the index of the job that runs until it is cancelled.
const lastingJob = 4

// load hands jobs in, and cancels those that last.
func (s *soak) load() {
	var calls sync.WaitGroup
	for i := 0; time.Since(s.began) < soakTime; i++ {
		kind := i % (len(soakJobs) - 1)
		if i%20 == 19 {
			kind = lastingJob
		}
		calls.Go(func() {
			id := fmt.Sprintf("%016x", i+1)
			s.handIn(i, soakJobs[kind].queue, id, soakJobs[kind].body)
			if kind == lastingJob {
				s.mu.Lock()
				s.lasting = append(s.lasting, id)
				s.mu.Unlock()
				time.Sleep(time.Second)
				s.cancel(i, id)
			}
		})
		time.Sleep(soakPause)
	}
	calls.Wait()
}

// handIn calls one node after the other until the job is accepted, five times at most.
func (s *soak) handIn(i int, queue, id, body string) {
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
			return
		}
		refused = refused && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		time.Sleep(300 * time.Millisecond)
	}
	s.mu.Lock()
	s.refused[id] = refused
	s.mu.Unlock()
}

// cancel cancels a job, also one of which it isn't known whether it was accepted:
// 410 says that there is none.
func (s *soak) cancel(i int, id string) {
	s.until("cancel of "+id+" is taken", func() bool {
		i++
		status := s.status(http.MethodDelete, "http://"+s.nodes[i%len(s.nodes)].callers+"/batch/"+id, nil)
		return status == http.StatusOK || status == http.StatusGone
	})
	s.mu.Lock()
	s.canceled[id] = true
	s.mu.Unlock()
}
