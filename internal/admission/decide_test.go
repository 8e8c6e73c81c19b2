// SPDX-License-Identifier: Apache-2.0

package admission_test

import (
	"fmt"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/admission"
	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/forecast"
)

// fullShard returns a shard without free capacity in which a batch job waits for some seconds.
func fullShard(wait float64) admission.ShardView {
	waiting := make([]int64, len(forecast.DueBounds)+1)
	waiting[0] = int64(wait * 1000 * shardCores)
	return admission.ShardView{Summary: &forecast.Summary{
		Version: forecast.SummaryVersion, Epoch: 1, CapacityMilli: shardCores * 1000,
		Lanes: []forecast.Lane{{Priority: 2, Running: 100, Waiting: waiting}},
	}}
}

func request(id string, change func(j *cluster.Job)) admission.Request {
	j := newBatch()
	j.ID, j.Team = id, "t1"
	if change != nil {
		change(&j)
	}
	return admission.NewRequest(&j)
}

// TestNeverRefused guards against the refusal of jobs that the load must not keep out.
func TestNeverRefused(t *testing.T) {
	p := strictPolicy()
	p.MaxWaiting = 0.1
	full := []admission.ShardView{fullShard(1000)}
	free := fullShard(0)
	free.Summary.FreeMilli = 8000
	old := fullShard(1000)
	old.Age = forecast.MaxAge + time.Millisecond
	for name, c := range map[string]struct {
		shards []admission.ShardView
		change func(j *cluster.Job)
		why    admission.Reason
	}{
		"long-running":                 {full, func(j *cluster.Job) { j.Steps[1].LongRunning = true }, admission.ReasonExempt},
		"periodic":                     {full, func(j *cluster.Job) { j.Repeats = 1 }, admission.ReasonExempt},
		"no objective":                 {full, func(j *cluster.Job) { j.Policy.Stretch, j.Policy.TargetMS = 0, 0 }, admission.ReasonExempt},
		"gang wider than a shard":      {full, func(j *cluster.Job) { j.Steps[0].Gang, j.Steps[0].Count = true, shardCores+1 }, admission.ReasonExempt},
		"fits now":                     {[]admission.ShardView{free}, nil, admission.ReasonFits},
		"starts soon":                  {[]admission.ShardView{fullShard(1)}, nil, admission.ReasonSoon},
		"nothing waits":                {[]admission.ShardView{busyShard(time.Minute)}, nil, admission.ReasonSoon},
		"no shard":                     {nil, nil, admission.ReasonUnknown},
		"no summary":                   {[]admission.ShardView{{}}, nil, admission.ReasonUnknown},
		"no summary of one shard":      {[]admission.ShardView{fullShard(1000), {}}, nil, admission.ReasonUnknown},
		"old summary":                  {[]admission.ShardView{old}, nil, admission.ReasonUnknown},
		"summary from a later time":    {[]admission.ShardView{{Summary: old.Summary, Age: -time.Second}}, nil, admission.ReasonUnknown},
		"fits in one of two shards":    {[]admission.ShardView{fullShard(1000), free}, nil, admission.ReasonFits},
		"within the bound of a shard":  {[]admission.ShardView{fullShard(1000), fullShard(5)}, nil, admission.ReasonWithinBound},
		"late by a wrong run time":     {[]admission.ShardView{slowQueue(fullShard(1))}, nil, admission.ReasonSoon},
		"shard without capacity known": {[]admission.ShardView{{Summary: &forecast.Summary{}}}, nil, admission.ReasonUnknown},
	} {
		if d := p.Decide(request("a", c.change), c.shards); !d.Admit && name != "within the bound of a shard" || d.Admit && d.Reason != c.why {
			t.Errorf("%s: %+v, want %s", name, d, c.why)
		}
	}
	p.Enabled = false
	if d := p.Decide(request("a", nil), full); !d.Admit {
		t.Errorf("turned off: %+v", d)
	}
}

// busyShard returns a shard that is full for some time and in which nothing waits.
func busyShard(d time.Duration) admission.ShardView {
	v := fullShard(0)
	v.Summary.Lanes[0].Running = int64(shardCores * 1000 * d.Seconds())
	return v
}

// slowQueue sets that the runs of the queue take ten times as long as estimated.
func slowQueue(v admission.ShardView) admission.ShardView {
	v.Summary.Queues = []forecast.QueueStats{{Queue: "batch", Ratio: 10, Approved: 1}}
	return v
}

// TestBounds guards against bounds that are not those of the settings. A batch job runs for 6 s, and
// its objective is 13 s.
func TestBounds(t *testing.T) {
	returns := func(r admission.Request) admission.Request {
		r.Returning = true
		return r
	}
	expecting := func(r admission.Request, work int64) admission.Request {
		r.Expected = admission.Expected{Class: work, Ahead: work}
		return r
	}
	sentAgo := func(r admission.Request, d time.Duration) admission.Request {
		r.Returning, r.Sent = true, d
		return r
	}
	job := request("a", nil)
	optimistic := admission.Policy{Enabled: true, AcceptUntil: 3}
	expected := admission.Policy{Enabled: true, AcceptUntil: 3, ExpectUntil: 1}
	stricter := admission.Policy{Enabled: true, AcceptUntil: 3, ExpectUntil: 1, NewUntil: 0.75}
	budget := admission.Policy{Enabled: true, AcceptUntil: 3, MaxWaiting: 4}
	for name, c := range map[string]struct {
		policy admission.Policy
		r      admission.Request
		wait   float64
		admit  bool
	}{
		"optimistic end within the bound":      {optimistic, job, 40, true},
		"optimistic end beyond the bound":      {optimistic, job, 60, false},
		"expected end within the bound":        {expected, job, 6.9, true},
		"expected end beyond the bound":        {expected, job, 7.1, false},
		"first attempt some time ago":          {expected, sentAgo(job, 2*time.Second), 5.5, false},
		"new job, no returns expected":         {stricter, job, 6.9, true},
		"new job, returns expected":            {stricter, expecting(job, 1000), 6.9, false},
		"new job before much returning work":   {stricter, expecting(job, 3000*shardCores), 3.5, false},
		"returning job":                        {stricter, returns(expecting(job, 1000)), 6.9, true},
		"waiting work within the budget":       {budget, job, 3.9, true},
		"waiting work beyond the budget":       {budget, job, 4.1, false},
		"waiting work of a team with no share": {budget, func() admission.Request { r := job; r.TeamShare = 0.1; return r }(), 30, true},
	} {
		if d := c.policy.Decide(c.r, []admission.ShardView{fullShard(c.wait)}); d.Admit != c.admit {
			t.Errorf("%s: %+v, want admit %t", name, d, c.admit)
		}
	}
}

// TestReasonTellsOfDeadline guards against callers that retry within a deadline in which the job
// can't be admitted.
func TestReasonTellsOfDeadline(t *testing.T) {
	p := strictPolicy()
	for _, c := range []struct {
		deadline time.Duration
		wait     float64
		why      admission.Reason
	}{
		{3 * time.Second, 7.5, admission.ReasonOverloaded},
		{3 * time.Second, 30, admission.ReasonBeyondDeadline},
		{0, 30, admission.ReasonOverloaded},
	} {
		r := request("a", nil)
		r.Deadline = c.deadline
		d := p.Decide(r, []admission.ShardView{fullShard(c.wait)})
		if d.Admit || d.Reason != c.why || (c.why == admission.ReasonBeyondDeadline) != (c.deadline > 0 && d.RetryAfter > c.deadline) {
			t.Errorf("deadline %v, wait %.1f s: %+v, want %s", c.deadline, c.wait, d, c.why)
		}
	}
}

// TestRetryAfter guards against callers that return too early, after more than a minute, or all in
// the same second.
func TestRetryAfter(t *testing.T) {
	p := strictPolicy()
	const callers = 1000
	for _, c := range []struct {
		wait        float64
		least, most time.Duration
		mostPerSec  int
	}{
		{7.5, time.Second, time.Second, callers},
		{9.9, 3 * time.Second, 5 * time.Second, 400},
		{17, 10 * time.Second, 15 * time.Second, 220},
		{1000, 40 * time.Second, time.Minute, 80},
	} {
		seconds := make(map[time.Duration]int)
		for i := range callers {
			d := p.Decide(request(fmt.Sprintf("%016x", i), nil), []admission.ShardView{fullShard(c.wait)})
			seconds[d.RetryAfter]++
		}
		for after, n := range seconds {
			if after < c.least || after > c.most || after%time.Second != 0 || n > c.mostPerSec {
				t.Errorf("wait %.1f s: %d callers are told %v, want from %v to %v and at most %d", c.wait, n, after, c.least, c.most, c.mostPerSec)
			}
		}
	}
}

// TestRetryAfterGrows guards against callers that all return when the first of them can be admitted.
func TestRetryAfterGrows(t *testing.T) {
	p, m := strictPolicy(), admission.NewMemory()
	var first, last time.Duration
	const callers = 40 // their work is that of 19 s
	for i := range callers {
		r := request(fmt.Sprintf("%016x", i), nil)
		m.Complete(&r, 0)
		d := p.Decide(r, []admission.ShardView{fullShard(9)})
		m.Refuse(r, d, 0)
		if last = d.RetryAfter; i == 0 {
			first = d.RetryAfter
		}
	}
	if last < first+15*time.Second {
		t.Errorf("the first caller is told %v, and caller %d is told %v", first, callers, last)
	}
}

// TestChoose guards against a choice by forecasts without an overload or without all forecasts, and
// against the shard that ends a job later.
func TestChoose(t *testing.T) {
	p := strictPolicy()
	for name, c := range map[string]struct {
		shards []admission.ShardView
		want   int
	}{
		"the second ends earlier":   {[]admission.ShardView{fullShard(30), fullShard(20)}, 1},
		"the first ends earlier":    {[]admission.ShardView{fullShard(20), fullShard(30)}, 0},
		"the first is not full":     {[]admission.ShardView{fullShard(1), fullShard(0)}, 0},
		"the second is not known":   {[]admission.ShardView{fullShard(30), {}}, 0},
		"the first is not known":    {[]admission.ShardView{{}, fullShard(1)}, 0},
		"there is only one":         {[]admission.ShardView{fullShard(30)}, 0},
		"the third ends earliest":   {[]admission.ShardView{fullShard(30), fullShard(20), fullShard(10)}, 2},
		"there is none, by mistake": {nil, 0},
	} {
		byLoad := admission.Policy{Enabled: true, AcceptUntil: 3}
		if got := byLoad.Choose(request("a", nil), c.shards); got != 0 {
			t.Errorf("%s: %d without a bound on the expected end, want the first", name, got)
		}
		if got := p.Choose(request("a", nil), c.shards); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}
