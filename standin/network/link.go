// SPDX-License-Identifier: Apache-2.0

package network

import "time"

// maxChunk is how much of what is written passes a link at once; what several
// connections write takes turns. A packet's size would cost too many timers.
const maxChunk = 16 << 10

// lane is one direction of a host's link.
type lane struct {
	// rate is in bytes a second; 0: no limit.
	rate int
	// free is when all that was given to the lane so far has passed.
	free time.Time
	// bytes is how much was given to it.
	bytes int64
}

// give lets n bytes pass, and returns when they have.
func (l *lane) give(n int, now time.Time) time.Time {
	l.bytes += int64(n)
	if l.rate == 0 {
		return now
	}
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(n) * time.Second / time.Duration(l.rate))
	return l.free
}

// SetBandwidth limits what a host receives, and what it sends, to so many bytes a second each.
func (n *Network) SetBandwidth(host string, bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	laneOf(n.in, host).rate = bytesPerSecond
	laneOf(n.out, host).rate = bytesPerSecond
}

// ReceivedBytes returns how many bytes were sent to a host so far.
func (n *Network) ReceivedBytes(host string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return laneOf(n.in, host).bytes
}

// laneOf returns a host's lane in one direction. The caller holds mu.
func laneOf(lanes map[string]*lane, host string) *lane {
	l := lanes[host]
	if l == nil {
		l = &lane{}
		lanes[host] = l
	}
	return l
}

// carry waits until size bytes have passed both hosts' links, or closed is closed.
func (n *Network) carry(from, to string, size int, closed <-chan struct{}) error {
	n.mu.Lock()
	now := time.Now()
	wait := max(laneOf(n.out, from).give(size, now).Sub(now), laneOf(n.in, to).give(size, now).Sub(now))
	for _, host := range []string{from, to} {
		if q := n.quotas[host]; q != nil {
			wait = max(wait, q.take(now).Sub(now))
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
