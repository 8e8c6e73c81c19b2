// SPDX-License-Identifier: Apache-2.0

package forecast

import (
	"strconv"

	"github.com/pkg/errors"
)

const (
	// MaxFigure bounds each figure of a summary: 1e12 milli-CPU x seconds are the work of ten
	// million cores in 100 s.
	MaxFigure = 1_000_000_000_000
	// MaxQueueName bounds the name of a queue in a summary, in bytes.
	MaxQueueName = 256
)

// Validate checks a summary and names the first field that is not valid. A summary that is not
// valid has to be discarded.
func (s *Summary) Validate() error {
	if s.Version != SummaryVersion {
		return &Error{"validate", KindVersion, "v", errors.New("unknown version " + strconv.Itoa(s.Version))}
	}
	v := &validator{}
	v.figure("epoch", float64(s.Epoch))
	v.figure("capacity", float64(s.CapacityMilli))
	v.figure("free", float64(s.FreeMilli))
	v.check("capacity", s.CapacityMilli > 0, "must be positive")
	v.check("free", s.FreeMilli <= s.CapacityMilli, "must not exceed the capacity")
	v.check("lanes", len(s.Lanes) <= MaxLanes, "more than "+strconv.Itoa(MaxLanes))
	v.check("queues", len(s.Queues) <= MaxQueues, "more than "+strconv.Itoa(MaxQueues))
	for i := range s.Lanes {
		s.Lanes[i].validate(v)
		v.check("lanes", i == 0 || s.Lanes[i-1].Priority < s.Lanes[i].Priority, "must be sorted by priority")
	}
	for i := range s.Queues {
		s.Queues[i].validate(v)
	}
	return v.result()
}

func (l *Lane) validate(v *validator) {
	v.check("waiting", len(l.Waiting) == len(DueBounds)+1, "must have "+strconv.Itoa(len(DueBounds)+1)+" buckets")
	v.figure("running", float64(l.Running))
	v.figure("later", float64(l.NotReady))
	v.figure("latest", float64(l.LatestMS))
	v.figure("due", float64(l.DueMS))
	v.figure("arrival", float64(l.ArrivalMilli))
	for _, work := range l.Waiting {
		v.figure("waiting", float64(work))
	}
}

func (q *QueueStats) validate(v *validator) {
	v.check("queue", len(q.Queue) <= MaxQueueName, "name is too long")
	v.figure("ratio", q.Ratio)
	v.figure("approved", q.Approved)
	v.check("approved", q.Approved <= 1, "must not exceed 1")
	v.figure("delay_ms", float64(q.StartDelayMS))
	v.figure("bias", q.Bias)
	v.figure("low", q.Low)
	v.figure("p50", q.ErrorP50)
	v.figure("p90", q.ErrorP90)
}

// validator keeps the first error.
type validator struct{ err *Error }

func (v *validator) check(field string, ok bool, text string) {
	if !ok && v.err == nil {
		v.err = &Error{"validate", KindInvalid, field, errors.New(text)}
	}
}

// figure checks that x is a number from 0 to MaxFigure.
func (v *validator) figure(field string, x float64) {
	v.check(field, x >= 0 && x <= MaxFigure, "must be from 0 to 1e12: "+strconv.FormatFloat(x, 'g', 4, 64))
}

func (v *validator) result() error {
	if v.err == nil {
		return nil
	}
	return v.err
}
