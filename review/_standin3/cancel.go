// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

func init() { cases["cancel"] = runCancel }

// runCancel plays clients that leave before their deadline and cancel their jobs then. With the
// disruption, a part of the store's writes gets no answer and is done 1 to 6 s later.
func runCancel(trouble bool, record string) int {
	const (
		lostShare = 0.35
		lostFor   = 4500 * time.Millisecond
		leaveAt   = 125 * time.Millisecond // half the objective
		leaving   = 0.35
		contact   = 3 * time.Second
		cancelMS  = 3 * time.Second
		windows   = 3
		perWindow = 64 // 14.5 a second
	)
	c := newCell(7, 48, 16000, 32768)
	defer c.stopAll()
	defer func() { c.writeRecord(record, true) }()
	c.workMS = func(string) int64 { return 800 }
	c.store.put("op", "config", configuration(7, route("r-small", "/small/", 0, 2, 250)))
	if !c.startAll() {
		c.logf("the nodes aren't ready")
		return cantRun
	}
	time.Sleep(5 * time.Second)
	rnd := rand.New(rand.NewSource(time.Now().UnixNano()))
	gone := rand.New(rand.NewSource(7))
	acknowledged, bad := 0, 0
	for window := range windows {
		if trouble {
			c.store.mu.Lock()
			c.store.late = func(*txn) time.Duration {
				if rnd.Float64() >= lostShare {
					return 0
				}
				return time.Second + time.Duration(rnd.Int63n(int64(5*time.Second)))
			}
			c.store.mu.Unlock()
			c.logf("platform: of the store's writes, a share of %.2f gets no answer and is done 1 to 6 s later", lostShare)
		}
		var mu sync.Mutex
		cancelled := make(map[string]time.Time)
		var wg sync.WaitGroup
		for i := range perWindow {
			id := fmt.Sprintf("%016x", 0xabc0000+window<<8+i)
			j := job{Spec: "check", Steps: []step{{Count: 4, CPU: 1300, MemMB: 200, EstimateMS: 800}}}
			c.mu.Lock()
			c.jobs[id] = j
			c.mu.Unlock()
			leaves := gone.Float64() < leaving
			wg.Go(func() {
				if at, ok := c.handIn(i, id, j, leaves, leaveAt); ok {
					mu.Lock()
					defer mu.Unlock()
					cancelled[id] = at
				}
			})
			time.Sleep(lostFor / perWindow)
		}
		c.store.mu.Lock()
		c.store.late = nil
		c.store.mu.Unlock()
		calm := time.Now()
		c.logf("platform: the store answers all writes again")
		wg.Wait()
		time.Sleep(10 * time.Second)
		acknowledged += len(cancelled)
		bad += c.lateStarts(cancelled, cancelMS, calm, contact)
	}
	c.logf("cancellings acknowledged: %d; starts that break UNASKED: %d", acknowledged, bad)
	if acknowledged < 5 {
		return cantRun
	}
	if bad > 0 {
		return broken
	}
	return held
}

// handIn hands a job in. A client that leaves cancels its job then, and it is returned when that was
// acknowledged.
func (c *cell) handIn(i int, id string, j job, leaves bool, leaveAt time.Duration) (at time.Time, ok bool) {
	n := c.nodes[i%len(c.nodes)]
	if !leaves {
		status := c.call(n, http.MethodPost, "/small/"+id, j, nil)
		c.logf("client: POST /small/%s at %s -> %d", id, n.name, status)
		return at, false
	}
	status := c.callFor(leaveAt, n, http.MethodPost, "/small/"+id, j, nil)
	c.logf("client: POST /small/%s at %s -> %d, and the client leaves", id, n.name, status)
	for k := range 5 {
		m := c.nodes[(i+k+1)%len(c.nodes)]
		status := c.call(m, http.MethodDelete, "/small/"+id, nil, nil)
		c.logf("client: DELETE /small/%s at %s -> %d", id, m.name, status)
		if status/100 == 2 || status == http.StatusGone {
			return time.Now(), true
		}
	}
	return at, false
}

// lateStarts returns how many tasks of cancelled jobs have started later than cancelMS after the
// acknowledgement, and later than contact after the store was calm.
func (c *cell) lateStarts(cancelled map[string]time.Time, cancelMS time.Duration, calm time.Time, contact time.Duration) (bad int) {
	c.mu.Lock()
	events := append([]event(nil), c.events...)
	c.mu.Unlock()
	for _, e := range events {
		at, ok := cancelled[e.task[:16]]
		if e.what != "start" || !ok || e.at.Sub(at) <= cancelMS {
			continue
		}
		if since := e.at.Sub(calm); since > contact {
			bad++
			c.logf("BROKEN UNASKED: %s starts on %s %.1f s after its cancelling was acknowledged, %.1f s after the end of the disruption", e.task, e.worker, e.at.Sub(at).Seconds(), since.Seconds())
		} else {
			c.logf("not counted, since the store was disrupted: %s starts %.1f s after its cancelling was acknowledged", e.task, e.at.Sub(at).Seconds())
		}
	}
	return bad
}
