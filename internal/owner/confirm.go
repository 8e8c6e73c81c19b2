// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/tables"
)

// An ownership is confirmed at the time at which a call was sent that has shown that no later owner
// had loaded the shard: a read of the row that names the owner or of the fence, or a write on
// condition of one of them, since a later owner replaces both before it loads the shard; or pings
// that all other nodes have answered to that effect. Their answers are all that is left while the
// store is away, and keep the work going then. An ownership that expires ends: nothing is known any
// more of what runs.

const (
	// confirmInterval is how often the other nodes' answers are looked at.
	confirmInterval = 250 * time.Millisecond
	// maxConfirmationAge is from what age of the last confirmation the store is read: the pings of
	// a few nodes, and the writes of an owner whose tasks end, confirm more often.
	maxConfirmationAge = 3 * time.Second
	// wantedConfirmInterval is the shortest time between two confirmations for decisions that wait
	// for one.
	wantedConfirmInterval = 50 * time.Millisecond
	// confirmTimeout bounds a read of one row: it takes 0.4 s while the store is 100 times slower.
	confirmTimeout = time.Second
)

// Confirmer tells what other nodes know of the owner of a shard.
type Confirmer interface {
	// ConfirmedAt returns a time at which no other node had loaded the shard for a later owner
	// than that of the epoch; zero if that isn't known.
	ConfirmedAt(shard cluster.ShardID, epoch int64) time.Time
	// RequestConfirmation asks all other nodes now; ConfirmedAt returns the result.
	RequestConfirmation()
}

// confirmLoop confirms the ownership, and ends it when it has expired.
func (o *Owner) confirmLoop(ctx context.Context) error {
	tick := time.NewTicker(confirmInterval)
	defer tick.Stop()
	for {
		wanted := false
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-o.wakeConfirm:
			wanted = true
		}
		o.confirm(o.Confirmer.ConfirmedAt(o.cfg.Shard, o.Epoch()))
		if (wanted || o.ConfirmationAge() > maxConfirmationAge) && !o.confirmFromStore(ctx) {
			o.Confirmer.RequestConfirmation()
		}
		if o.endIfExpired() {
			return nil
		}
		if wanted {
			tables.Sleep(ctx, wantedConfirmInterval)
		}
	}
}

// confirm records that the ownership was confirmed by a call that was sent at the given time, and
// wakes the scheduler, since a decision may wait for that.
func (o *Owner) confirm(at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if at.After(o.shard.OwnershipConfirmedAt()) {
		o.shard.ConfirmOwnership(at)
		notify(o.wakeScheduler)
	}
}

// ConfirmationAge returns how long ago the ownership was last confirmed.
func (o *Owner) ConfirmationAge() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Since(o.shard.OwnershipConfirmedAt())
}

// confirmFromStore confirms the ownership by the row that names the owner or, if its part of the
// store doesn't answer, by the fence, and reports whether one of them could be read.
func (o *Owner) confirmFromStore(ctx context.Context) bool {
	for _, row := range []tables.Row{o.cfg.Row, o.fence()} {
		sent := time.Now()
		switch unchanged, err := o.isUnchanged(ctx, row); {
		case err != nil:
			// The followers of the store's tables log its failures.
			continue
		case unchanged:
			o.confirm(sent)
		default:
			o.EndOwnership("the store names another owner")
		}
		return true
	}
	return false
}

// isUnchanged reports whether a row in the store still has its version.
func (o *Owner) isUnchanged(ctx context.Context, row tables.Row) (bool, error) {
	c, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	current, _, err := tables.Get(c, o.Tables, row.Table, row.Part, row.Key)
	return current.Version == row.Version, err
}

// endIfExpired ends the ownership if all leases granted under it have expired.
func (o *Owner) endIfExpired() bool {
	o.mu.Lock()
	expired := o.shard.OwnershipExpired(time.Now())
	o.mu.Unlock()
	if expired {
		o.Log.Warn("ownership is not confirmed and has expired", events.OwnershipExpired, zap.Stringer("shard", o.cfg.Shard),
			zap.Int64("epoch", o.Epoch()), zap.Duration("confirmed_ago", o.ConfirmationAge()))
		o.EndOwnership("it was not confirmed in time")
	}
	return expired
}

// requestConfirmation wakes confirmLoop if a decision of the scheduler waits for a confirmation.
// The caller holds mu.
func (o *Owner) requestConfirmation() {
	if o.shard.TakeConfirmationWanted() {
		notify(o.wakeConfirm)
	}
}
