// SPDX-License-Identifier: Apache-2.0

package fanout

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/recent"
)

// Helper is a node that calls workers for other nodes.
type Helper struct {
	Name string
	// URL is the address of its Server.
	URL string
}

// Config holds the settings and dependencies of a Client.
type Config struct {
	// Direct makes the calls that don't go through a helper.
	Direct Workers
	// Helpers returns the nodes that help with the calls of the given number of workers;
	// needed is false if the owner makes them itself.
	Helpers func(workers int) (list []Helper, needed bool)
	// Workers is the expected number of workers before they have been called.
	Workers int
	// OnFailure is called with the name of a helper that has failed.
	OnFailure func(name string)
	Client    *http.Client
	Log       *zap.Logger
}

const (
	// chooseInterval is the time after which the helpers are chosen again, since nodes come
	// and go.
	chooseInterval = time.Second
	// chooseGrowth is the growth of the number of workers at which the helpers are chosen
	// again at once.
	chooseGrowth = 2
	// suspectTime is how long a helper that has failed is avoided.
	suspectTime = 2 * time.Second
	// directTime is how long a worker that didn't answer its helper is called directly: long
	// enough for the next hold, which tells whether the owner reaches it.
	directTime = 500 * time.Millisecond
	// maxHelperAttempts is how many helpers are tried for one call before it is made
	// directly.
	maxHelperAttempts = 2
	// workerExpiry is how long after its last call a worker no longer counts.
	workerExpiry = 5 * time.Second
)

// Client calls the workers of one owner. It implements Workers.
type Client struct {
	Config
	ctx  context.Context
	stop context.CancelFunc
	// began is the start of the clock for the times that calls carry.
	began time.Time

	mu sync.Mutex
	// lastCall is when each worker was last called.
	lastCall map[string]time.Time
	helpers  []Helper
	// chosenAt is when the helpers were last chosen, and chosenFor the number of workers they
	// were chosen for.
	chosenAt  time.Time
	chosenFor int
	streams   map[string]*stream
	// suspectUntil is the time until which a failed helper is avoided, and directUntil the
	// time until which a worker is called directly.
	suspectUntil, directUntil map[string]time.Time
	// overdue is for how long helpers were overdue lately though they were up.
	overdue recent.Max
}

// New returns a Client. The caller has to close it.
func New(cfg Config) *Client {
	c := &Client{
		Config: cfg, began: time.Now(), lastCall: make(map[string]time.Time), streams: make(map[string]*stream),
		suspectUntil: make(map[string]time.Time), directUntil: make(map[string]time.Time),
	}
	c.ctx, c.stop = context.WithCancel(context.Background())
	return c
}

// Close closes the connections to all helpers.
func (c *Client) Close() { c.stop() }

// Start orders a run.
func (c *Client) Start(ctx context.Context, order cluster.StartOrder) cluster.Reply {
	m := newCall(opStart, order.Order)
	m.Task, m.Run, m.Spec, m.Checkpoint, m.Ticket = order.Task.String(), order.Run, order.Spec, order.Checkpoint, order.Ticket
	return c.dispatch(ctx, m).Reply
}

// Stop orders a run to stop.
func (c *Client) Stop(ctx context.Context, order cluster.Order, task cluster.TaskID, run int64) cluster.Reply {
	m := newCall(opStop, order)
	m.Task, m.Run = task.String(), run
	return c.dispatch(ctx, m).Reply
}

// Pace sets the percentage of its full speed at which a run works.
func (c *Client) Pace(ctx context.Context, order cluster.Order, task cluster.TaskID, run int64, percent int) cluster.Reply {
	m := newCall(opPace, order)
	m.Task, m.Run, m.Percent = task.String(), run, percent
	return c.dispatch(ctx, m).Reply
}

// Hold renews the lease, confirms ended runs, and reads which runs are active and which have
// ended.
func (c *Client) Hold(ctx context.Context, order cluster.Order, lastSeen int64, wait time.Duration) (cluster.Report, cluster.Reply) {
	m := newCall(opHold, order)
	m.LastSeen, m.WaitMS = lastSeen, wait.Milliseconds()
	a := c.dispatch(ctx, m)
	if a.Report == nil {
		return cluster.Report{}, a.Reply
	}
	r, err := a.Report.decode()
	if err != nil {
		c.Log.Warn("failed to decode worker report", events.HelperFailed, zap.String("worker", order.Worker), zap.Error(err))
		return cluster.Report{}, cluster.ReplyInvalid
	}
	return r, a.Reply
}

// dispatch makes a call through a helper, through another one if that fails, and directly if
// there is no helper. If all helpers fail at once, the owner's own link is the likely cause,
// and direct calls would only fill it, so none is made. A worker that receives a call twice
// gives the same answer, since runs and their ends have numbers.
func (c *Client) dispatch(ctx context.Context, m call) answer {
	began, maySent := time.Now(), false
	for range maxHelperAttempts {
		s := c.streamFor(m.Worker)
		if s == nil {
			break
		}
		m.SentMS, m.LimitMS = time.Since(c.began).Milliseconds(), remainingMS(ctx)
		a, ok := s.call(ctx, m)
		switch {
		case ok && a.Reply == cluster.ReplyNotSent:
			c.callDirectly(m.Worker)
			continue
		case ok && a.Reply == cluster.ReplyUnknown && m.Op == opHold:
			c.callDirectly(m.Worker)
			return a
		case ok:
			return finalAnswer(a, maySent)
		}
		c.dropOnce(s)
		if ctx.Err() != nil {
			return answer{Reply: cluster.ReplyUnknown}
		}
		maySent = true
		m.WaitMS = max(0, m.WaitMS-time.Since(began).Milliseconds())
	}
	if maySent && c.hasHelpers() {
		return answer{Reply: cluster.ReplyUnknown}
	}
	return finalAnswer(m.execute(ctx, c.Direct), maySent)
}

// hasHelpers reports whether any helper is chosen.
func (c *Client) hasHelpers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.helpers) > 0
}

// finalAnswer returns the answer to a call. If an earlier helper may have made the call
// already, an answer that nothing was done only holds for the last attempt, and the outcome
// is unknown.
func finalAnswer(a answer, maySent bool) answer {
	if !maySent {
		return a
	}
	switch a.Reply {
	case cluster.ReplyOK, cluster.ReplyFenced, cluster.ReplyOtherIncarnation, cluster.ReplyNewIncarnation:
		return a
	}
	return answer{Reply: cluster.ReplyUnknown}
}

// callDirectly makes the owner call a worker itself for a while after the worker didn't
// answer its helper: the helper may be the node that is cut off.
func (c *Client) callDirectly(worker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directUntil[worker] = time.Now().Add(directTime)
}

// remainingMS returns the time left for a call, in milliseconds.
func remainingMS(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultCallTimeout.Milliseconds()
	}
	return max(1, time.Until(deadline).Milliseconds())
}

// defaultCallTimeout bounds a call without a deadline.
const defaultCallTimeout = 3 * time.Second

// streamFor returns the connection to a worker's helper, or nil if the worker is called
// directly. Workers are assigned to helpers by rendezvous hash, so that few workers change
// theirs when the helpers change.
func (c *Client) streamFor(worker string) *stream {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastCall[worker] = now
	if now.Before(c.directUntil[worker]) || c.ctx.Err() != nil {
		return nil
	}
	if now.Sub(c.chosenAt) >= chooseInterval || len(c.lastCall) > chooseGrowth*c.chosenFor {
		c.chooseHelpers(now)
	}
	best := c.helperFor(worker, now)
	if best == nil {
		return nil
	}
	if s := c.streams[best.Name]; s != nil && s.ctx.Err() != nil {
		// The stream has failed, but no call has recorded it yet.
		c.drop(s)
		best = c.helperFor(worker, now)
	}
	return c.streamTo(*best)
}

// helperFor returns the helper of a worker. One that failed recently is used only if all
// have. The caller holds mu.
func (c *Client) helperFor(worker string, now time.Time) *Helper {
	var best *Helper
	var most uint64
	var bestSuspect bool
	for i := range c.helpers {
		h := &c.helpers[i]
		suspect, weight := now.Before(c.suspectUntil[h.Name]), xxhash.Sum64String(h.Name+"/"+worker)
		if best == nil || (bestSuspect && !suspect) || (bestSuspect == suspect && weight > most) {
			best, most, bestSuspect = h, weight, suspect
		}
	}
	return best
}

// chooseHelpers chooses the helpers again. The caller holds mu.
func (c *Client) chooseHelpers(now time.Time) {
	c.chosenAt = now
	for id, at := range c.lastCall {
		if now.Sub(at) > workerExpiry {
			delete(c.lastCall, id)
			delete(c.directUntil, id)
		}
	}
	c.chosenFor = max(len(c.lastCall), c.Workers)
	list, needed := c.Helpers(c.chosenFor)
	if needed && len(list) == 0 {
		// No node answers, so this node is probably cut off. Its current helpers may still be
		// up: keep them.
		return
	}
	c.helpers = list
	used := make(map[string]bool, len(c.helpers))
	for _, h := range c.helpers {
		used[h.Name] = true
	}
	for name, s := range c.streams {
		if !used[name] {
			s.fail(&Error{"choose", KindBroken, context.Canceled})
			delete(c.streams, name)
		}
	}
}

// streamTo returns the connection to a helper, and opens one if there is none. A connection
// that has just failed is returned too: the call on it fails and marks the helper as suspect.
// Replacing it here would leave the helper in use, and calls that had failed on the old
// connection would be sent to it again. The caller holds mu.
func (c *Client) streamTo(h Helper) *stream {
	s := c.streams[h.Name]
	if s == nil {
		s = openStream(c.ctx, c.Client, h, func() time.Duration { return c.silenceLimit(h.Name) }, c.observeOverdue)
		c.streams[h.Name] = s
	}
	return s
}

// silenceLimit returns how long a helper may be silent: less if another helper has been heard
// recently, and more if helpers have been late.
func (c *Client) silenceLimit(name string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	usual := min(silencePerDelay*c.overdue.Value(time.Now()), maxHelperSilence)
	for other, s := range c.streams {
		if other != name && s.silentFor(time.Time{}) < max(helperSilence, usual/2) {
			return max(helperSilence, usual)
		}
	}
	return max(allHelpersSilence, usual)
}

// observeOverdue records for how long a helper was overdue that is heard again.
func (c *Client) observeOverdue(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overdue.Observe(time.Now(), d)
}

// dropOnce records that a connection has ended, unless that has been recorded before.
func (c *Client) dropOnce(s *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[s.helper.Name] == s {
		c.drop(s)
	}
}

// drop removes a connection that has ended, and avoids its helper for a while. The caller
// holds mu.
func (c *Client) drop(s *stream) {
	delete(c.streams, s.helper.Name)
	c.suspectUntil[s.helper.Name] = time.Now().Add(suspectTime)
	if c.ctx.Err() == nil {
		c.OnFailure(s.helper.Name)
		c.Log.Info("helper failed", events.HelperFailed, zap.String("peer", s.helper.Name), zap.Error(context.Cause(s.ctx)))
	}
}
