// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// cutOffOwner cuts off the owner and the first two workers for d, calls during at the begin, and
// goes on for some time after the cut.
func (env *testEnv) cutOffOwner(d time.Duration, during func(owner string)) {
	owner := env.owner()
	cut{nodes: []string{owner}, workers: []int{0, 1}}.hold(env, d, func() { during(owner) })
}

// TestTimedJobsOfCutOffOwner guards against jobs whose time comes while their owner is cut off, and
// that both it and its successor start, or neither.
func TestTimedJobsOfCutOffOwner(t *testing.T) {
	const count = 3
	synctest.Test(t, func(t *testing.T) {
		env, _ := newLoadedEnv(t, newEnv)
		defer env.close()
		var ids []string
		for i, due := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second, 18 * time.Second, 25 * time.Second, 40 * time.Second} {
			id := fmt.Sprintf("00000000000001%02x", i)
			body := env.encodeTimedJob(time.Now().Add(due), "700 cpu=500", stepBody{Count: count, CPU: 500, MemoryMB: 10, EstimateMS: 700})
			if status, _ := env.call("n0", http.MethodPost, "/batch/"+id, body); status != http.StatusOK {
				t.Fatalf("the job that is due after %s was answered %d", due, status)
			}
			ids = append(ids, id)
		}
		env.cutOffOwner(cutLong, func(string) {})
		env.checkNoViolations()
		for _, id := range ids {
			if state := env.state("batch", id); state != "succeeded" {
				t.Errorf("job %s is %q", id, state)
			}
		}
	})
}

// TestCutOffOwnerTellsNoState guards against callers that are told the state of jobs by an owner
// that has had to stop, or that a cancel has been taken which nobody else learns of.
func TestCutOffOwnerTellsNoState(t *testing.T) {
	const ownershipOver = 22 * time.Second
	synctest.Test(t, func(t *testing.T) {
		env, lasting := newLoadedEnv(t, newEnv)
		defer env.close()
		env.cutOffOwner(cutLong, func(owner string) {
			time.Sleep(5 * time.Second)
			if status, _ := env.call(owner, http.MethodDelete, "/batch/"+lasting, ""); status < http.StatusInternalServerError {
				t.Errorf("a cancel at an owner that is cut off is answered %d", status)
			}
			time.Sleep(ownershipOver)
			if status, body := env.call(owner, http.MethodGet, "/batch/"+lasting, ""); status < http.StatusInternalServerError {
				t.Errorf("an owner whose ownership has expired answers %d %s", status, body)
			}
		})
		if state := env.state("batch", lasting); state != "running" {
			t.Errorf("the job is %q", state)
		}
		env.checkNoViolations()
	})
}
