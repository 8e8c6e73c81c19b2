// SPDX-License-Identifier: Apache-2.0

package network

import "time"

// maxChunkBytes is how much of a write passes a link at once, so that the connections of a
// host share its bandwidth. Chunks of the size of a packet would need too many timers.
const maxChunkBytes = 16 << 10

// direction is one direction of a host's link.
type direction struct {
	// bandwidth is in bytes per second; 0: unlimited.
	bandwidth int
	// idleAt is when all bytes that have been scheduled so far will have passed.
	idleAt time.Time
	// bytes is how many bytes have been scheduled so far.
	bytes int64
}

// schedule queues n bytes behind those that came before, and returns when they will have
// passed.
func (d *direction) schedule(n int, now time.Time) time.Time {
	d.bytes += int64(n)
	if d.bandwidth == 0 {
		return now
	}
	if d.idleAt.Before(now) {
		d.idleAt = now
	}
	d.idleAt = d.idleAt.Add(time.Duration(n) * time.Second / time.Duration(d.bandwidth))
	return d.idleAt
}

// SetBandwidth limits each direction of a host's link to a number of bytes per second.
func (n *Network) SetBandwidth(host string, bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	directionOf(n.received, host).bandwidth = bytesPerSecond
	directionOf(n.sent, host).bandwidth = bytesPerSecond
}

// ReceivedBytes returns how many bytes have been sent to a host so far.
func (n *Network) ReceivedBytes(host string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return directionOf(n.received, host).bytes
}

// directionOf returns the direction of a host's link, which it adds if the host is new. The
// caller holds mu.
func directionOf(directions map[string]*direction, host string) *direction {
	d := directions[host]
	if d == nil {
		d = &direction{}
		directions[host] = d
	}
	return d
}

// waitForLink waits until size bytes have passed the links of both hosts and their processors
// have handled them. It returns an error if closed is closed before.
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
