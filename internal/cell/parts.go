// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/internal/tables"
)

// The load that this file addresses: parts of the store answer with resets, or not at all, while
// others work. A submission whose write gets no answer occupies its caller until the deadline and
// ends with an unknown outcome. Submissions in a part that is away are refused before anything is
// written, and few at a time are written in a part until it is known to answer.

const (
	// partProbeInterval is the minimum time between two probes of a part that is away while
	// submissions come for it: a part is back for callers this long after it answers.
	partProbeInterval = 100 * time.Millisecond
	// idleProbeInterval is the time between the probes of a part that is away and for which no
	// submissions come, and maxIdleProbes how many parts are probed at once: a large site with
	// 25 parts away gets 25 reads a second from each node.
	idleProbeInterval = time.Second
	maxIdleProbes     = 8
	// partProbeWait is how long the submission that probes a part that is away waits for the
	// answer, which takes 4 ms.
	partProbeWait = 150 * time.Millisecond
	// maxFirstAttempts is how many submissions may be written at once in one part: an outage of
	// the part holds no more of them on this node. While the store is 100 times slower, a write
	// takes 0.7 s, and 80 jobs a second on three nodes are 0.3 at once in each of 64 parts.
	maxFirstAttempts = 4
)

// storeParts tracks the parts of the store and admits submissions to them.
type storeParts struct {
	log *zap.Logger

	mu     sync.Mutex
	health *tables.PartHealth
	// probes holds the running probe of each part.
	probes map[string]*partProbe
	// writers holds the submissions in each part that has any.
	writers map[string]*partWriters
}

// partProbe is a read that shows whether a part answers.
type partProbe struct {
	// done is closed at the end of the probe, and failed then tells whether the part did not
	// answer. A probe that was given up in a slow store has not failed.
	done   chan struct{}
	failed bool
}

// partWriters are the submissions that are being written in a part.
type partWriters struct {
	// writing counts the submissions that are being written, and waiting those that wait for
	// their turn.
	writing, waiting int
	// changed is closed and replaced when a submission ends or the part is found to be away.
	changed chan struct{}
}

func newStoreParts(log *zap.Logger) *storeParts {
	return &storeParts{log: log, health: tables.NewPartHealth(), probes: make(map[string]*partProbe), writers: make(map[string]*partWriters)}
}

// record notes the outcome of a call of a part. A call that its own caller has ended says
// nothing: a slow store answers later. The part without a name holds the rows of the nodes, which
// all nodes need, and is probed with the store as a whole.
func (p *storeParts) record(ctx context.Context, part string, sent, storeAnswered time.Time, err error) {
	answered := err == nil || tables.IsFinal(err)
	if part == "" || (!answered && ctx.Err() != nil) {
		return
	}
	now := time.Now()
	p.mu.Lock()
	var outage time.Duration
	var away, back bool
	if answered {
		outage, back = p.health.Answered(part, now)
	} else {
		away = p.health.Failed(part, sent, now, storeAnswered)
	}
	if w := p.writers[part]; w != nil && away {
		w.wake()
	}
	p.mu.Unlock()
	switch {
	case away:
		p.log.Warn("part of the store does not answer", events.StorePartAway, zap.String("part", part), zap.Bool("away", true),
			zap.Duration("took", now.Sub(sent)), zap.Error(err))
	case back:
		p.log.Info("part of the store answers again", events.StorePartAway, zap.String("part", part), zap.Bool("away", false), zap.Duration("outage", outage))
	}
}

// reset forgets which parts have failed, after the store as a whole was down.
func (p *storeParts) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health.Reset()
}

// suspect notes that parts are away for another node.
func (p *storeParts) suspect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health.Suspect(time.Now())
}

// countAway returns how many parts are away.
func (p *storeParts) countAway() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.health.Away()
}

// isAway reports whether a part is away.
func (p *storeParts) isAway(part string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.health.State(part, time.Now()) == tables.PartAway
}

// enter admits a submission to a part: it waits while too many are being written there, until
// the part is found to be away or ctx ends. The submission must call leave at its end.
func (p *storeParts) enter(ctx context.Context, part string) (leave func(), ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.writers[part]
	if w == nil {
		w = &partWriters{changed: make(chan struct{})}
		p.writers[part] = w
	}
	for w.writing >= maxFirstAttempts && ctx.Err() == nil && p.health.State(part, time.Now()) != tables.PartAway {
		w.waiting++
		changed := w.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		p.mu.Lock()
		w.waiting--
	}
	if ctx.Err() != nil || p.health.State(part, time.Now()) == tables.PartAway {
		p.dropIdle(part, w)
		return nil, false
	}
	w.writing++
	return func() { p.leave(part, w) }, true
}

// leave ends a submission.
func (p *storeParts) leave(part string, w *partWriters) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.writing--
	w.wake()
	p.dropIdle(part, w)
}

// wake lets the submissions that wait look again. The caller holds mu of the parts.
func (w *partWriters) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// dropIdle forgets the writers of a part that has none. The caller holds mu.
func (p *storeParts) dropIdle(part string, w *partWriters) {
	if w.writing == 0 && w.waiting == 0 {
		delete(p.writers, part)
	}
}

// partAnswers reports whether a part is expected to answer. A part that is away is probed if a
// probe is due, and otherwise taken not to answer at once. A part that is suspected is read
// first, since a read without an answer leaves nothing unknown.
func (s *watchedStore) partAnswers(ctx context.Context, part string) bool {
	now := time.Now()
	s.parts.mu.Lock()
	state := s.parts.health.State(part, now)
	due := state == tables.PartAway && s.parts.health.StartProbe(part, now, partProbeInterval)
	s.parts.mu.Unlock()
	switch {
	case state == tables.PartAnswers:
		return true
	case state == tables.PartSuspect:
		probe := s.probePart(part)
		select {
		case <-probe.done:
			return !probe.failed
		case <-ctx.Done():
			return false
		}
	case !due:
		return false
	}
	probe := s.probePart(part)
	select {
	case <-probe.done:
	case <-time.After(partProbeWait):
	case <-ctx.Done():
	}
	return !s.parts.isAway(part)
}

// probeIfDue probes a part that is away, without waiting for the answer.
func (s *watchedStore) probeIfDue(part string, interval time.Duration) {
	s.parts.mu.Lock()
	due := s.parts.health.StartProbe(part, time.Now(), interval)
	s.parts.mu.Unlock()
	if due {
		s.probePart(part)
	}
}

// probeIdleParts probes parts that are away and that no submission probes.
func (s *watchedStore) probeIdleParts() {
	s.parts.mu.Lock()
	due := s.parts.health.DueProbes(time.Now(), idleProbeInterval, maxIdleProbes)
	s.parts.mu.Unlock()
	for _, part := range due {
		s.probeIfDue(part, idleProbeInterval)
	}
}

// probePart reads a part in the background, or returns the probe that is doing so. Its failure
// says nothing about the store as a whole.
func (s *watchedStore) probePart(part string) *partProbe {
	s.parts.mu.Lock()
	defer s.parts.mu.Unlock()
	if running := s.parts.probes[part]; running != nil {
		return running
	}
	probe := &partProbe{done: make(chan struct{})}
	s.parts.probes[part] = probe
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		sent := time.Now()
		err := s.readPart(ctx, part)
		s.parts.record(ctx, part, sent, s.lastAnswer(), err)
		s.parts.mu.Lock()
		defer s.parts.mu.Unlock()
		probe.failed = err != nil && !tables.IsFinal(err) && ctx.Err() == nil
		delete(s.parts.probes, part)
		close(probe.done)
	}()
	return probe
}

// readPart reads a part. While the store is available to this node, it doesn't read through
// peers, each of which would wait for a silent part again.
func (s *watchedStore) readPart(ctx context.Context, part string) error {
	list := s.relay.List
	if s.relay.DirectAvailable() {
		list = s.relay.ListDirect
	}
	_, err := list(ctx, tables.ListRequest{Table: owner.TablePins, Part: part, Limit: 1})
	return err
}
