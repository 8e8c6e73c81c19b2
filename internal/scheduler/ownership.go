// SPDX-License-Identifier: Apache-2.0

package scheduler

import "time"

// An owner that is cut off from the store and the other nodes doesn't learn that it has been
// replaced. It tells that case from an outage of the store by nothing that it sees, so it relies on
// what it knows: at its last confirmation no later owner had loaded the shard.
//
// No lease that it grants lasts longer than Params.OwnershipLease after that, so that a later owner
// knows when the runs on workers that it doesn't reach have ended. And it doesn't conclude from a
// worker's silence, or from its end, that a task runs nowhere, unless it was still the owner by
// then: a later owner may have renewed the lease, or started the task again.

// ownership is what a shard knows of its owner's right to give orders.
type ownership struct {
	// confirmedAt is a time at which no later owner had loaded the shard, the latest one known.
	confirmedAt time.Time
	// wanted is set while a decision waits for a later confirmation.
	wanted bool
}

// ConfirmOwnership records that no later owner had loaded the shard at the given time.
func (s *Shard) ConfirmOwnership(at time.Time) {
	s.ownership.confirmedAt = latest(at, s.ownership.confirmedAt)
}

// OwnershipConfirmedAt returns the time of the last confirmation.
func (s *Shard) OwnershipConfirmedAt() time.Time { return s.ownership.confirmedAt }

// TakeConfirmationWanted reports whether a decision has waited for a confirmation since the last
// call.
func (s *Shard) TakeConfirmationWanted() bool {
	wanted := s.ownership.wanted
	s.ownership.wanted = false
	return wanted
}

// OwnershipExpired reports whether all leases that this owner may have granted have expired, so
// that nothing is known any more of what runs.
func (s *Shard) OwnershipExpired(now time.Time) bool {
	return s.boundsOwnership() && s.grantableFor(now) <= 0
}

// boundsOwnership reports whether the ownership has to be confirmed.
func (s *Shard) boundsOwnership() bool { return s.params.OwnershipLease > 0 }

// grantableFor returns for how long a lease may last that is granted now.
func (s *Shard) grantableFor(now time.Time) time.Duration {
	return s.ownership.confirmedAt.Add(s.params.OwnershipLease).Sub(now)
}

// mayStart reports whether runs may start: a run whose lease can't be granted in full would soon be
// killed if the ownership isn't confirmed.
func (s *Shard) mayStart(now time.Time) bool {
	return !s.boundsOwnership() || s.grantableFor(now) >= s.params.Lease
}

// ownedAt reports whether this owner had certainly not been replaced at the given time. If that
// isn't known, a confirmation is wanted.
func (s *Shard) ownedAt(at time.Time) bool {
	if s.boundsOwnership() && s.ownership.confirmedAt.Before(at) {
		s.ownership.wanted = true
		return false
	}
	return true
}
