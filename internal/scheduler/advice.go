// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/resource"
)

// advice is what the advice service has said about a step. Which workers it approves
// never changes; only their tickets expire.
type advice struct {
	answers map[string]answer
	// pending are the workers in open calls, without those that have restarted since, and
	// openCalls is how many calls are open.
	pending   map[string]bool
	openCalls int
	retryAt   time.Time
	// calls is how many calls were requested, and requestedAt when the last one was.
	calls       int
	requestedAt time.Time
}

// answer is what the advice service has said about one worker.
type answer struct {
	approved bool
	ticket   string
	expires  time.Time
}

const (
	// ticketMargin is subtracted from a ticket's validity, for the time that the answer
	// takes to get here and the order, which may wait behind others, to get to the worker.
	ticketMargin = 250 * time.Millisecond
	// maxWorkersPerCall is the advice service's limit of workers in one call.
	maxWorkersPerCall = 100
	// minWorkersPerCall spreads the base cost of a call, which far outweighs the cost of
	// each worker, over enough workers to find a few that are approved.
	minWorkersPerCall = 10
	// initialApprovalRate is assumed for a queue until its first answers arrive; the
	// rates that were seen range from 0.35 to 0.7.
	initialApprovalRate = 0.4
	// maxCallsLongRunning is how many calls a long-running step may have open, so that
	// workers which become usable one after the other need not wait for the answer about
	// the first.
	maxCallsLongRunning = 3
	// adviceRetryDelay is the delay after a failed call.
	adviceRetryDelay = 60 * time.Millisecond
	// prefetchSlack is how much earlier than needed the next step's advice is requested.
	prefetchSlack = 250 * time.Millisecond
	// prefetchLead is how long before a repeat is due its steps are considered, so that
	// the advice for its first steps arrives in time.
	prefetchLead = time.Second
)

// discardTicket drops a ticket that its worker has rejected.
func (a *advice) discardTicket(worker string) {
	if ans, ok := a.answers[worker]; ok {
		ans.ticket, ans.expires = "", time.Time{}
		a.answers[worker] = ans
	}
}

// needsTicket reports whether starts of the step need a ticket.
func (st *step) needsTicket() bool { return st.job.spec.Policy.Advice != nil }

// ticket returns the valid ticket for a worker, if any.
func (st *step) ticket(now time.Time, worker string) (string, bool) {
	ans := st.advice.answers[worker]
	return ans.ticket, ans.approved && now.Before(ans.expires)
}

// requestAdvice requests advice on workers for n tasks of a step, and reports whether it
// did. With mustFit, only workers that have room for a task now are named.
func (s *Shard) requestAdvice(now time.Time, st *step, n int, mustFit bool) bool {
	if !st.mayRequestAdvice(now) {
		return false
	}
	return s.requestAdviceOn(now, st, s.adviceCandidates(now, st, n, mustFit, func(candidate) bool { return true }))
}

// mayRequestAdvice reports whether the step may open another call now.
func (st *step) mayRequestAdvice(now time.Time) bool {
	limit := 1
	if st.spec.LongRunning {
		limit = maxCallsLongRunning
	}
	return st.advice.openCalls < limit && !now.Before(st.advice.retryAt)
}

// requestAdviceOn requests advice on the given workers if there are any and another call
// may be opened, and reports whether it did.
func (s *Shard) requestAdviceOn(now time.Time, st *step, names []string) bool {
	if len(names) == 0 || !st.mayRequestAdvice(now) {
		return false
	}
	if st.advice.pending == nil {
		st.advice.pending = make(map[string]bool)
	}
	for _, id := range names {
		st.advice.pending[id] = true
	}
	st.advice.openCalls++
	st.advice.calls++
	st.advice.requestedAt = now
	s.counts.AdviceCalls++
	s.emit(RequestAdvice{Step: st.id, Workers: names, ExpectedDuration: st.job.spec.Policy.Advice.Duration(len(names)), Rank: st.job.rank, StandsSince: st.job.standsSince(now)})
	return true
}

// requestAdviceOnUnknown requests advice on enough workers not asked about before to
// place n more tasks of a gang, whether they have room now or not.
func (s *Shard) requestAdviceOnUnknown(now time.Time, st *step, n int) bool {
	unknown := func(c candidate) bool { return !c.approved }
	return s.requestAdviceOn(now, st, s.adviceCandidates(now, st, n, false, unknown))
}

// candidate is a worker that a call of the advice service may name.
type candidate struct {
	w *worker
	// approved workers only need a new ticket, since theirs has expired.
	approved bool
	// fits is how many tasks of the step have room there now.
	fits int64
}

// adviceCandidates picks the workers to ask about, among those that are wanted, until
// they are expected to have room for n tasks.
func (s *Shard) adviceCandidates(now time.Time, st *step, n int, mustFit bool, wanted func(candidate) bool) []string {
	rate := s.approvalRates[st.job.spec.Queue]
	if rate == 0 {
		rate = initialApprovalRate
	}
	enough := float64(n)
	if st.spec.Gang {
		enough *= gangOversampling
	}
	var names []string
	expected := 0.0
	for _, c := range s.candidates(now, st, mustFit) {
		if len(names) == maxWorkersPerCall || (len(names) >= minWorkersPerCall && expected >= enough) {
			break
		}
		if !wanted(c) {
			continue
		}
		gain := float64(max(c.fits, 0))
		if !c.approved {
			gain *= rate * unknownRoomFactor
		}
		expected += gain
		names = append(names, c.w.info.ID)
	}
	return names
}

// candidates returns the workers that may be asked about: approved ones whose ticket has
// expired first, then unknown ones, and of each those with the most room first.
func (s *Shard) candidates(now time.Time, st *step, mustFit bool) []candidate {
	var list []candidate
	for _, w := range s.workerList {
		ans, known := st.advice.answers[w.info.ID]
		if st.advice.pending[w.info.ID] || (known && !ans.approved) || (ans.approved && now.Before(ans.expires)) || !s.fitsWhenIdle(now, w, st) {
			continue
		}
		fits := tasksThatFit(w, now, st)
		if mustFit && fits == 0 {
			continue
		}
		list = append(list, candidate{w, known, fits})
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		switch {
		case a.approved != b.approved && a.approved:
			return -1
		case a.approved != b.approved:
			return 1
		}
		return cmp.Or(cmp.Compare(b.w.speedScore(st), a.w.speedScore(st)), cmp.Compare(b.fits, a.fits))
	})
	return list
}

// gangOversampling is for how many times its members a gang asks. All must find room at
// once, and a call that finds too little costs another half second: of 238 gangs on 98
// workers 15 were late with it, and 25 without.
const gangOversampling = 2.0

// unknownRoomFactor discounts the expected room of unknown workers: some of the room that
// is there when the call is made is taken by others when it returns.
const unknownRoomFactor = 0.6

// tasksThatFit returns how many tasks of a step fit in a worker's free room.
func tasksThatFit(w *worker, now time.Time, st *step) int64 { return fitsIn(w.freeFor(now, st), st) }

// fitsIn returns how many tasks of a step fit in some room on one worker.
func fitsIn(free resource.Amount, st *step) int64 {
	most := int64(st.spec.Count)
	if limit := int64(st.spec.MaxPerWorker); limit > 0 {
		most = min(most, limit)
	}
	return free.Count(st.spec.Allocation(), most)
}

// AdviceReplied takes the reply that the advice service gave at a time: tickets for the
// approved workers among those asked about, or an error.
func (s *Shard) AdviceReplied(at time.Time, id StepID, asked []string, tickets []cluster.Ticket, validFor time.Duration, err error) {
	j := s.jobs[id.Job]
	if j == nil {
		return
	}
	st := j.openStep(id)
	if st == nil {
		return
	}
	st.advice.openCalls--
	asked, tickets = st.advice.finishCall(asked, tickets)
	if err != nil {
		st.advice.retryAt = at.Add(adviceRetryDelay)
		s.log.Info("call for advice failed", events.AdviceFailed, zap.String("job", id.Job), zap.Int("step", id.Step), zap.Error(err))
		return
	}
	if validFor <= 0 {
		validFor = time.Duration(j.spec.Policy.Advice.ValidMS) * time.Millisecond
	}
	if st.advice.answers == nil {
		st.advice.answers = make(map[string]answer)
	}
	newAnswers := 0
	for _, w := range asked {
		if _, known := st.advice.answers[w]; !known {
			newAnswers++
			st.advice.answers[w] = answer{}
		}
	}
	newApprovals := 0
	for _, t := range tickets {
		if !st.advice.answers[t.Worker].approved {
			newApprovals++
		}
		st.advice.answers[t.Worker] = answer{approved: true, ticket: t.Value, expires: at.Add(validFor - ticketMargin)}
	}
	if newAnswers >= minWorkersPerCall {
		s.updateApprovalRate(j.spec.Queue, float64(newApprovals)/float64(newAnswers))
	}
	s.log.Info("advice received", events.AdviceGiven, zap.String("job", id.Job), zap.Int("step", id.Step),
		zap.Int("asked", len(asked)), zap.Int("good", len(tickets)))
}

// finishCall records that a call has returned, and returns its arguments without the
// workers that have restarted since, for which the answer does not hold.
func (a *advice) finishCall(asked []string, tickets []cluster.Ticket) ([]string, []cluster.Ticket) {
	replaced := func(id string) bool { return !a.pending[id] }
	asked = slices.DeleteFunc(slices.Clone(asked), replaced)
	tickets = slices.DeleteFunc(slices.Clone(tickets), func(t cluster.Ticket) bool { return replaced(t.Worker) })
	for _, id := range asked {
		delete(a.pending, id)
	}
	return asked, tickets
}

// updateApprovalRate adds the rate of one answer to the queue's running mean.
func (s *Shard) updateApprovalRate(queue string, rate float64) {
	if old := s.approvalRates[queue]; old > 0 {
		rate = old + approvalRateWeight*(rate-old)
	}
	s.approvalRates[queue] = max(rate, minApprovalRate)
}

const (
	// approvalRateWeight is the weight of one answer in the running mean.
	approvalRateWeight = 0.1
	// minApprovalRate keeps a series of rejections from making every call name all
	// workers.
	minApprovalRate = 0.1
)

// prefetch requests advice for a step shortly before the steps that it depends on end.
func (s *Shard) prefetch(now time.Time, st *step) {
	if !st.needsTicket() || len(st.advice.answers) > 0 || st.advice.openCalls > 0 || now.Before(st.repeat.due.Add(-prefetchLead)) {
		return
	}
	cost := st.job.spec.Policy.Advice.Duration(minWorkersPerCall * 2)
	for _, k := range st.openDependencies() {
		if in, known := s.expectedEnd(now, st.repeat.steps[k]); !known || in > cost+prefetchSlack {
			return
		}
	}
	s.requestAdvice(now, st, st.spec.Count, false)
}
