// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/resource"
)

// advice is what the advice service has said of a step. Which workers are good
// never changes; only their tickets run out.
type advice struct {
	answers map[string]answer
	// asked are the workers that open calls name, but for those that have started again
	// since, and calls how many are open.
	asked   map[string]bool
	calls   int
	retryAt time.Time
}

type answer struct {
	good    bool
	ticket  string
	expires time.Time
}

const (
	// ticketMargin is taken off a ticket's validity: the answer's way here, and
	// the order's way to the worker behind others.
	ticketMargin = 250 * time.Millisecond
	// maxAsked is the most workers that one call may name (the service's limit).
	maxAsked = 100
	// minAsked spreads the base cost of a call, which far outweighs that of a
	// worker, over enough workers to find a few good ones.
	minAsked = 10
	// firstGoodShare is assumed of a queue until its first answers are in;
	// sites have from 0.35 to 0.7.
	firstGoodShare = 0.4
	// callsLasting is how many calls a step of tasks that last may have open, so that workers
	// which come into use one after the other need not wait for the answer about the first.
	callsLasting = 3
	// adviceRetry is the pause after a call that failed.
	adviceRetry = 60 * time.Millisecond
	// prefetchSlack is how much earlier than needed the next step's advice is asked for.
	prefetchSlack = 250 * time.Millisecond
	// prefetchBefore is how long before a repeat is due its steps are looked at, so
	// that the advice for its first ones is there in time.
	prefetchBefore = time.Second
)

func (a *advice) discard(worker string) {
	if ans, ok := a.answers[worker]; ok {
		ans.ticket, ans.expires = "", time.Time{}
		a.answers[worker] = ans
	}
}

// needsTicket reports whether starts of the step must bring a ticket.
func (st *step) needsTicket() bool { return st.job.spec.Policy.Advice != nil }

// ticket returns the valid ticket for a worker, if any.
func (st *step) ticket(now time.Time, worker string) (string, bool) {
	ans := st.advice.answers[worker]
	return ans.ticket, ans.good && now.Before(ans.expires)
}

// ask asks for advice on workers for n tasks of a step, unless a call is open.
// With mustFit, only workers that have room for a task are named.
func (s *Shard) ask(now time.Time, st *step, n int, mustFit bool) bool {
	if !st.mayAsk(now) {
		return false
	}
	return s.askAbout(now, st, s.adviceCandidates(now, st, n, mustFit, func(candidate) bool { return true }))
}

// mayAsk reports whether the step may have another call open now.
func (st *step) mayAsk(now time.Time) bool {
	most := 1
	if st.spec.LongRunning {
		most = callsLasting
	}
	return st.advice.calls < most && !now.Before(st.advice.retryAt)
}

// askAbout asks for advice on workers, if there are any and no call is open.
func (s *Shard) askAbout(now time.Time, st *step, names []string) bool {
	if len(names) == 0 || !st.mayAsk(now) {
		return false
	}
	if st.advice.asked == nil {
		st.advice.asked = make(map[string]bool)
	}
	for _, id := range names {
		st.advice.asked[id] = true
	}
	st.advice.calls++
	s.counts.AdviceCalls++
	s.emit(RequestAdvice{Step: st.id, Workers: names, ExpectedDuration: st.job.spec.Policy.Advice.Duration(len(names)), Rank: st.job.rank})
	return true
}

// askOthers asks for advice on workers of which nothing is known, until those for n more
// tasks of a gang should be found, whether they have room now or not.
func (s *Shard) askOthers(now time.Time, st *step, n int) bool {
	unknown := func(c candidate) bool { return !c.known }
	return s.askAbout(now, st, s.adviceCandidates(now, st, n, false, unknown))
}

// candidate is a worker that a call of the advice service may name.
type candidate struct {
	w *worker
	// known workers are good for the step, but their ticket has run out.
	known bool
	// fits is how many tasks of the step have room there.
	fits int64
}

// adviceCandidates picks the workers to ask about, until they are expected to
// have room for n tasks, of those that are wanted.
func (s *Shard) adviceCandidates(now time.Time, st *step, n int, mustFit bool, wanted func(candidate) bool) []string {
	share := s.goodShare[st.job.spec.Queue]
	if share == 0 {
		share = firstGoodShare
	}
	enough := float64(n)
	if st.spec.Gang {
		enough *= gangChoice
	}
	var names []string
	expect := 0.0
	for _, c := range s.candidates(now, st, mustFit) {
		if len(names) == maxAsked || (len(names) >= minAsked && expect >= enough) {
			break
		}
		if !wanted(c) {
			continue
		}
		gain := float64(max(c.fits, 0))
		if !c.known {
			gain *= share * adviceCaution
		}
		expect += gain
		names = append(names, c.w.info.ID)
	}
	return names
}

// candidates returns the workers that may be asked about: good ones whose ticket
// has run out first, then unknown ones, those with the most room first.
func (s *Shard) candidates(now time.Time, st *step, mustFit bool) []candidate {
	var list []candidate
	for _, w := range s.order {
		ans, known := st.advice.answers[w.info.ID]
		if st.advice.asked[w.info.ID] || (known && !ans.good) || (ans.good && now.Before(ans.expires)) || !s.couldHold(now, w, st) {
			continue
		}
		fits := countFits(w, now, st)
		if mustFit && fits == 0 {
			continue
		}
		list = append(list, candidate{w, known, fits})
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		switch {
		case a.known != b.known && a.known:
			return -1
		case a.known != b.known:
			return 1
		}
		return int(b.fits - a.fits)
	})
	return list
}

// gangChoice is for how many times its members a gang asks: all must find room at once,
// and a call that finds too little of it costs half a second more. Of 238 gangs of two
// calm days on 98 workers 15 were late with it, and 25 without.
const gangChoice = 2.0

// adviceCaution discounts the expected room of unknown workers: room that is
// there when the call is made is partly taken by others when it returns.
const adviceCaution = 0.6

// countFits returns how many tasks of a step the room that is free on a worker holds.
func countFits(w *worker, now time.Time, st *step) int64 { return fitsIn(w.free(now, st), st) }

// fitsIn returns how many tasks of a step some room on one worker holds.
func fitsIn(free resource.Amount, st *step) int64 {
	need := st.spec.Allocation()
	n := int64(st.spec.Count)
	for _, p := range [][2]int64{{free.CPUMilli, need.CPUMilli}, {free.MemoryMB, need.MemoryMB}, {free.Accelerators, need.Accelerators}} {
		if p[1] > 0 {
			n = min(n, p[0]/p[1])
		}
	}
	if limit := int64(st.spec.MaxPerWorker); limit > 0 {
		n = min(n, limit)
	}
	return max(n, 0)
}

// AdviceReplied takes the answer that the advice service gave at a time, or nil tickets and an error.
func (s *Shard) AdviceReplied(at time.Time, id StepID, asked []string, tickets []cluster.Ticket, validFor time.Duration, err error) {
	j := s.jobs[id.Job]
	if j == nil || id.Repeat >= len(j.reps) {
		return
	}
	st := j.reps[id.Repeat].steps[id.Step]
	st.advice.calls--
	asked, tickets = st.advice.present(asked, tickets)
	if err != nil {
		st.advice.retryAt = at.Add(adviceRetry)
		s.log.Info("advice not given", events.AdviceFailed, zap.String("job", id.Job), zap.Int("step", id.Step), zap.Error(err))
		return
	}
	if validFor <= 0 {
		validFor = time.Duration(j.spec.Policy.Advice.ValidMS) * time.Millisecond
	}
	if st.advice.answers == nil {
		st.advice.answers = make(map[string]answer)
	}
	fresh := 0
	for _, w := range asked {
		if _, known := st.advice.answers[w]; !known {
			fresh++
			st.advice.answers[w] = answer{}
		}
	}
	good := 0
	for _, t := range tickets {
		if !st.advice.answers[t.Worker].good {
			good++
		}
		st.advice.answers[t.Worker] = answer{good: true, ticket: t.Value, expires: at.Add(validFor - ticketMargin)}
	}
	if fresh >= minAsked {
		s.learnGoodShare(j.spec.Queue, float64(good)/float64(fresh))
	}
	s.log.Info("advice given", events.AdviceGiven, zap.String("job", id.Job), zap.Int("step", id.Step),
		zap.Int("asked", len(asked)), zap.Int("good", len(tickets)))
}

// present returns what an answer says of workers that have not started again since they were
// asked about, and notes that its call is no longer open.
func (a *advice) present(asked []string, tickets []cluster.Ticket) ([]string, []cluster.Ticket) {
	gone := func(id string) bool { return !a.asked[id] }
	asked = slices.DeleteFunc(slices.Clone(asked), gone)
	tickets = slices.DeleteFunc(slices.Clone(tickets), func(t cluster.Ticket) bool { return gone(t.Worker) })
	for _, id := range asked {
		delete(a.asked, id)
	}
	return asked, tickets
}

// learnGoodShare takes the share of one answer into the queue's running mean.
func (s *Shard) learnGoodShare(queue string, share float64) {
	if old := s.goodShare[queue]; old > 0 {
		share = old + goodShareGain*(share-old)
	}
	s.goodShare[queue] = max(share, minGoodShare)
}

const (
	// goodShareGain is the weight of one answer in the running mean.
	goodShareGain = 0.1
	// minGoodShare keeps an unlucky run of answers from asking about everything.
	minGoodShare = 0.1
)

// prefetch asks for the next step's advice shortly before its predecessors end.
func (s *Shard) prefetch(now time.Time, st *step) {
	if !st.needsTicket() || len(st.advice.answers) > 0 || st.advice.calls > 0 || now.Before(st.rep.due.Add(-prefetchBefore)) {
		return
	}
	cost := st.job.spec.Policy.Advice.Duration(minAsked * 2)
	for _, k := range st.spec.After {
		if !s.endsWithin(now, st.rep.steps[k], cost+prefetchSlack) {
			return
		}
	}
	s.ask(now, st, st.spec.Count, false)
}

// endsWithin reports whether all tasks of a step are expected to end within d.
func (s *Shard) endsWithin(now time.Time, st *step, d time.Duration) bool {
	for _, t := range st.tasks {
		if t.done {
			continue
		}
		if len(t.runs) == 0 || s.remaining(now, t.runs[0]) > d {
			return false
		}
	}
	return true
}
