// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Order is a policy for the order of waiting work, for comparison with the one in use.
type Order struct {
	Name string
	ordering
}

// The compared orders.
var (
	OrderInUse = Order{"lateness", byLateness}
	// OrderEDF orders by due time alone, and OrderEDFYields does so with reservations that yield.
	OrderEDF       = Order{"earliest due time", byDue}
	OrderEDFYields = Order{"same, with yielding", ordering{func(*Shard, time.Time) {}, true}}
	// OrderLostLast is OrderEDF with the work that is of no use any more last.
	OrderLostLast = Order{"lost work last", ordering{func(s *Shard, now time.Time) {
		s.orderBy(now, func(j *job, remaining time.Duration) Lateness {
			if lateness(now, j.rank, remaining) == OfNoUse {
				return OfNoUse
			}
			return InTime
		})
	}, true}}
	// OrderLateLast puts late jobs behind others also if they have begun.
	OrderLateLast = Order{"late work last", ordering{func(s *Shard, now time.Time) {
		s.orderBy(now, func(j *job, remaining time.Duration) Lateness {
			return lateness(now, j.rank, remaining)
		})
	}, true}}
	// OrderMostInTime is the algorithm of Moore and Hodgson.
	OrderMostInTime = Order{"most jobs in time", ordering{(*Shard).orderMostInTime, true}}
	// OrderLeastSlack orders by due time less the remaining time.
	OrderLeastSlack = Order{"least slack", ordering{func(s *Shard, now time.Time) {
		if !s.overloaded {
			return
		}
		slices.SortStableFunc(s.active, func(a, b *job) int {
			slackOf := func(j *job) time.Duration { return j.rank.Due.Sub(now) - s.remainingPath(now, j) }
			return cmp.Or(cmp.Compare(a.rank.Priority, b.rank.Priority), cmp.Compare(slackOf(a), slackOf(b)))
		})
	}, true}}
)

// UseOrder makes the shard order its jobs by another policy.
func (s *Shard) UseOrder(o Order) { s.ordering = o.ordering }

// orderBy sets the lateness of all jobs and sorts them.
func (s *Shard) orderBy(now time.Time, f func(j *job, remaining time.Duration) Lateness) {
	for _, j := range s.active {
		j.rank.Lateness = InTime
		if s.overloaded && j.hasObjective() {
			j.rank.Lateness = f(j, s.remainingPath(now, j))
		}
	}
	s.sortActive()
}

// orderMostInTime puts the jobs behind others that the algorithm of Moore and Hodgson rejects:
// whenever a job is projected to be late, the one with the most work that has not begun.
func (s *Shard) orderMostInTime(now time.Time) {
	byDue := slices.Clone(s.active)
	slices.SortStableFunc(byDue, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.rank.Priority, b.rank.Priority), a.rank.Due.Compare(b.rank.Due))
	})
	capacity := 0.0
	for _, w := range s.workerList {
		capacity += float64(w.info.Capacity.CPUMilli)
	}
	rejected, chosen, ahead := make(map[*job]Lateness), []*job(nil), 0.0
	for _, j := range byDue {
		chosen = append(chosen, j)
		ahead += s.remainingWork(j)
		for j.hasObjective() {
			drained := time.Duration(ahead / capacity * float64(time.Second))
			l := lateness(now, j.rank, max(drained, s.remainingPath(now, j)))
			largest := s.largestNotBegun(chosen, j.rank.Priority)
			if l == InTime || largest < 0 {
				break
			}
			x := chosen[largest]
			rejected[x] = max(Late, lateness(now, x.rank, s.remainingPath(now, x)))
			ahead -= s.remainingWork(x)
			chosen = slices.Delete(chosen, largest, largest+1)
			if x == j {
				break
			}
		}
	}
	s.orderBy(now, func(j *job, _ time.Duration) Lateness { return rejected[j] })
}

// largestNotBegun returns the last of the jobs of a priority with the most work among those that
// have not begun, or -1.
func (s *Shard) largestNotBegun(jobs []*job, priority int) int {
	best, most := -1, 0.0
	for i, j := range jobs {
		if work := s.remainingWork(j); !j.keepsTurn() && j.rank.Priority == priority && work >= most {
			best, most = i, work
		}
	}
	return best
}

// remainingWork returns the milli-CPU x seconds that the job's tasks still need.
func (s *Shard) remainingWork(j *job) (sum float64) {
	for st := range j.steps() {
		sum += float64(st.spec.Count-st.done) * float64(st.spec.Need.CPUMilli) * s.expectedTime(st).Seconds()
	}
	return sum
}
