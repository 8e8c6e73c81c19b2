// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/tables"
)

// failJobRetryDelay is the pause between attempts to fail a job in all of its shards.
const failJobRetryDelay = 200 * time.Millisecond

// failJob ends a job as failed in all shards that run parts of it. Like a cancel, the end is a
// row in the table of each shard, which its owner follows, and outlasts this owner.
func (o *Owner) failJob(ctx context.Context, id string) {
	for ctx.Err() == nil {
		err := o.writeJobFailed(ctx, id)
		if err == nil {
			return
		}
		if ctx.Err() == nil {
			o.Log.Info("failing a job in all of its shards failed", events.StoreFailed, zap.String("job", id), zap.Error(err))
		}
		tables.Sleep(ctx, failJobRetryDelay)
	}
}

// writeJobFailed makes one attempt to write the end of a job. A job without a pin is forgotten
// already.
func (o *Owner) writeJobFailed(ctx context.Context, id string) error {
	pin, found, err := tables.Get(ctx, o.Tables, TablePins, JobPart(id), id)
	if err != nil || !found {
		return err
	}
	p, err := ParsePin(pin)
	if err != nil {
		return err
	}
	res, err := o.Tables.Commit(ctx, endJobTxn(p.Shards, pin, jobEnd{State: cluster.StateFailed}))
	if err == nil && !res.Committed {
		err = &Error{"fail job", KindConflict, errors.New("its pin has changed")}
	}
	return err
}
