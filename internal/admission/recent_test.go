// SPDX-License-Identifier: Apache-2.0

package admission_test

import (
	"fmt"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/admission"
	"switchbank.example/switchbank/internal/cluster"
)

// TestBurstWithinOneSummary guards against a burst that is admitted as a whole, since the summary does
// not yet include the jobs before.
func TestBurstWithinOneSummary(t *testing.T) {
	p := strictPolicy()
	var recent admission.Recent
	view := fullShard(0)
	view.Summary.FreeMilli = shardCores * 1000
	const jobs, now = 100, 5 * time.Second
	admitted := 0
	for i := range jobs {
		r := request(fmt.Sprintf("%016x", i), nil)
		view.Age = time.Duration(i) * time.Millisecond
		at := now + view.Age
		if p.Decide(r, []admission.ShardView{recent.Apply("s/0", view, &r, at)}).Admit {
			admitted++
			recent.Add(r, "s/0", at)
		}
	}
	// 12 jobs of 8 tasks fit at once, and each has the work of 0.48 s. The others wait up to 7 s.
	if admitted < 15 || admitted > 30 {
		t.Errorf("%d of %d jobs were admitted", admitted, jobs)
	}
}

// TestRecentJobsCountOnce guards against jobs that count on another shard, twice, before the summary,
// in the decision on themselves or though they are due later, and against a change of the summary.
func TestRecentJobsCountOnce(t *testing.T) {
	var recent admission.Recent
	view := fullShard(1)
	view.Age = 200 * time.Millisecond
	const now = 5 * time.Second
	before := view.Summary.Wait(request("a", nil).Job, 0)
	recent.Add(request("old", nil), "s/0", now-300*time.Millisecond)
	recent.Add(request("other", nil), "s/1", now)
	recent.Add(request("self", nil), "s/0", now)
	recent.Add(request("moved", nil), "s/1", now)
	recent.Add(request("moved", nil), "s/0", now)
	urgent := request("urgent", func(j *cluster.Job) { j.Policy.Priority = 1 })
	recent.Add(urgent, "s/0", now)
	long := request("long", func(j *cluster.Job) { j.Policy.TargetMS = 60_000 })
	recent.Add(long, "s/0", now)
	self := request("self", nil)
	got := recent.Apply("s/0", view, &self, now)
	// Two jobs count, each with 48 core-seconds: the one that has moved and the urgent one.
	if wait := got.Summary.Wait(request("a", nil).Job, 0); wait < before+950*time.Millisecond || wait > before+970*time.Millisecond {
		t.Errorf("the wait is %v, and was %v", wait, before)
	}
	if after := view.Summary.Wait(request("a", nil).Job, 0); after != before || len(view.Summary.Lanes) != 1 {
		t.Error("the summary itself has changed")
	}
	if v := recent.Apply("s/0", admission.ShardView{}, &self, now); v.Summary != nil {
		t.Error("a summary is made of recent jobs alone")
	}
}
