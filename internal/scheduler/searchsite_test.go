// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/scheduler"
)

// tick is how often the workers of a play report and decisions are taken.
const tick = 100 * time.Millisecond

// trouble is what befalls a worker for some seconds.
type trouble uint8

const (
	healthy trouble = iota
	failsAll
	standsStill
	crawling
	silent
	busy
	entryBad
	drains
	dies
	numberTroubles
)

var troubleNames = [numberTroubles]string{
	"is sound", "fails what it starts", "lets nothing come on", "crawls", "is silent", "is busy", "has an invalid entry", "drains", "dies",
}

// machine is a worker's life in a play, beside its own view, which the rig has.
type machine struct {
	info     cluster.Worker
	trouble  trouble
	until    time.Time
	deadline int64
	// over is the highest run of a task that ended or was stopped here.
	over map[cluster.TaskID]int64
	// leaves is when a draining worker's life ends; zero: it doesn't drain.
	leaves time.Time
	// clockFrom is the zero of the worker's clock, and tellAt when its directory entry is
	// read next; zero: it has been.
	clockFrom, tellAt time.Time
}

// clock is the reading of a worker's steady clock.
func (p *play) clock(m *machine) int64 {
	if m.clockFrom.IsZero() {
		return p.now.UnixMilli()
	}
	return p.now.Sub(m.clockFrom).Milliseconds()
}

// playRun is a run that a worker has taken.
type playRun struct {
	at   time.Time
	work float64
	// endsAt is when it fails; zero: it doesn't.
	endsAt time.Time
	// failsFrom is the share of its work after which it fails; 0: it doesn't.
	failsFrom float64
}

// playJob is a job of a play, of one step.
type playJob struct {
	spec  cluster.Job
	takes time.Duration
	// share is the share of the workers that advice allows.
	share float64
	// fails is set if a task that lasts fails by itself, or if a batch can't be done.
	fails bool
	// taken is set once the owner has it, and ended once it has ended.
	taken, ended bool
}

func (j *playJob) step() *cluster.Step { return &j.spec.Steps[0] }

// call is a call for advice that is open.
type call struct {
	scheduler.Advise
	at time.Time
}

type playKey struct {
	task cluster.TaskID
	run  int64
}

// allows reports whether advice allows a worker to a job.
func (p *play) allows(j *playJob, worker string) bool {
	if j.spec.Policy.Advice == nil {
		return true
	}
	h := fnv.New64a()
	_, err := fmt.Fprintf(h, "%d %s %s", p.seed, j.spec.ID, worker)
	if err != nil {
		panic("a hash takes all bytes: " + err.Error())
	}
	return rand.New(rand.NewPCG(h.Sum64(), 0)).Float64() < j.share //nolint:gosec // Each play must repeat.
}

// between draws a time.
func (p *play) between(least, most time.Duration) time.Duration {
	return least + time.Duration(p.rng.Float64()*float64(most-least))
}

// chance is true once in so many times as 1/x.
func (p *play) chance(x float64) bool { return p.rng.Float64() < x }

// join begins a worker's life.
func (p *play) join() {
	id := fmt.Sprintf("w%d", p.joined)
	p.joined++
	p.workers[id] = &fake{}
	p.machines[id] = &machine{over: make(map[cluster.TaskID]int64), info: cluster.Worker{
		ID: id, Address: id, Service: "svc", Rack: fmt.Sprintf("r1-%d", p.rng.IntN(p.racks)), Labels: []string{"a"},
		Capacity: resource.Amount{CPUMilli: p.cores, MemoryMB: 2 * p.cores},
	}}
	p.tell(id)
}

// leave ends a worker's life, and begins another one.
func (p *play) leave(id string) {
	for _, e := range slices.Clone(p.workers[id].running) {
		p.end(id, e.Task, e.Run, cluster.OutcomeStopped)
		p.ranUntil(e.Task)
	}
	delete(p.workers, id)
	delete(p.machines, id)
	if p.owned() {
		p.shard.WorkerOver(p.now, id, "its machine says so")
	}
	p.join()
}

// tell lets the owner read a worker's entry.
func (p *play) tell(id string) {
	if !p.owned() {
		return
	}
	m := p.machines[id]
	info := m.info
	info.ClockMS = p.clock(m)
	if !m.leaves.IsZero() {
		info.Draining, info.Remaining = true, m.leaves.Sub(p.now)
	}
	p.shard.UpsertWorker(p.now, info)
	if m.trouble == entryBad {
		p.shard.EntryInvalid(p.now, id)
	}
}

// befall begins and ends troubles.
func (p *play) befall() {
	for _, id := range p.names() {
		m := p.machines[id]
		switch {
		case !m.leaves.IsZero() && p.now.After(m.leaves):
			p.leave(id)
			continue
		case m.trouble != healthy && (p.calm() || p.now.After(m.until)):
			if m.trouble == dies {
				p.leave(id)
				continue
			}
			p.change(id, healthy)
		case m.trouble == healthy && !p.calm() && p.chance(p.troubled):
			m.until = p.now.Add(p.between(time.Second, 12*time.Second))
			p.change(id, p.troubles[p.rng.IntN(len(p.troubles))])
		}
	}
}

// change lets a trouble begin or end.
func (p *play) change(id string, to trouble) {
	m := p.machines[id]
	if to == drains && m.leaves.IsZero() {
		m.leaves = p.now.Add(5 * time.Second)
		p.tellStory("%s drains", id)
		p.tell(id)
		return
	}
	p.tellStory("%s %s", id, troubleNames[to])
	was := m.trouble
	m.trouble = to
	p.workers[id].mute = to == silent || to == dies
	if was == entryBad || to == entryBad {
		p.tell(id)
	}
}

// used returns the room that is in use on a worker: by what lasts, or by all.
func (p *play) used(id string, lastsOnly bool) (sum resource.Amount) {
	for _, e := range p.workers[id].running {
		if st := p.byID[e.Task.Job].step(); st.LongRunning || !lastsOnly {
			sum = sum.Add(st.Room())
		}
	}
	return sum
}

// report lets every worker answer its hold.
func (p *play) report() {
	for _, id := range p.names() {
		f, m := p.workers[id], p.machines[id]
		seq, order, seen, ok := p.shard.HoldSent(p.now, id)
		if !ok {
			continue
		}
		if f.mute {
			p.shard.HoldFailed(p.now, id, "silent")
			continue
		}
		if order.Started == m.info.Started {
			// Neither reaches another life.
			m.deadline = max(m.deadline, order.DeadlineMS)
			f.seen = max(f.seen, seen)
		}
		f.ended = slices.DeleteFunc(f.ended, func(e cluster.RunEnd) bool { return e.N <= f.seen })
		p.shard.Observe(p.now, id, seq, cluster.Report{
			Started: m.info.Started, ClockMS: p.clock(m), Running: slices.Clone(f.running), Ended: slices.Clone(f.ended),
		})
	}
}

// carryOut carries out what a round of decisions has given.
func (p *play) carryOut(commands []scheduler.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case scheduler.Start:
			p.shard.StartReplied(p.now, c.Worker, c.Task, c.Run, p.begin(c))
		case scheduler.Stop:
			p.shard.StopReplied(p.now, c.Worker, c.Task, c.Run, p.stop(c))
		case scheduler.Advise:
			p.calls = append(p.calls, call{c, p.now.Add(c.Takes)})
		}
	}
}

// begin lets a worker take a start or not.
func (p *play) begin(c scheduler.Start) cluster.Reply {
	m, f := p.machines[c.Worker], p.workers[c.Worker]
	switch {
	case m == nil:
		return cluster.ReplyOtherLife
	case f.mute:
		return cluster.ReplyUnknown
	case c.Run <= m.over[c.Task]:
		return cluster.ReplyOld
	case m.trouble == busy:
		return cluster.ReplyBusy
	}
	m.deadline = max(m.deadline, c.DeadlineMS)
	j := p.byID[c.Task.Job]
	st := j.step()
	if j.spec.Policy.Advice != nil && (!p.ticketHolds(c.Ticket) || p.rejects()) {
		return cluster.ReplyTicket
	}
	if !m.info.Capacity.Sub(p.used(c.Worker, false)).Fits(st.Room()) || p.rejects() {
		return cluster.ReplyRoom
	}
	if on, ok := p.where[c.Task]; ok {
		p.fail("%v starts on %s and runs on %s", c.Task, c.Worker, on)
	}
	f.running = append(f.running, cluster.RunStatus{Task: c.Task, Run: c.Run})
	p.where[c.Task] = c.Worker
	p.runs[playKey{c.Task, c.Run}] = p.newRun(j, m)
	if p.rejects() {
		return cluster.ReplyUnknown
	}
	if c.Started != m.info.Started {
		return cluster.ReplyNewLife
	}
	return cluster.ReplyOK
}

// newRun draws what becomes of a run.
func (p *play) newRun(j *playJob, m *machine) *playRun {
	r := &playRun{at: p.now}
	lasts := j.step().LongRunning
	switch {
	case m.trouble == failsAll:
		r.endsAt = p.now.Add(p.between(50*time.Millisecond, 400*time.Millisecond))
	case lasts && j.fails && !p.final():
		r.endsAt = p.now.Add(p.between(200*time.Millisecond, 10*time.Second))
	case !lasts && j.fails:
		r.failsFrom = 0.5
	case !lasts && !p.calm() && p.chance(0.05):
		r.failsFrom = 0.1 + 0.8*p.rng.Float64()
	}
	return r
}

// rejects draws whether something goes wrong with a start.
func (p *play) rejects() bool { return !p.calm() && p.chance(p.rejecting) }

// ticketHolds reports whether a ticket, whose value is its end, is valid.
func (p *play) ticketHolds(value string) bool {
	ms, err := strconv.ParseInt(value, 10, 64)
	return err == nil && p.now.UnixMilli() <= ms
}

// stop lets a worker stop a run.
func (p *play) stop(c scheduler.Stop) cluster.Reply {
	m, f := p.machines[c.Worker], p.workers[c.Worker]
	switch {
	case m == nil:
		return cluster.ReplyOtherLife
	case f.mute:
		return cluster.ReplyUnknown
	}
	m.over[c.Task] = max(m.over[c.Task], c.Run)
	p.endRun(c.Worker, c.Task, c.Run, cluster.OutcomeStopped)
	return cluster.ReplyOK
}

// endRun ends a run on a worker, if it is there.
func (p *play) endRun(id string, task cluster.TaskID, run int64, how cluster.Outcome) {
	if !slices.ContainsFunc(p.workers[id].running, func(e cluster.RunStatus) bool { return e.Task == task && e.Run == run }) {
		return
	}
	p.machines[id].over[task] = max(p.machines[id].over[task], run)
	p.end(id, task, run, how)
	p.ranUntil(task)
	if p.byID[task.Job].step().LongRunning {
		p.tellStory("%v run %d on %s ends %s", task, run, id, how)
	}
}

// ranUntil notes that a task runs no more.
func (p *play) ranUntil(task cluster.TaskID) { delete(p.where, task) }

// workOn lets all that runs come on, and ends what is due.
func (p *play) workOn() {
	members := make(map[playKey]int)
	for _, id := range p.names() {
		for _, e := range p.workers[id].running {
			if p.speed(id) > 0 {
				members[playKey{cluster.TaskID{Job: e.Task.Job}, e.Run}]++
			}
		}
	}
	for _, id := range p.names() {
		m := p.machines[id]
		lapsed := p.clock(m) > m.deadline
		for _, e := range slices.Clone(p.workers[id].running) {
			r := p.runs[playKey{e.Task, e.Run}]
			if lapsed {
				p.endRun(id, e.Task, e.Run, cluster.OutcomeLapsed)
				continue
			}
			whole := members[playKey{cluster.TaskID{Job: e.Task.Job}, e.Run}] == p.byID[e.Task.Job].step().Count
			if how := p.advance(id, e, r, whole); how != "" {
				p.endRun(id, e.Task, e.Run, how)
				continue
			}
			p.showPercent(id, e, r)
		}
	}
}

// showPercent lets a worker list how far a run has come.
func (p *play) showPercent(id string, e cluster.RunStatus, r *playRun) {
	for i := range p.workers[id].running {
		if o := &p.workers[id].running[i]; o.Task == e.Task && o.Run == e.Run {
			o.Percent = min(100, int(100*r.work))
		}
	}
}

// speed is how fast tasks come on at a worker.
func (p *play) speed(id string) float64 {
	const crawl = 0.15
	switch p.machines[id].trouble {
	case standsStill:
		return 0
	case crawling:
		return crawl
	}
	return 1
}

// advance lets a run come on for a tick, and returns how it ends, or "". The members of a
// gang come on together.
func (p *play) advance(id string, e cluster.RunStatus, r *playRun, whole bool) cluster.Outcome {
	const (
		startsIn    = 400 * time.Millisecond
		aloneFor    = 3 * time.Second
		gangCrawled = 0.15
	)
	j := p.byID[e.Task.Job]
	st, takes, speed := j.step(), j.takes, p.speed(id)
	if st.LongRunning {
		takes = startsIn
	}
	if st.Gang {
		switch {
		case !whole && p.now.Sub(r.at) > aloneFor && r.work == 0:
			return cluster.OutcomeAlone
		case !whole:
			speed = 0
		case p.gangCrawls(e):
			speed = gangCrawled
		}
	}
	r.work += speed * tick.Seconds() / takes.Seconds()
	switch {
	case !r.endsAt.IsZero() && !p.now.Before(r.endsAt) && (!st.LongRunning || !p.final()):
		return cluster.OutcomeFailed
	case st.LongRunning:
		return ""
	case r.failsFrom > 0 && r.work >= r.failsFrom:
		return cluster.OutcomeFailed
	case r.work >= 1:
		return cluster.OutcomeDone
	}
	return ""
}

// gangCrawls reports whether a member of a gang's run is on a worker that crawls.
func (p *play) gangCrawls(e cluster.RunStatus) bool {
	for x := range p.byID[e.Task.Job].step().Count {
		if m := p.machines[p.where[cluster.TaskID{Job: e.Task.Job, Index: x}]]; m != nil && m.trouble == crawling {
			return true
		}
	}
	return false
}

// answerCalls answers the calls for advice that are due.
func (p *play) answerCalls() {
	open := p.calls
	p.calls = nil
	for _, c := range open {
		if p.now.Before(c.at) {
			p.calls = append(p.calls, c)
			continue
		}
		if p.rejects() {
			p.shard.Advised(p.now, c.Step, c.Workers, nil, 0, errNoAdvice)
			continue
		}
		j := p.byID[c.Step.Job]
		valid := time.Duration(j.spec.Policy.Advice.ValidMS) * time.Millisecond
		var tickets []cluster.Ticket
		for _, w := range c.Workers {
			if p.allows(j, w) {
				tickets = append(tickets, cluster.Ticket{Worker: w, Value: strconv.FormatInt(p.now.Add(valid).UnixMilli(), 10)})
			}
		}
		p.shard.Advised(p.now, c.Step, c.Workers, tickets, valid, nil)
	}
}
