// SPDX-License-Identifier: Apache-2.0

package lease_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/lease"
	standin "switchbank.example/switchbank/standin/platform"
)

var opts = lease.Options{TTL: 3 * time.Second, Margin: 500 * time.Millisecond, RenewInterval: time.Second}

func newLease(p *standin.Platform, id string) *lease.Lease {
	return lease.New(p, lease.Node{ID: id}, opts, zap.NewNop())
}

func renew(t *testing.T, l *lease.Lease) {
	t.Helper()
	if err := l.Renew(t.Context()); err != nil {
		t.Fatal(err)
	}
}

func refresh(t *testing.T, l *lease.Lease) {
	t.Helper()
	if err := l.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// TestLeaseCountsFromSending checks that a slow reply does not extend a lease: it counts from
// when the renewal was sent.
func TestLeaseCountsFromSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New()
		l := newLease(p, "a")
		renew(t, l)
		p.SetFaults(standin.Faults{DelayMS: 2000})
		sent := time.Now()
		renew(t, l)
		time.Sleep(time.Until(sent.Add(opts.TTL - opts.Margin - time.Millisecond)))
		if !l.Held() {
			t.Error("the lease expired too early")
		}
		time.Sleep(time.Millisecond)
		if l.Held() {
			t.Error("the lease counts from the reply, not from when the renewal was sent")
		}
	})
}

// TestRenewalAfterExpiryRaisesGeneration renews a lease that expired during a pause. Other nodes
// may own its shards by then, so that it must not go on under the same generation.
func TestRenewalAfterExpiryRaisesGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLease(standin.New(), "a")
		renew(t, l)
		before, _ := l.Generation()
		time.Sleep(10 * time.Second)
		if l.Held() {
			t.Fatal("the lease is held after it expired")
		}
		renew(t, l)
		if after, held := l.Generation(); !held || after != before+1 {
			t.Errorf("generation %d after %d, held %t", after, before, held)
		}
	})
}

// TestDeadOnlyAfterLeaseExpired watches a node that stops renewing its lease. Another node must
// not consider it dead while it still holds the lease, however long replies take: otherwise two
// nodes would own its shards.
func TestDeadOnlyAfterLeaseExpired(t *testing.T) {
	for _, delay := range []int64{0, 200, 900} {
		synctest.Test(t, func(t *testing.T) {
			p := standin.New()
			a, b := newLease(p, "a"), newLease(p, "b")
			renew(t, a)
			renew(t, b)
			refresh(t, b)
			p.SetFaults(standin.Faults{DelayMS: delay})
			renew(t, a)
			for range 200 {
				refresh(t, b)
				dead, guard := b.Dead("a", a.Self().Incarnation)
				if dead && a.Held() {
					t.Fatal("a is considered dead while it holds its lease")
				}
				if dead {
					if len(guard) != 1 {
						t.Error("want one condition, that the row is unchanged, for a takeover")
					}
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
			t.Error("a is never considered dead")
		})
	}
}

// TestLostReplyIsResolved loses the reply of a renewal. The next renewal finds a row of another
// version, and must recognize it as its own.
func TestLostReplyIsResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New()
		l := newLease(p, "a")
		renew(t, l)
		p.SetFaults(standin.Faults{LoseReplies: 1})
		for range 3 {
			_ = l.Renew(t.Context())
		}
		time.Sleep(opts.TTL)
		renew(t, l)
		if !l.Held() {
			t.Error("the lease is not held after a lost reply")
		}
	})
}

// TestReplaced starts a second process with the same node ID: the first one must give up its
// lease.
func TestReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New()
		first, second := newLease(p, "a"), newLease(p, "a")
		renew(t, first)
		renew(t, second)
		err := first.Renew(t.Context())
		var le *lease.Error
		if !errors.As(err, &le) || le.Kind != lease.KindReplaced {
			t.Errorf("the first process: %v", err)
		}
		if first.Held() {
			t.Error("the first process still holds the lease")
		}
	})
}
