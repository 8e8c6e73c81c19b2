// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"slices"
	"time"
)

// This file decides in which order calls for advice are sent. By rank alone, calls would wait for as long
// as more urgent ones keep coming; by age alone, urgent ones would wait behind all that came before.

const (
	// standingPatience is how long a job may stand before its call takes its turn by that, and may go to
	// nodes that are kept for short calls. queuePatience is the same for how long the call itself waits,
	// whether its job stands or not.
	standingPatience = time.Second
	queuePatience    = 1500 * time.Millisecond
	// minRankTurns is how many calls in a row go by their urgency while others are late, and maxRankTurns the
	// same while more are late than there are nodes. The service then bears less than is asked for, and if
	// all went by age, all jobs would end late.
	minRankTurns, maxRankTurns = 1, 15
)

// waitsSince returns since when the call's job has been standing, or else since when the call waits.
func (p *pendingCall) waitsSince() time.Time {
	if p.StandsSince.IsZero() || p.queuedAt.Before(p.StandsSince) {
		return p.queuedAt
	}
	return p.StandsSince
}

// isLate reports whether the call has waited, or its job has been standing, for too long.
func (p *pendingCall) isLate(now time.Time) bool {
	return (!p.StandsSince.IsZero() && now.Sub(p.StandsSince) >= standingPatience) || now.Sub(p.queuedAt) >= queuePatience
}

// turn is a call in the order in which calls are sent.
type turn struct {
	call *pendingCall
	// late is set if the call is late, and byAge if it is its turn by that.
	late, byAge bool
}

// turns returns the waiting calls in the order in which they are sent: the most urgent ones, and
// after some of them the one of those that are late that has waited longest. Repeated attempts go first. The caller holds mu.
func (q *AdviceQueue) turns(now time.Time, nodes int) []turn {
	var order []turn
	var ranked, late []turn
	for _, p := range q.pending {
		t := turn{call: p, late: p.isLate(now)}
		if p.repeats != nil {
			order = append(order, t)
			continue
		}
		ranked = append(ranked, t)
		if t.late {
			late = append(late, t)
		}
	}
	slices.SortStableFunc(late, func(a, b turn) int { return a.call.waitsSince().Compare(b.call.waitsSince()) })
	taken := make(map[*pendingCall]bool)
	rankTurns := minRankTurns
	if len(late) > nodes {
		rankTurns = maxRankTurns
	}
	for turns := q.rankTurns; ; turns++ {
		byAge, list := turns >= rankTurns, &ranked
		if byAge && len(late) > 0 {
			list, turns = &late, -1
		}
		for len(*list) > 0 && taken[(*list)[0].call] {
			*list = (*list)[1:]
		}
		if len(ranked) == 0 {
			return order
		}
		if len(*list) == 0 {
			continue
		}
		t := (*list)[0]
		t.byAge = byAge
		taken[t.call] = true
		order = append(order, t)
	}
}
