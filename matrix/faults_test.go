// SPDX-License-Identifier: Apache-2.0

package matrix_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"switchbank.example/switchbank/internal/platform"
	standin "switchbank.example/switchbank/standin/platform"
)

const (
	// outage is how long a fault lasts, longer than the leases of nodes and tasks.
	outage = 18 * time.Second
	// hostListDelay is how long the host list reports a dead worker as live.
	hostListDelay = 5 * time.Second
	// takeoverDelay lies after the takeover of a dead node's shards and within the lease of
	// a task, so that an order of the old owner arrives while its ticket is still valid.
	takeoverDelay = 5500 * time.Millisecond
	// burstDelay is the time after which the requests of a burst are being worked on.
	burstDelay = 50 * time.Millisecond
)

// fault is a row of the matrix. Its inject is called when the step is reached: node is the
// node that reached it, and to the worker or peer that its message goes to, if any.
type fault struct {
	name   string
	inject func(c *cluster, s *scenario, node, to string) messageFault
	// cutsAnswers means that requests in flight may end with an unknown outcome.
	cutsAnswers bool
	// needsMessage means that the fault applies only to steps that are messages.
	needsMessage bool
	// duplicates means that the fault sends a message twice. Calls of an instance are left
	// out: such a call is one exchange on one TCP connection, which the network cannot
	// duplicate.
	duplicates bool
}

// healAfterOutage runs fn, which ends a fault, after the outage.
func healAfterOutage(c *cluster, fn func()) {
	c.unhealed.Add(1)
	go func() {
		defer c.unhealed.Add(-1)
		if sleep(c.ctx, outage); c.ctx.Err() == nil {
			fn()
		}
	}()
}

// targetWorker returns the worker that a fault hits: the one that the message goes to, or
// w0 if it goes elsewhere.
func (c *cluster) targetWorker(to string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targetWorkerLocked(to)
}

func (c *cluster) targetWorkerLocked(to string) string {
	if _, ok := c.workers[to]; ok {
		return to
	}
	return "w0"
}

var faults []fault

func init() { faults = allFaults() }

func allFaults() []fault {
	return []fault{
		{name: "node killed", cutsAnswers: true, inject: func(c *cluster, _ *scenario, node, _ string) messageFault {
			c.kill(node)
			healAfterOutage(c, func() { c.startNode(c.unusedName(node)) })
			return messageFault{}
		}},
		{name: "node paused past its lease", cutsAnswers: true, inject: func(c *cluster, _ *scenario, node, _ string) messageFault {
			c.net.Pause(node)
			healAfterOutage(c, func() { c.net.Resume(node) })
			return messageFault{}
		}},
		{name: "worker dead", cutsAnswers: true, inject: func(c *cluster, _ *scenario, _, to string) messageFault {
			c.killWorker(c.targetWorker(to), hostListDelay)
			return messageFault{}
		}},
		{name: "worker cut from its owner only", cutsAnswers: true, inject: func(c *cluster, _ *scenario, node, to string) messageFault {
			w := c.targetWorker(to)
			c.net.SetPartitioned(node, w, true)
			healAfterOutage(c, func() { c.net.SetPartitioned(node, w, false) })
			return messageFault{}
		}},
		{name: "node cut from the store only", inject: func(c *cluster, _ *scenario, node, _ string) messageFault {
			c.net.SetPartitioned(node, platformHost, true)
			healAfterOutage(c, func() { c.net.SetPartitioned(node, platformHost, false) })
			return messageFault{}
		}},
		{name: "node cut from its peers only", cutsAnswers: true, inject: func(c *cluster, _ *scenario, node, _ string) messageFault {
			for _, n := range c.live() {
				if n.name != node {
					c.net.SetPartitioned(node, n.name, true)
					healAfterOutage(c, func() { c.net.SetPartitioned(node, n.name, false) })
				}
			}
			return messageFault{}
		}},
		{name: "store down", inject: func(c *cluster, _ *scenario, _, _ string) messageFault {
			c.plat.SetFaults(standin.Faults{Down: true})
			healAfterOutage(c, func() { c.plat.SetFaults(standin.Faults{}) })
			return messageFault{}
		}},
		{name: "store slow", inject: func(c *cluster, _ *scenario, _, _ string) messageFault {
			c.plat.SetFaults(standin.Faults{DelayMS: 700})
			healAfterOutage(c, func() { c.plat.SetFaults(standin.Faults{}) })
			return messageFault{}
		}},
		{name: "store reply lost", inject: func(c *cluster, _ *scenario, _, _ string) messageFault {
			c.plat.SetFaults(standin.Faults{LoseReplies: 3})
			return messageFault{}
		}},
		{name: "message delayed", needsMessage: true, inject: func(_ *cluster, _ *scenario, _, _ string) messageFault {
			return messageFault{delay: 2 * time.Second}
		}},
		{name: "message delayed past the lease", needsMessage: true, cutsAnswers: true, inject: func(_ *cluster, _ *scenario, _, _ string) messageFault {
			return messageFault{delay: outage}
		}},
		{name: "message doubled, the second late", needsMessage: true, duplicates: true, inject: func(_ *cluster, _ *scenario, _, _ string) messageFault {
			return messageFault{copyDelay: outage + time.Second}
		}},
		{name: "message doubled at once", needsMessage: true, duplicates: true, inject: func(_ *cluster, _ *scenario, _, _ string) messageFault {
			return messageFault{sendTwice: true}
		}},
		{name: "reply of message lost", needsMessage: true, cutsAnswers: true, inject: func(_ *cluster, _ *scenario, _, _ string) messageFault {
			return messageFault{loseReply: true}
		}},
		{name: "node cut from store and peers", cutsAnswers: true, inject: func(c *cluster, _ *scenario, node, _ string) messageFault {
			faultByName("node cut from the store only").inject(c, nil, node, "")
			return faultByName("node cut from its peers only").inject(c, nil, node, "")
		}},
		{name: "answers swapped", cutsAnswers: true, inject: func(c *cluster, _ *scenario, _, to string) messageFault {
			c.mu.Lock()
			all := slices.Collect(maps.Values(c.workers))
			c.mu.Unlock()
			for _, cw := range all {
				cw.w.SetSwapAnswers(true)
				healAfterOutage(c, func() { cw.w.SetSwapAnswers(false) })
			}
			return messageFault{}
		}},
		{name: "owner killed, its message arrives after the takeover", needsMessage: true, duplicates: true, cutsAnswers: true, inject: func(c *cluster, _ *scenario, node, _ string) messageFault {
			c.kill(node)
			return messageFault{copyDelay: takeoverDelay}
		}},
		{name: "all workers die in a rush", cutsAnswers: true, inject: func(c *cluster, s *scenario, _, _ string) messageFault {
			go func() {
				s.sendBurst()
				if sleep(c.ctx, burstDelay); c.ctx.Err() != nil {
					return
				}
				for i := range initialWorkers {
					c.killWorker(fmt.Sprintf("w%d", i), hostListDelay)
					c.startWorker(fmt.Sprintf("spare%d", i), rackIn(i%workerShardCount))
				}
			}()
			return messageFault{}
		}},
		{name: "requests rush", inject: func(_ *cluster, s *scenario, _, _ string) messageFault {
			go s.sendBurst()
			return messageFault{}
		}},
		{name: "worker fails all", inject: func(c *cluster, s *scenario, _, to string) messageFault {
			c.mu.Lock()
			w := c.workers[c.targetWorkerLocked(to)].w
			c.mu.Unlock()
			w.SetFailAll(true)
			healAfterOutage(c, func() { w.SetFailAll(false) })
			s.allowFailures()
			return messageFault{}
		}},
		{name: "job that can never run", inject: func(_ *cluster, s *scenario, _, _ string) messageFault {
			go s.submitImpossible()
			return messageFault{}
		}},
		{name: "cancel wave", inject: func(_ *cluster, s *scenario, _, _ string) messageFault {
			go s.cancelSeveral()
			return messageFault{}
		}},
		{name: "two operators at once", inject: func(_ *cluster, s *scenario, _, _ string) messageFault {
			go s.rollOutConcurrently()
			return messageFault{}
		}},
		{name: "planned stop", inject: func(c *cluster, _ *scenario, node, _ string) messageFault {
			go func() {
				// A node that was stopped already is not stopped again, and two nodes stay.
				if live := c.live(); len(live) > 2 {
					for _, n := range live {
						if n.name == node {
							c.drain(n)
						}
					}
				}
			}()
			return messageFault{}
		}},
		{name: "worker leaving", inject: func(c *cluster, s *scenario, _, to string) messageFault {
			w := c.targetWorker(to)
			go func() {
				c.mu.Lock()
				h, dead := c.workers[w].host, c.workers[w].dead
				c.mu.Unlock()
				if dead {
					return
				}
				h.State = platform.HostLeaving
				c.plat.SetHost(h)
				s.recordLeaving(w, time.Now())
			}()
			return messageFault{}
		}},
		{name: "host listed late", cutsAnswers: true, inject: func(c *cluster, _ *scenario, _, to string) messageFault {
			c.killWorker(c.targetWorker(to), 2*outage)
			healAfterOutage(c, func() { c.startWorker("w9", rackIn(0)) })
			return messageFault{}
		}},
		{name: "all hosts replaced", cutsAnswers: true, inject: func(c *cluster, _ *scenario, _, _ string) messageFault {
			go func() {
				for _, n := range c.live() {
					c.startNode(c.unusedName("new"))
					if sleep(c.ctx, 4*time.Second); c.ctx.Err() != nil {
						return
					}
					c.kill(n.name)
				}
			}()
			return messageFault{}
		}},
	}
}

// faultPairs are faults that can interact. Both are injected at the same step.
var faultPairs = [][2]string{
	{"store down", "node killed"},
	{"node paused past its lease", "store reply lost"},
	{"worker cut from its owner only", "node killed"},
	{"store reply lost", "node killed"},
	{"worker dead", "node paused past its lease"},
	{"node cut from the store only", "worker cut from its owner only"},
	{"cancel wave", "node killed"},
	{"two operators at once", "store reply lost"},
}

func faultByName(name string) fault {
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	panic("no fault " + name)
}

// isMessage reports whether a step is a message to a node, a worker or an instance.
func isMessage(step string) bool {
	switch step {
	case stepForward, stepDispatch, stepKeyBeginCall, stepReserve, stepConfirm, stepStart, stepRenew, stepEvents, stepAck, stepStop, stepInventory:
		return true
	}
	return false
}

// timeout returns a context for a call of the scenario, which ends after d.
func timeout(c *cluster, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.ctx, d)
}
