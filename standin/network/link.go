// SPDX-License-Identifier: Apache-2.0

package network

import "time"

// maxChunkBytes is how much of what is written passes a link at once; what several
// connections write takes turns. A packet's size would cost too many timers.
const maxChunkBytes = 16 << 10

// direction is one direction of a host's link.
type direction struct {
	// bandwidth is in bytes a second; 0: no limit.
	bandwidth int
	// idleAt is when all that was given to the lane so far has passed.
	idleAt time.Time
	// bytes is how much was given to it.
	bytes int64
}

// schedule lets n bytes pass, and returns when they have.
func (l *direction) schedule(n int, now time.Time) time.Time {
	l.bytes += int64(n)
	if l.bandwidth == 0 {
		return now
	}
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(time.Duration(n) * time.Second / time.Duration(l.bandwidth))
	return l.idleAt
}

// SetBandwidth limits what a host receives, and what it sends, to so many bytes a second each.
func (n *Network) SetBandwidth(host string, bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	directionOf(n.received, host).bandwidth = bytesPerSecond
	directionOf(n.sent, host).bandwidth = bytesPerSecond
}

// ReceivedBytes returns how many bytes were sent to a host so far.
func (n *Network) ReceivedBytes(host string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return directionOf(n.received, host).bytes
}

// directionOf returns a host's lane in one direction. The caller holds mu.
func directionOf(directions map[string]*direction, host string) *direction {
	l := directions[host]
	if l == nil {
		l = &direction{}
		directions[host] = l
	}
	return l
}

// waitForLink waits until size bytes have passed both hosts' links, or closed is closed.
func (n *Network) waitForLink(from, to string, size int, closed <-chan struct{}) error {
	n.mu.Lock()
	now := time.Now()
	wait := max(directionOf(n.sent, from).schedule(size, now).Sub(now), directionOf(n.received, to).schedule(size, now).Sub(now))
	for _, host := range []string{from, to} {
		if q := n.quotas[host]; q != nil {
			wait = max(wait, q.charge(now).Sub(now))
		}
	}
	n.mu.Unlock()
	if wait <= 0 {
		return nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-closed:
		return errClosed
	}
}
