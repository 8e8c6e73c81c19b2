// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/owner"
)

// The tests of this file submit jobs faster than the workers can run them.

const (
	// wideSpec and wideStep are of a job that fills all workers for 4 s; its objective is 9.2 s.
	wideSpec = "4000 cpu=4000"
	// fillingJobs is how many of them are submitted, one every fillingInterval.
	fillingJobs     = 12
	fillingInterval = 400 * time.Millisecond
)

func wideStep() stepBody {
	return stepBody{Count: cellWorkers, CPU: workerCores, MemoryMB: 500, EstimateMS: 4000}
}

// newAdmissionEnv returns an environment of one shard whose nodes refuse what would end late.
func newAdmissionEnv(t *testing.T) *testEnv {
	env := newEnvWith(t, cellWorkers, cellWorkers, func(env *testEnv) {
		env.admission.ExpectUntil, env.admission.NewUntil = 1, 0.75
		env.site.Configure(1, routes()...)
	})
	time.Sleep(4 * time.Second)
	return env
}

// refusal is an answer to a submission.
type refusal struct {
	status     int
	retryAfter string
	body       string
}

// submitOnce submits a job to a node.
func (env *testEnv) submitOnce(node, id string, step stepBody) refusal {
	ctx, cancel := context.WithTimeout(env.t.Context(), callDeadline)
	defer cancel()
	body := env.encodeJob(wideSpec, step)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+":1/batch/"+id, bytes.NewReader([]byte(body)))
	if err != nil {
		env.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("X-Switchbank-Deadline-Ms", "3000")
	res, err := env.client.Do(r)
	if err != nil {
		return refusal{}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return refusal{}
	}
	return refusal{res.StatusCode, res.Header.Get("Retry-After"), string(data)}
}

func (r refusal) overloaded() bool {
	return r.status == http.StatusServiceUnavailable && strings.Contains(r.body, "overloaded")
}

// fill submits jobs to all nodes in turn, and returns those that were accepted and those that were
// refused.
func (env *testEnv) fill() (accepted, refused []string) {
	env.t.Helper()
	for i := range fillingJobs {
		id := fmt.Sprintf("%016x", 0xf0+i)
		switch r := env.submitOnce(fmt.Sprintf("n%d", i%cellNodes), id, wideStep()); {
		case r.status == http.StatusOK:
			accepted = append(accepted, id)
			env.accepted = append(env.accepted, id)
		case r.overloaded():
			refused = append(refused, id)
			env.refused[id] = true
			if s, err := strconv.Atoi(r.retryAfter); err != nil || s < 1 || s > 60 {
				env.t.Errorf("Retry-After is %q", r.retryAfter)
			}
		default:
			env.t.Errorf("submission %d is answered with %+v", i, r)
		}
		time.Sleep(fillingInterval)
	}
	return accepted, refused
}

// overload submits jobs until two in a row are refused, so that the next one would be too.
func (env *testEnv) overload() {
	env.t.Helper()
	const attempts = 20
	inARow := 0
	for i := range attempts {
		if inARow++; !env.submitOnce("n1", fmt.Sprintf("%016x", 0xc0+i), wideStep()).overloaded() {
			inARow = 0
		}
		if inARow == 2 {
			return
		}
	}
	env.t.Fatalf("%d jobs don't overload the shard", attempts)
}

// TestRefusedJobNeverRuns guards against a job that runs, or leaves a row in the store, though its
// caller was told that the shard is overloaded; and against refusals that don't end with the
// overload.
func TestRefusedJobNeverRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newAdmissionEnv(t)
		defer env.close()
		accepted, refused := env.fill()
		if len(accepted) < 2 || len(refused) < 3 {
			t.Fatalf("%d jobs were accepted, %d refused", len(accepted), len(refused))
		}
		for _, id := range refused {
			if env.site.Store.Value(owner.TablePins, owner.JobPart(id), id) != nil {
				t.Errorf("refused job %s has a row in the store", id)
			}
		}
		time.Sleep(30 * time.Second)
		for _, id := range accepted {
			if state := env.state("batch", id); state != "succeeded" {
				t.Errorf("accepted job %s is %s", id, state)
			}
		}
		for _, id := range refused {
			if state := env.state("batch", id); state != "unknown" {
				t.Errorf("refused job %s is %s", id, state)
			}
		}
		if r := env.submitOnce("n0", fmt.Sprintf("%016x", 0xa0), wideStep()); r.status != http.StatusOK {
			t.Errorf("after the overload a job is answered with %+v", r)
		}
		env.checkNoViolations()
	})
}

// TestAcceptedJobIsNotRefused guards against a refusal of a job that has been accepted, whose caller
// sends it again during an overload: at any node, and when only the store knows it.
func TestAcceptedJobIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newAdmissionEnv(t)
		defer env.close()
		accepted, _ := env.fill()
		for _, id := range accepted {
			for _, node := range env.nodeNames() {
				if r := env.submitOnce(node, id, wideStep()); r.status != http.StatusOK {
					t.Errorf("%s answers the accepted job %s with %+v", node, id, r)
				}
			}
		}
		env.overload()
		onlyStored := fmt.Sprintf("%016x", 0xb0)
		env.site.Store.PutRaw(owner.TablePins, owner.JobPart(onlyStored), onlyStored, []byte(`{"service":"`+service+`","shards":[0]}`))
		if r := env.submitOnce("n1", onlyStored, wideStep()); r.status != http.StatusOK {
			t.Errorf("a job that only the store knows is answered with %+v", r)
		}
		if r := env.submitOnce("n1", fmt.Sprintf("%016x", 0xb1), wideStep()); !r.overloaded() {
			t.Errorf("the overload has ended before the test: a new job is answered with %+v", r)
		}
	})
}

// TestUnansweredLookupIsNotRefusal guards against a refusal while the store does not tell whether the
// job was accepted before, and after an attempt whose outcome is unknown.
func TestUnansweredLookupIsNotRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newAdmissionEnv(t)
		defer env.close()
		env.overload()
		id := fmt.Sprintf("%016x", 0xb0)
		env.site.Store.SetUnavailableParts(owner.JobPart(id))
		r := env.submitOnce("n1", id, wideStep())
		env.site.Store.SetUnavailableParts()
		if r.status != http.StatusGatewayTimeout {
			t.Errorf("a job of an unavailable part is answered with %+v", r)
		}
		env.overload()
		if r := env.submitOnce("n1", id, wideStep()); r.status != http.StatusOK {
			t.Errorf("a job whose outcome was unknown is answered with %+v", r)
		}
	})
}

// TestNotSubjectToAdmission guards against the refusal of long-running jobs.
func TestNotSubjectToAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newAdmissionEnv(t)
		defer env.close()
		env.overload()
		lasting := stepBody{Count: 1, CPU: 100, MemoryMB: 100, LongRunning: true}
		if r := env.submitOnce("n1", fmt.Sprintf("%016x", 0xb0), lasting); r.status != http.StatusOK {
			t.Errorf("a long-running job is answered with %+v", r)
		}
	})
}

// TestRefusalsReachOtherNodes guards against a caller that counts as new at another node: within a
// second all nodes know which jobs were refused.
func TestRefusalsReachOtherNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newAdmissionEnv(t)
		defer env.close()
		_, refused := env.fill()
		time.Sleep(time.Second)
		var known []float64
		for _, n := range env.nodeNames() {
			known = append(known, env.metric(n, "switchbank_admission_refused_jobs"))
		}
		if slices.Min(known) < float64(len(refused)) {
			t.Errorf("%d jobs were refused, and the nodes know %v", len(refused), known)
		}
	})
}
