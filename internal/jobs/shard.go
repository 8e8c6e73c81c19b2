// SPDX-License-Identifier: Apache-2.0

package jobs

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/journal"
	"switchbank.example/switchbank/internal/peer"
	"switchbank.example/switchbank/internal/shard"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindNotOwner means that this node does not certainly own the shard now.
	KindNotOwner Kind = "not_owner"
	// KindUnavailable means that the store takes no writes now.
	KindUnavailable Kind = "store_unavailable"
	// KindNotFound means that there is no such workload.
	KindNotFound Kind = "not_found"
	// KindConflict means that a different workload has the same ID.
	KindConflict Kind = "conflict"
	// KindCorrupt means that a record or snapshot cannot be encoded or decoded.
	KindCorrupt Kind = "corrupt"
	// KindTooManyKeys and KindTooManyJobs mean that the shard stores as many as it may.
	KindTooManyKeys Kind = "too_many_keys"
	KindTooManyJobs Kind = "too_many_workloads"
	// KindUncertain means that a change may or may not have become durable.
	KindUncertain Kind = "uncertain"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("jobs: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of an error of this package, or "".
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// waitStatus is the reason why a job's tasks wait, and the jobs that are scheduled before
// it.
type waitStatus struct {
	reason string
	ahead  []string
}

// Shard is one job shard under one epoch.
type Shard struct {
	grant   shard.Grant
	journal *journal.Committer
	stream  *journal.Stream
	opts    Options
	log     *zap.Logger

	mu    sync.Mutex
	state *State
	// lastAppend is the most recent append. Once it is durable, so is any state that was
	// read under the same lock.
	lastAppend *journal.Pending
	// changed is closed and replaced at each change of the state.
	changed chan struct{}
	// waitStatuses holds the wait status of each job from the last round.
	waitStatuses map[string]waitStatus
	// snapshotting is set while a snapshot is being stored.
	snapshotting bool
}

// openShard opens the journal of a shard and loads its state.
func openShard(ctx context.Context, g shard.Grant, c *journal.Committer, opts Options, log *zap.Logger) (*Shard, error) {
	stream, rec, err := c.Open(ctx, string(g.Key), g.Epoch, g.Version)
	if err != nil {
		return nil, err
	}
	st, err := LoadState(rec.Snapshot, rec.Records)
	if err != nil {
		return nil, err
	}
	return &Shard{
		grant: g, journal: c, stream: stream, opts: opts, state: st,
		log:          log.With(zap.String("shard", string(g.Key)), zap.Int64("epoch", g.Epoch)),
		changed:      make(chan struct{}),
		waitStatuses: make(map[string]waitStatus),
	}, nil
}

// writeLocked appends records to the journal and applies them to the state. They are
// durable once waitDurable(ctx, sh.lastAppend) returns nil.
func (sh *Shard) writeLocked(recs ...Record) error {
	if len(recs) == 0 {
		return nil
	}
	if !sh.grant.Held() {
		return &Error{"write", KindNotOwner, errors.New(string(sh.grant.Key))}
	}
	raws := make([]json.RawMessage, len(recs))
	for i, r := range recs {
		raw, err := json.Marshal(r)
		if err != nil {
			return &Error{"write", KindCorrupt, err}
		}
		raws[i] = raw
	}
	p, err := sh.journal.Append(sh.stream, raws...)
	if journal.IsKind(err, journal.KindUnavailable) {
		return &Error{"write", KindUnavailable, err}
	}
	if err != nil {
		return &Error{"write", KindNotOwner, err}
	}
	sh.lastAppend = p
	for _, r := range recs {
		sh.state.Apply(r)
	}
	close(sh.changed)
	sh.changed = make(chan struct{})
	return nil
}

// waitDurable waits until an append is durable. A nil append already is.
func waitDurable(ctx context.Context, p *journal.Pending) error {
	if p == nil {
		return nil
	}
	if err := p.Wait(ctx); err != nil {
		return &Error{"write", KindUncertain, err}
	}
	return nil
}

// appendRecords journals records and applies them, without waiting until they are durable.
func (sh *Shard) appendRecords(recs ...Record) (*journal.Pending, error) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	err := sh.writeLocked(recs...)
	return sh.lastAppend, err
}

// create adds a workload. Creating the same workload again changes nothing.
func (sh *Shard) create(ctx context.Context, w api.Workload) (api.Status, error) {
	sh.mu.Lock()
	if j, ok := sh.state.Jobs[w.ID]; ok {
		same := reflect.DeepEqual(canonical(j.Spec), canonical(w))
		st, pending := j.Status(false), sh.lastAppend
		sh.mu.Unlock()
		if !same {
			return api.Status{}, &Error{"create", KindConflict, errors.Errorf("another workload is named %s", w.ID)}
		}
		return st, waitDurable(ctx, pending)
	}
	if len(sh.state.Jobs) >= sh.opts.MaxJobs {
		sh.mu.Unlock()
		return api.Status{}, &Error{"create", KindTooManyJobs, errors.Errorf("the shard keeps %d", sh.opts.MaxJobs)}
	}
	err := sh.writeLocked(Record{Admit: &Admit{Workload: w, At: time.Now().UTC()}})
	var st api.Status
	if err == nil {
		st = sh.state.Jobs[w.ID].Status(false)
	}
	pending := sh.lastAppend
	sh.mu.Unlock()
	if err != nil {
		return api.Status{}, err
	}
	return st, waitDurable(ctx, pending)
}

// canonical returns w with its deadline in a form in which equal times are equal under
// reflect.DeepEqual.
func canonical(w api.Workload) api.Workload {
	w.Deadline = w.Deadline.UTC().Round(0)
	return w
}

// get returns a workload once its revision is above since or ctx ends.
func (sh *Shard) get(ctx context.Context, id string, since int64, tasks bool) (api.Status, error) {
	for {
		sh.mu.Lock()
		j, ok := sh.state.Jobs[id]
		changed, pending := sh.changed, sh.lastAppend
		if !ok {
			sh.mu.Unlock()
			return api.Status{}, &Error{"get", KindNotFound, errors.New(id)}
		}
		st := j.Status(tasks)
		st.WaitReason, st.JobsAhead = sh.waitStatuses[id].reason, sh.waitStatuses[id].ahead
		sh.mu.Unlock()
		if st.Revision > since || ctx.Err() != nil {
			return st, waitDurableBriefly(ctx, pending)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return st, nil
		}
	}
}

// waitDurableBriefly waits a short time until an append is durable, so that a read does not
// return state that may yet be lost. It never fails: reads go on during an outage of the
// store.
func waitDurableBriefly(ctx context.Context, p *journal.Pending) error {
	const maxWait = 500 * time.Millisecond
	if p == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	_ = p.Wait(ctx)
	return nil
}

func (sh *Shard) list(team string) []api.Status {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var list []api.Status
	for id, j := range sh.state.Jobs {
		if team == "" || j.Spec.Team == team {
			st := j.Status(false)
			st.WaitReason = sh.waitStatuses[id].reason
			list = append(list, st)
		}
	}
	return list
}

// cancel cancels a workload. The caller stops its active tasks once the record is durable.
func (sh *Shard) cancel(ctx context.Context, id string) (api.Status, error) {
	sh.mu.Lock()
	j, ok := sh.state.Jobs[id]
	if !ok {
		sh.mu.Unlock()
		return api.Status{}, &Error{"cancel", KindNotFound, errors.New(id)}
	}
	var err error
	if !j.Cancelled && !j.State.Final() {
		err = sh.writeLocked(Record{Cancel: &Cancel{Job: id, At: time.Now().UTC()}})
	}
	st, pending := j.Status(false), sh.lastAppend
	sh.mu.Unlock()
	if err != nil {
		return api.Status{}, err
	}
	return st, waitDurable(ctx, pending)
}

// applyEvents journals the events that change the state, and returns nil once they are
// durable.
func (sh *Shard) applyEvents(ctx context.Context, evs []peer.Event) error {
	now := time.Now().UTC()
	sh.mu.Lock()
	var err error
	for _, ev := range evs {
		if !sh.state.Accepts(ev) {
			continue
		}
		if err = sh.writeLocked(Record{Event: &Event{Event: ev, At: now}}); err != nil {
			break
		}
		sh.logEvent(ev)
	}
	pending := sh.lastAppend
	sh.mu.Unlock()
	if err != nil {
		return err
	}
	return waitDurable(ctx, pending)
}

// logEvent logs a task whose result is unknown, and a job that failed.
func (sh *Shard) logEvent(ev peer.Event) {
	j, t := sh.state.task(ev.Attempt)
	if t == nil {
		return
	}
	if t.State == api.TaskUnknown {
		sh.log.Warn("task unknown", events.TaskUnknown, zap.Stringer("attempt", ev.Attempt), zap.String("reason", t.Reason))
	}
	if j.State == api.JobFailed {
		sh.log.Warn("job failed", events.JobFailed, zap.String("job", j.Spec.ID), zap.String("reason", j.Reason))
	}
}

// maybeSnapshot stores a snapshot of the state if the journal has reached SnapshotEvery.
func (sh *Shard) maybeSnapshot(ctx context.Context) {
	if sh.stream.BatchesToTrim() < sh.opts.SnapshotEvery {
		return
	}
	sh.mu.Lock()
	if sh.snapshotting || sh.lastAppend == nil || sh.journal.Down() {
		sh.mu.Unlock()
		return
	}
	sh.snapshotting = true
	data, err := json.Marshal(sh.state)
	pending := sh.lastAppend
	sh.mu.Unlock()
	if err == nil {
		err = sh.journal.Snapshot(ctx, sh.stream, data, pending)
	}
	if err != nil {
		sh.log.Warn("snapshot not stored", events.SnapshotNotStored, zap.Error(err))
	}
	sh.mu.Lock()
	sh.snapshotting = false
	sh.mu.Unlock()
}

// forgetExpired deletes workloads and keys whose retention is over.
func (sh *Shard) forgetExpired(now time.Time) {
	const maxForgotten = 500
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var f Forget
	for id, j := range sh.state.Jobs {
		if j.State.Final() && now.Sub(j.Ended) > sh.opts.Retention && len(f.Jobs) < maxForgotten {
			f.Jobs = append(f.Jobs, id)
		}
	}
	for id, k := range sh.state.Keys {
		if now.After(k.RetainUntil) && now.After(k.PendingUntil) && len(f.Keys) < maxForgotten {
			f.Keys = append(f.Keys, id)
		}
	}
	if len(f.Jobs)+len(f.Keys) == 0 {
		return
	}
	// A failed write is repeated the next time.
	_ = sh.writeLocked(Record{Forget: &f})
}
