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
	// outage is how long a fault lasts; it is beyond the leases of nodes and tasks.
	outage  = 18 * time.Second
	listLag = 5 * time.Second
	// takeover is within the lease of a task, and after a dead node's shards have
	// a new owner.
	takeover = 5500 * time.Millisecond
	// rushing is when the requests of a rush are being worked on.
	rushing = 50 * time.Millisecond
)

// fault is a row of the matrix. Its inject is called where the step is reached,
// by the node whose step it is; to is the worker or peer of the message.
type fault struct {
	name   string
	inject func(c *cell, s *scenario, node, to string) handling
	// cutsAnswers is set where a request in flight may end unknown.
	cutsAnswers bool
	// needsMessage faults only concern steps that are messages.
	needsMessage bool
	// doubles is set where a message comes twice. The call of an instance is left
	// out: it is one exchange on one TCP connection, which nothing on the way doubles.
	doubles bool
}

// heal runs fn after the outage.
func heal(c *cell, fn func()) {
	c.ailing.Add(1)
	go func() {
		defer c.ailing.Add(-1)
		if sleep(c.ctx, outage); c.ctx.Err() == nil {
			fn()
		}
	}()
}

func (c *cell) workerOf(to string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workerOfLocked(to)
}

func (c *cell) workerOfLocked(to string) string {
	if _, ok := c.workers[to]; ok {
		return to
	}
	return "w0"
}

var faults []fault

func init() { faults = allFaults() }

func allFaults() []fault {
	return []fault{
		{name: "node killed", cutsAnswers: true, inject: func(c *cell, _ *scenario, node, _ string) handling {
			c.kill(node)
			heal(c, func() { c.startNode(c.freshName(node)) })
			return handling{}
		}},
		{name: "node paused past its lease", cutsAnswers: true, inject: func(c *cell, _ *scenario, node, _ string) handling {
			c.net.Pause(node)
			heal(c, func() { c.net.Resume(node) })
			return handling{}
		}},
		{name: "worker dead", cutsAnswers: true, inject: func(c *cell, _ *scenario, _, to string) handling {
			c.killWorker(c.workerOf(to), listLag)
			return handling{}
		}},
		{name: "worker cut from its owner only", cutsAnswers: true, inject: func(c *cell, _ *scenario, node, to string) handling {
			w := c.workerOf(to)
			c.net.SetPartitioned(node, w, true)
			heal(c, func() { c.net.SetPartitioned(node, w, false) })
			return handling{}
		}},
		{name: "node cut from the store only", inject: func(c *cell, _ *scenario, node, _ string) handling {
			c.net.SetPartitioned(node, platformHost, true)
			heal(c, func() { c.net.SetPartitioned(node, platformHost, false) })
			return handling{}
		}},
		{name: "node cut from its peers only", cutsAnswers: true, inject: func(c *cell, _ *scenario, node, _ string) handling {
			for _, n := range c.live() {
				if n.name != node {
					c.net.SetPartitioned(node, n.name, true)
					heal(c, func() { c.net.SetPartitioned(node, n.name, false) })
				}
			}
			return handling{}
		}},
		{name: "store down", inject: func(c *cell, _ *scenario, _, _ string) handling {
			c.plat.SetFaults(standin.Faults{Down: true})
			heal(c, func() { c.plat.SetFaults(standin.Faults{}) })
			return handling{}
		}},
		{name: "store slow", inject: func(c *cell, _ *scenario, _, _ string) handling {
			c.plat.SetFaults(standin.Faults{DelayMS: 700})
			heal(c, func() { c.plat.SetFaults(standin.Faults{}) })
			return handling{}
		}},
		{name: "store reply lost", inject: func(c *cell, _ *scenario, _, _ string) handling {
			c.plat.SetFaults(standin.Faults{LoseReplies: 3})
			return handling{}
		}},
		{name: "message delayed", needsMessage: true, inject: func(_ *cell, _ *scenario, _, _ string) handling {
			return handling{delay: 2 * time.Second}
		}},
		{name: "message delayed past the lease", needsMessage: true, cutsAnswers: true, inject: func(_ *cell, _ *scenario, _, _ string) handling {
			return handling{delay: outage}
		}},
		{name: "message doubled, the second late", needsMessage: true, doubles: true, inject: func(_ *cell, _ *scenario, _, _ string) handling {
			return handling{late: outage + time.Second}
		}},
		{name: "message doubled at once", needsMessage: true, doubles: true, inject: func(_ *cell, _ *scenario, _, _ string) handling {
			return handling{twice: true}
		}},
		{name: "reply of message lost", needsMessage: true, cutsAnswers: true, inject: func(_ *cell, _ *scenario, _, _ string) handling {
			return handling{loseReply: true}
		}},
		{name: "node cut from store and peers", cutsAnswers: true, inject: func(c *cell, _ *scenario, node, _ string) handling {
			faultNamed("node cut from the store only").inject(c, nil, node, "")
			return faultNamed("node cut from its peers only").inject(c, nil, node, "")
		}},
		{name: "answers swapped", cutsAnswers: true, inject: func(c *cell, _ *scenario, _, to string) handling {
			c.mu.Lock()
			all := slices.Collect(maps.Values(c.workers))
			c.mu.Unlock()
			for _, cw := range all {
				cw.w.SetSwapAnswers(true)
				heal(c, func() { cw.w.SetSwapAnswers(false) })
			}
			return handling{}
		}},
		{name: "owner killed, its message arrives after the takeover", needsMessage: true, doubles: true, cutsAnswers: true, inject: func(c *cell, _ *scenario, node, _ string) handling {
			c.kill(node)
			return handling{late: takeover}
		}},
		{name: "all workers die in a rush", cutsAnswers: true, inject: func(c *cell, s *scenario, _, _ string) handling {
			go func() {
				s.rush()
				if sleep(c.ctx, rushing); c.ctx.Err() != nil {
					return
				}
				for i := range cellWorkers {
					c.killWorker(fmt.Sprintf("w%d", i), listLag)
					c.startWorker(fmt.Sprintf("spare%d", i), rackIn(i%cellWorkerShards))
				}
			}()
			return handling{}
		}},
		{name: "requests rush", inject: func(_ *cell, s *scenario, _, _ string) handling {
			go s.rush()
			return handling{}
		}},
		{name: "worker fails all", inject: func(c *cell, s *scenario, _, to string) handling {
			c.mu.Lock()
			w := c.workers[c.workerOfLocked(to)].w
			c.mu.Unlock()
			w.SetFailAll(true)
			heal(c, func() { w.SetFailAll(false) })
			s.mayFail()
			return handling{}
		}},
		{name: "job that can never run", inject: func(_ *cell, s *scenario, _, _ string) handling {
			go s.submitImpossible()
			return handling{}
		}},
		{name: "cancel wave", inject: func(_ *cell, s *scenario, _, _ string) handling {
			go s.cancelWave()
			return handling{}
		}},
		{name: "two operators at once", inject: func(_ *cell, s *scenario, _, _ string) handling {
			go s.rivalOperator()
			return handling{}
		}},
		{name: "planned stop", inject: func(c *cell, _ *scenario, node, _ string) handling {
			go func() {
				// Another stop of the same node, or the last two, is left alone.
				if live := c.live(); len(live) > 2 {
					for _, n := range live {
						if n.name == node {
							c.drain(n)
						}
					}
				}
			}()
			return handling{}
		}},
		{name: "worker leaving", inject: func(c *cell, s *scenario, _, to string) handling {
			w := c.workerOf(to)
			go func() {
				c.mu.Lock()
				h, dead := c.workers[w].host, c.workers[w].dead
				c.mu.Unlock()
				if dead {
					return
				}
				h.State = platform.HostLeaving
				c.plat.SetHost(h)
				s.leaves(w, time.Now())
			}()
			return handling{}
		}},
		{name: "host listed late", cutsAnswers: true, inject: func(c *cell, _ *scenario, _, to string) handling {
			c.killWorker(c.workerOf(to), 2*outage)
			heal(c, func() { c.startWorker("w9", rackIn(0)) })
			return handling{}
		}},
		{name: "all hosts replaced", cutsAnswers: true, inject: func(c *cell, _ *scenario, _, _ string) handling {
			go func() {
				for _, n := range c.live() {
					c.startNode(c.freshName("new"))
					if sleep(c.ctx, 4*time.Second); c.ctx.Err() != nil {
						return
					}
					c.kill(n.name)
				}
			}()
			return handling{}
		}},
	}
}

// pairs are faults that can interact; both come at the same step.
var pairs = [][2]string{
	{"store down", "node killed"},
	{"node paused past its lease", "store reply lost"},
	{"worker cut from its owner only", "node killed"},
	{"store reply lost", "node killed"},
	{"worker dead", "node paused past its lease"},
	{"node cut from the store only", "worker cut from its owner only"},
	{"cancel wave", "node killed"},
	{"two operators at once", "store reply lost"},
}

func faultNamed(name string) fault {
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	panic("no fault " + name)
}

// isMessage reports whether a step is a message between processes.
func isMessage(step string) bool {
	switch step {
	case stepForward, stepDispatch, stepKeyBeginMsg, stepReserve, stepConfirm, stepStart, stepRenew, stepEvents, stepAck, stepStop, stepInventory:
		return true
	}
	return false
}

// timeout bounds a call of the scenario.
func timeout(c *cell, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.ctx, d)
}
