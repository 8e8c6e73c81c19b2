// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"switchbank.example/switchbank/standin/site"
)

// The bounds of the pages for the small deployments.
const (
	visible     = 3000 * time.Millisecond
	configApply = 2000 * time.Millisecond
	finish      = 14 * time.Second
)

const prefix = "/lohu930/"

func route(upstream string, targetMS int64) site.Route {
	return site.Route{Name: "saldo-check", Host: host, PathPrefix: prefix, Upstream: upstream, MaxAttempts: 2, Stretch: 1.5, TargetMS: targetMS}
}

// id returns the n-th job's ID.
func id(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+n) }

// runService: the configuration gives a route another service while a job of the route runs.
func runService(rec *record, trouble bool) (verdict, error) {
	d, err := startDeployment(program, rec, []site.Route{route("basket", 250), {Name: "produce-check", Host: host, PathPrefix: "/vuri07/", Upstream: "vision", MaxAttempts: 2, Stretch: 1.5, TargetMS: 250}},
		workerPlan{service: "basket", count: 35}, workerPlan{service: "vision", count: 13})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return verdict{}, err
	}
	path := prefix + id(1)
	j := job{Spec: "25000 cpu=1000", Steps: []step{{Count: 4, Cpu: 1000, MemMb: 256, EstimateMs: 25000}}}
	if !d.submit(path, j) {
		return verdict{}, errors.New("the job was not accepted")
	}
	if !waitFor(5*time.Second, func() bool { return countKind(d, id(1), site.EventStart) == 4 }) {
		return verdict{}, errors.New("the job's tasks did not start")
	}
	next := route("basket", 300)
	if trouble {
		next.Upstream = "vision"
	}
	d.configure(2, []site.Route{next, {Name: "produce-check", Host: host, PathPrefix: "/vuri07/", Upstream: "vision", MaxAttempts: 2, Stretch: 1.5, TargetMS: 250}})
	time.Sleep(max(configApply, visible) + time.Second)
	gone := 0
	for _, n := range d.nodes {
		var reply struct{ State string }
		status := d.callAt(n, http.MethodGet, path, nil, &reply)
		rec.line("client: GET %s at %s: %d %s", path, n.name, status, reply.State)
		if status == http.StatusGone {
			gone++
		}
	}
	// The same ID comes again seconds after its 2xx; it remains one job.
	if !d.submit(path, j) {
		rec.line("the job that comes again is not accepted")
	}
	time.Sleep(4 * time.Second)
	twice := runsAtOnce(d, id(1))
	rec.runs(d.site, func(job string) bool { return job == id(1) })
	return verdict{gone > 0 || twice > 0, fmt.Sprintf("%d of %d nodes answer 410 to a GET for the accepted job (LOST), %d of its 4 tasks run twice at the same time (TWICE)", gone, hostCount, twice)}, nil
}

// runsAtOnce returns how many tasks of a job have had two runs at the same time.
func runsAtOnce(d *deployment, id string) int {
	running, twice := make(map[string]int), make(map[string]bool)
	for _, e := range d.site.Events() {
		if job, _, _ := strings.Cut(e.Task, "."); job != id {
			continue
		}
		switch e.Kind {
		case site.EventStart:
			running[e.Task]++
		case site.EventEnd, site.EventSuccess, site.EventGangTimeout:
			running[e.Task]--
		}
		if running[e.Task] > 1 {
			twice[e.Task] = true
		}
	}
	return len(twice)
}

func countKind(d *deployment, id, kind string) (n int) {
	for _, e := range d.site.Events() {
		if job, _, _ := strings.Cut(e.Task, "."); job == id && e.Kind == kind {
			n++
		}
	}
	return n
}

func waitFor(most time.Duration, ok func() bool) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// runWaiting: the only worker with room refuses all starts for 6.5 s, while its queue is asked for
// the number of waiting jobs.
func runWaiting(rec *record, trouble bool) (verdict, error) {
	const (
		workers  = 48
		greyTime = 6500 * time.Millisecond
		jobs     = 2
		askAfter = visible + 2*time.Second + 400*time.Millisecond
	)
	d, err := startDeployment(program, rec, []site.Route{route("inkaso-core", 250)}, workerPlan{service: "inkaso-core", count: workers})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return verdict{}, err
	}
	// A job with a task of 16 cores for each worker but one.
	if !d.submit(prefix+id(1), job{Spec: "40000", Steps: []step{{Count: workers - 1, Cpu: workerCPUMilli, MemMb: 1024, EstimateMs: 40000}}}) {
		return verdict{}, errors.New("the first job was not accepted")
	}
	if !waitFor(10*time.Second, func() bool { return countKind(d, id(1), site.EventStart) == workers-1 }) {
		return verdict{}, errors.New("the first job's tasks did not start")
	}
	busy := make(map[string]bool)
	for _, e := range d.site.Events() {
		if e.Kind == site.EventStart {
			busy[e.Worker] = true
		}
	}
	var free *site.Worker
	for _, w := range d.workers {
		if !busy[w.ID] {
			free = w
		}
	}
	if free == nil {
		return verdict{}, errors.New("no worker is free")
	}
	if trouble {
		d.setUnhealthy(free, true)
		rec.line("worker %s answers all starts with 503 from now on", free.ID)
	}
	began := time.Now()
	for i := range jobs {
		if !d.submit(prefix+id(2+i), job{Spec: "2000", Steps: []step{{Count: 1, Cpu: workerCPUMilli / jobs, MemMb: 256, EstimateMs: 2000}}}) {
			return verdict{}, errors.New("a job was not accepted")
		}
	}
	accepted := time.Now()
	time.Sleep(time.Until(accepted.Add(askAfter)))
	// Those that were accepted over visible_ms + 2 s ago and have not begun.
	notBegun := 0
	for i := range jobs {
		if countKind(d, id(2+i), site.EventStart) == 0 {
			notBegun++
		}
	}
	under := 0
	for _, n := range d.nodes {
		var reply struct{ Waiting int }
		status := d.callAt(n, http.MethodGet, prefix, nil, &reply)
		rec.line("client: GET %s at %s: %d, Waiting %d; %d jobs have not begun, accepted %.1f s ago or earlier", prefix, n.name, status, reply.Waiting, notBegun, time.Since(accepted).Seconds())
		if status == http.StatusOK && 2*reply.Waiting < notBegun {
			under++
		}
	}
	time.Sleep(time.Until(began.Add(greyTime)))
	d.setUnhealthy(free, false)
	rec.line("worker %s accepts starts again; it has refused %d", free.ID, d.refusedStarts)
	time.Sleep(5 * time.Second)
	rec.runs(d.site, func(job string) bool { return job != id(1) })
	return verdict{under > 0, fmt.Sprintf("%d of %d nodes give under half of the %d jobs that have not begun (MIXED)", under, hostCount, notBegun)}, nil
}

// runLabel: the only worker with a label fails the first run of a job that needs it.
func runLabel(rec *record, trouble bool) (verdict, error) {
	d, err := startDeployment(program, rec, []site.Route{route("inkaso-core", 250)}, workerPlan{service: "inkaso-core", count: 48, label: "b", labelled: 1})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return verdict{}, err
	}
	if trouble {
		d.workers[0].SetFailNewRuns(true)
		rec.line("worker %s fails what it starts", d.workers[0].ID)
	}
	if !d.submit(prefix+id(1), job{Spec: "800 cpu=1000", Steps: []step{{Count: 1, Cpu: 1000, MemMb: 256, EstimateMs: 800, Constraints: "b"}}}) {
		return verdict{}, errors.New("the job was not accepted")
	}
	if trouble {
		waitFor(5*time.Second, func() bool { return countKind(d, id(1), site.EventEnd) == 1 })
		d.workers[0].SetFailNewRuns(false)
		rec.line("worker %s is sound again", d.workers[0].ID)
	}
	idleSince, idle := time.Now(), time.Duration(0)
	if !waitFor(14*time.Second, func() bool {
		if countKind(d, id(1), site.EventSuccess) > 0 {
			return true
		}
		if d.workers[0].RunningTasks() > 0 {
			idleSince = time.Now()
		}
		idle = max(idle, time.Since(idleSince))
		return false
	}) {
		rec.line("the job has not ended within finish_s")
	}
	rec.runs(d.site, func(string) bool { return true })
	return verdict{idle > 3*time.Second, fmt.Sprintf("nothing of the job ran for %.2f s while its only worker was sound and empty (LOST)", idle.Seconds())}, nil
}

// runSchedule: a scheduled job with many times, beside a few small jobs.
func runSchedule(rec *record, trouble bool) (verdict, error) {
	const (
		steps, times, intervalMS = 5, 1200, 100
		smallJobs                = 20
		// growTime is when the small jobs come: some 650 times are over then.
		growTime = 66 * time.Second
	)
	d, err := startDeployment(program, rec, []site.Route{route("inkaso-core", 250)}, workerPlan{service: "inkaso-core", count: 48})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return verdict{}, err
	}
	scheduled := job{Spec: "100 cpu=200", RepeatCount: times, IntervalMs: intervalMS, StartAtMs: time.Now().UnixMilli() + 1000}
	if !trouble {
		scheduled.RepeatCount = 4
	}
	for range steps {
		scheduled.Steps = append(scheduled.Steps, step{Count: 1, Cpu: 200, MemMb: 64, EstimateMs: 100})
	}
	if !d.submit(prefix+id(1), scheduled) {
		return verdict{}, errors.New("the scheduled job was not accepted")
	}
	time.Sleep(growTime)
	rec.line("of the scheduled job %d of %d tasks are done", countKind(d, id(1), site.EventSuccess), steps*scheduled.RepeatCount)
	for i := range smallJobs {
		if !d.submit(prefix+id(2+i), job{Spec: "200 cpu=500", Steps: []step{{Count: 4, Cpu: 500, MemMb: 256, EstimateMs: 200}}}) {
			return verdict{}, errors.New("a small job was not accepted")
		}
		time.Sleep(100 * time.Millisecond)
	}
	// A calm stretch of AckMs, and the rest of finish_s.
	time.Sleep(finish)
	ended, noted := 0, 0
	for i := range smallJobs {
		ended += countKind(d, id(2+i), site.EventSuccess)
		noted += countKind(d, id(2+i), site.EventSuccessConfirmed)
	}
	succeeded := 0
	for i := range smallJobs {
		status, state := d.state(prefix + id(2+i))
		rec.line("client: GET %s: %d %s", prefix+id(2+i), status, state)
		if status == http.StatusOK && state == "succeeded" {
			succeeded++
		}
	}
	status, state := d.state(prefix + id(1))
	rec.line("client: GET %s (the scheduled job): %d %s", prefix+id(1), status, state)
	rec.runs(d.site, func(job string) bool { return job != id(1) })
	return verdict{5*(ended-noted) > ended, fmt.Sprintf("%d of %d ends that workers list have been taken note of in 14 s of calm (Acks); %d of %d small jobs are shown as succeeded though all their tasks are done", noted, ended, succeeded, smallJobs)}, nil
}

// runMemory: a few scheduled jobs with many times, on nodes whose memory the platform limits.
func runMemory(rec *record, trouble bool) (verdict, error) {
	const jobs = 8
	// Each minute for three days.
	times := 3 * 24 * 60
	d, err := startDeployment(program, rec, []site.Route{route("inkaso-core", 250)}, workerPlan{service: "inkaso-core", count: 48})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go d.limitMemory(stop)
	if !trouble {
		times = 60
	}
	ten := step{Count: 10, Cpu: 2700, MemMb: 3900, EstimateMs: 4800}
	after := ten
	after.DependsOn = []int{0}
	var accepted []string
	for i := range jobs {
		path := prefix + id(1+i)
		if d.submit(path, job{Spec: "4800 cpu=2700", Steps: []step{ten, after}, RepeatCount: times, IntervalMs: 60_000, StartAtMs: time.Now().UnixMilli() + 1000}) {
			accepted = append(accepted, path)
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(30 * time.Second)
	kills, killed := 0, 0
	for _, n := range d.nodes {
		n.mu.Lock()
		rec.line("%s: peak %d MB, killed %d times for its memory", n.name, n.peakMB, n.memoryKills)
		kills += n.memoryKills
		if n.memoryKills > 0 {
			killed++
		}
		n.mu.Unlock()
	}
	for _, path := range accepted {
		status, state := d.state(path)
		rec.line("client: GET %s: %d %s", path, status, state)
	}
	rec.runs(d.site, func(string) bool { return true })
	return verdict{killed >= 2 && kills >= 3, fmt.Sprintf("%d processes on %d of %d machines went over MemoryMb and were killed (Fault), %d jobs were accepted", kills, killed, hostCount, len(accepted))}, nil
}

// limitMemory kills processes that go over the memory limit, as the platform does.
func (d *deployment) limitMemory(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, n := range d.nodes {
			n.mu.Lock()
			pid := 0
			if n.process != nil && n.process.Process != nil {
				pid = n.process.Process.Pid
			}
			used := residentMB(pid)
			n.peakMB = max(n.peakMB, used)
			over := used > memoryMB
			if over {
				n.memoryKills++
				_ = n.process.Process.Kill()
				n.process = nil
			}
			n.mu.Unlock()
			if over {
				d.record.line("%s uses %d MB, over its limit of %d MB, and is killed", n.name, used, memoryMB)
			}
		}
	}
}

// residentMB returns the resident memory of a process, without what it maps of its program file.
func residentMB(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 10, 64)
			if err == nil {
				return kb / 1024
			}
		}
	}
	return 0
}

// runTakeover: all nodes lose power for some seconds, in which more runs end on a worker than it
// lists at once.
func runTakeover(rec *record, trouble bool) (verdict, error) {
	const (
		jobs, width = 20, 36
		runTime     = 4 * time.Second
		offTime     = 4500 * time.Millisecond
	)
	d, err := startDeployment(program, rec, []site.Route{route("inkaso-core", 250)}, workerPlan{service: "inkaso-core", count: 48})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return verdict{}, err
	}
	var paths []string
	for i := range jobs {
		paths = append(paths, prefix+id(1+i))
		if !d.submit(paths[i], job{Spec: fmt.Sprint(runTime.Milliseconds()), Steps: []step{{Count: width, Cpu: 20, MemMb: 20, EstimateMs: runTime.Milliseconds()}}}) {
			return verdict{}, errors.New("a job was not accepted")
		}
	}
	if !waitFor(3*time.Second, func() bool { return countStarts(d) >= jobs*width }) {
		return verdict{}, fmt.Errorf("%d of %d tasks have started", countStarts(d), jobs*width)
	}
	rec.line("the jobs have %d tasks; %d of them run on the worker with most", jobs*width, mostRunning(d))
	if trouble {
		d.powerOff(offTime)
		time.Sleep(offTime)
	}
	time.Sleep(12 * time.Second)
	for path, state := range d.askAll(paths, 5*time.Second) {
		if state != "succeeded" {
			rec.line("%s is shown as %s", path, state)
		}
	}
	rec.runs(d.site, func(string) bool { return true })
	again := startedAfterDone(d)
	return verdict{again > 0, fmt.Sprintf("%d of %d tasks started again after a run had ended `done` whose end was taken note of (TWICE)", again, jobs*width)}, nil
}

// countStarts returns how many runs have started.
func countStarts(d *deployment) (n int) {
	for _, e := range d.site.Events() {
		if e.Kind == site.EventStart {
			n++
		}
	}
	return n
}

// mostRunning returns how many tasks run on the worker with most of them.
func mostRunning(d *deployment) (most int) {
	for _, w := range d.workers {
		most = max(most, w.RunningTasks())
	}
	return most
}

// startedAfterDone returns how many tasks were started after a run of theirs had ended done on a
// worker, of those whose end was taken note of then or later, without a lapse of the worker's lease
// in between.
func startedAfterDone(d *deployment) int {
	type run struct {
		task string
		n    int64
	}
	done, noted := make(map[string][]run), make(map[run]bool)
	restarted := make(map[run]bool)
	for _, e := range d.site.Events() {
		switch e.Kind {
		case site.EventSuccess:
			done[e.Task] = append(done[e.Task], run{e.Task, e.Run})
		case site.EventSuccessConfirmed:
			noted[run{e.Task, e.Run}] = true
		case site.EventStart:
			for _, r := range done[e.Task] {
				restarted[r] = true
			}
		}
	}
	tasks := make(map[string]bool)
	for r := range restarted {
		if noted[r] {
			tasks[r.task] = true
		}
	}
	return len(tasks)
}

// runSteps: a job whose first step is wider than the service has room for, and each of whose steps
// depends on all earlier ones.
func runSteps(rec *record, trouble bool) (verdict, error) {
	const (
		workers, width = 48, 60
		stepCount      = 30
		smallJobs      = 10
		// trafficTime is for how long small jobs are handed in.
		trafficTime = 12 * time.Second
		// watchTime is how long the workers are watched after the last job was handed in.
		watchTime = 50 * time.Second
		// stall is how long nothing of a job may run beside room for it.
		stall = 3 * time.Second
	)
	d, err := startDeployment(program, rec, []site.Route{route("inkaso-core", 250)}, workerPlan{service: "inkaso-core", count: workers})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return verdict{}, err
	}
	pipeline := job{Spec: "1000", Steps: []step{{Count: width, Cpu: workerCPUMilli, MemMb: 1024, EstimateMs: 1000}}}
	for i := 1; i < stepCount; i++ {
		st := step{Count: 1, Cpu: 1000, MemMb: 256, EstimateMs: 1000}
		for k := range i {
			// Without the trouble each step depends on the one before it only.
			if trouble || k == i-1 {
				st.DependsOn = append(st.DependsOn, k)
			}
		}
		pipeline.Steps = append(pipeline.Steps, st)
	}
	if !d.submit(prefix+id(1), pipeline) {
		return verdict{}, errors.New("the job of many steps was not accepted")
	}
	accepted := []string{prefix + id(1)}
	for i, end := 0, time.Now().Add(trafficTime); i < smallJobs && time.Now().Before(end); i++ {
		path := prefix + id(2+i)
		if d.submitTimes(path, job{Spec: "200", Steps: []step{{Count: 4, Cpu: 500, MemMb: 256, EstimateMs: 200}}}, 2) {
			accepted = append(accepted, path)
		}
	}
	rec.line("the last job was handed in; %d are accepted", len(accepted))
	idle := make(chan time.Duration, 1)
	tasks := width + stepCount - 1 + 4*(len(accepted)-1)
	go func() { idle <- longestIdle(d, watchTime, func() bool { return countDone(d) < tasks }) }()
	time.Sleep(watchTime - finish)
	answers := d.askAll(accepted, finish)
	answered, succeeded := 0, 0
	for _, state := range answers {
		answered++
		if state == "succeeded" {
			succeeded++
		}
	}
	longest := <-idle
	rec.runs(d.site, func(string) bool { return true })
	return verdict{answered < len(accepted) || longest > stall,
		fmt.Sprintf("of %d accepted jobs %d got an answer to a GET within finish_s and %d are shown as succeeded; nothing ran on any of %d workers for %.1f s on end while jobs were unfinished (LOST)",
			len(accepted), answered, succeeded, workers, longest.Seconds())}, nil
}

// countDone returns how many tasks have succeeded.
func countDone(d *deployment) int {
	done := make(map[string]bool)
	for _, e := range d.site.Events() {
		if e.Kind == site.EventSuccess {
			done[e.Task] = true
		}
	}
	return len(done)
}

// askAll asks for all jobs at the same time, each again until it is answered or the time is over, and
// returns the states of those that were answered.
func (d *deployment) askAll(paths []string, most time.Duration) map[string]string {
	end := time.Now().Add(most)
	var mu sync.Mutex
	var wg sync.WaitGroup
	answers := make(map[string]string)
	for i, path := range paths {
		wg.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				n := d.nodes[(i+k)%len(d.nodes)]
				var reply struct{ State string }
				status := d.callAt(n, http.MethodGet, path, nil, &reply)
				d.record.line("client: GET %s at %s: %d %s", path, n.name, status, reply.State)
				if status == http.StatusOK {
					mu.Lock()
					answers[path] = reply.State
					mu.Unlock()
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return answers
}

// longestIdle watches the workers, and returns for how long on end nothing ran on any of them while
// there was unfinished work.
func longestIdle(d *deployment, most time.Duration, unfinished func() bool) (longest time.Duration) {
	busyAt := time.Now()
	for end := time.Now().Add(most); time.Now().Before(end) && unfinished(); time.Sleep(50 * time.Millisecond) {
		for _, w := range d.workers {
			if w.RunningTasks() > 0 {
				busyAt = time.Now()
				break
			}
		}
		longest = max(longest, time.Since(busyAt))
	}
	return longest
}

// runCancel: the store goes down while a job of lasting tasks is submitted, carries the write out late,
// and meanwhile the client cancels the job.
func runCancel(rec *record, trouble bool) (verdict, error) {
	const (
		// lateBy is how late the store carries the write out, and downTime how long it is down.
		lateBy, downTime = 5800 * time.Millisecond, 2 * time.Second
		// patience is the client's deadline for the submission.
		patience = 1500 * time.Millisecond
		// cancelMax is cancel_ms.
		cancelMax = 3 * time.Second
	)
	d, err := startDeployment(program, rec, []site.Route{route("inkaso-core", 250)}, workerPlan{service: "inkaso-core", count: 48})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return verdict{}, err
	}
	path := prefix + id(1)
	began := time.Now()
	if trouble {
		d.site.Store.SetFaults(site.StoreFaults{Late: 1, LateBy: lateBy})
		time.AfterFunc(50*time.Millisecond, func() { d.site.Store.SetFaults(site.StoreFaults{Down: true}) })
		time.AfterFunc(downTime, func() {
			d.site.Store.SetFaults(site.StoreFaults{})
			rec.line("the store answers again")
		})
	}
	status := d.callWithin(d.nodes[0], patience, http.MethodPost, path, job{Spec: "400 lasting cpu=3400", Steps: []step{{Count: 8, Cpu: 3400, MemMb: 6200, EstimateMs: 400, LongRunning: true}}})
	rec.line("client: POST %s at %s: %d", path, d.nodes[0].name, status)
	time.Sleep(time.Until(began.Add(downTime + 50*time.Millisecond)))
	acknowledged := false
	for range 10 {
		status := d.callAt(d.nodes[3], http.MethodDelete, path, nil, nil)
		rec.line("client: DELETE %s at %s: %d", path, d.nodes[3].name, status)
		if acknowledged = status == http.StatusOK || status == http.StatusGone; acknowledged {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if !acknowledged {
		return verdict{}, errors.New("the cancel was not acknowledged")
	}
	cancelled := time.Now()
	time.Sleep(8 * time.Second)
	late := 0
	for _, e := range d.site.Events() {
		if e.Kind == site.EventStart && e.At.Sub(cancelled) > cancelMax {
			late++
		}
	}
	status, state := d.state(path)
	rec.line("client: GET %s: %d %s", path, status, state)
	running := 0
	for _, w := range d.workers {
		running += w.RunningTasks()
	}
	rec.runs(d.site, func(string) bool { return true })
	return verdict{late > 0 || running > 0, fmt.Sprintf("%d tasks of the cancelled job started later than cancel_ms after the acknowledgement, %d of them run %s after it (UNASKED)", late, running, (8 * time.Second).String())}, nil
}

// runSilent: some workers are cut off for 5.5 s, and the owner of the shard is killed at the same time.
func runSilent(rec *record, trouble bool) (verdict, error) {
	const (
		cutTime = 5500 * time.Millisecond
		offTime = 3500 * time.Millisecond
		jobs    = 6
	)
	d, err := startDeployment(program, rec, []site.Route{route("inkaso-core", 250)}, workerPlan{service: "inkaso-core", count: 48})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return verdict{}, err
	}
	for i := range jobs {
		two := []step{{Count: 4, Cpu: 1000, MemMb: 256, EstimateMs: 1000}, {Count: 4, Cpu: 1000, MemMb: 256, EstimateMs: 1000, DependsOn: []int{0}}}
		if !d.submit(prefix+id(1+i), job{Spec: "1000", Steps: two}) {
			return verdict{}, errors.New("a job was not accepted")
		}
	}
	if !waitFor(3*time.Second, func() bool { return countStarts(d) >= 4*jobs }) {
		return verdict{}, errors.New("the tasks did not start")
	}
	owner := d.owner()
	if owner == nil {
		return verdict{}, errors.New("no node owns the shard")
	}
	if trouble {
		// 8 of 48 workers, on which nothing runs.
		cut := 0
		for _, w := range d.workers {
			if cut < 8 && w.RunningTasks() == 0 {
				d.cut(w, cutTime)
				cut++
			}
		}
		rec.line("%d workers on which nothing runs are cut off for %s; %s, which owns the shard, loses power for %s", cut, cutTime, owner.name, offTime)
		d.mu.Lock()
		d.offUntil = time.Now().Add(offTime)
		d.mu.Unlock()
		owner.kill()
	}
	idle := longestIdle(d, 14*time.Second, func() bool { return countDone(d) < 8*jobs })
	rec.runs(d.site, func(string) bool { return true })
	return verdict{idle > 3*time.Second, fmt.Sprintf("nothing of %d jobs ran for %.2f s on end beside 40 empty workers (LOST)", jobs, idle.Seconds())}, nil
}

// owner returns the node that owns the shard, by what nodes tell each other.
func (d *deployment) owner() *node {
	for _, n := range d.nodes {
		res, err := d.client.Post("http://"+n.peers+"/peer/v2/ping", "application/json", strings.NewReader("{}"))
		if err != nil {
			continue
		}
		var reply struct {
			Owns []struct {
				Shard string `json:"shard"`
			} `json:"owns"`
		}
		err = json.NewDecoder(res.Body).Decode(&reply)
		_ = res.Body.Close()
		if err == nil && len(reply.Owns) > 0 {
			return n
		}
	}
	return nil
}
