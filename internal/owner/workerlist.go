// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
)

// workerListInterval is how often the worker list is written if it has changed.
const workerListInterval = time.Second

// workerList is the value of the row in which an owner leaves its workers to the next one. An
// entry of some 40 bytes holds just enough to ask the worker what it runs; a row holds 64 KB.
type workerList struct {
	Workers []workerListEntry `json:"workers"`
}

// workerListEntry is one incarnation of a worker. Its capacity and labels are read from the
// directory.
type workerListEntry struct {
	cluster.Incarnation
	Address string `json:"a"`
}

// workerListLoop persists the workers and their addresses.
func (o *Owner) workerListLoop(ctx context.Context) error {
	written := make(map[cluster.Incarnation]bool)
	for ctx.Err() == nil {
		tables.Sleep(ctx, workerListInterval)
		o.mu.Lock()
		workers := o.shard.WorkerInfos()
		o.mu.Unlock()
		current := make(map[cluster.Incarnation]bool, len(workers))
		for _, w := range workers {
			current[w.Incarnation()] = true
		}
		if len(workers) == 0 || maps.Equal(current, written) {
			continue
		}
		if err := o.writeWorkerList(ctx, workers); err != nil {
			if ctx.Err() == nil {
				o.Log.Info("writing worker list failed", events.StoreFailed, zap.Error(err))
			}
			continue
		}
		written = current
	}
	return nil
}

// writeWorkerList writes the worker list, on condition of the fence.
func (o *Owner) writeWorkerList(ctx context.Context, workers []cluster.Worker) error {
	var list workerList
	for _, w := range workers {
		list.Workers = append(list.Workers, workerListEntry{w.Incarnation(), w.Address})
	}
	value, err := json.Marshal(list)
	if err != nil {
		return &Error{"write worker list", KindLoad, err}
	}
	row := tables.Row{Table: TableProgress, Part: ProgressPart(o.cfg.Shard), Key: workerListKey, Value: value}
	res, err := o.Tables.Commit(ctx, tables.Txn{If: []tables.Row{o.fence()}, Put: []tables.Row{row}})
	if err == nil && !res.Committed {
		o.EndOwnership(fenceChangedEvidence)
	}
	return err
}

// applyWorkerList makes the workers of the previous owner known. Those that have ended
// meanwhile are found with the list of machines.
func (o *Owner) applyWorkerList(s *scheduler.Shard, now time.Time, row tables.Row) {
	var list workerList
	if err := json.Unmarshal(row.Value, &list); err != nil {
		o.Log.Warn("unreadable worker list skipped", events.RowSkipped, zap.Error(err))
		return
	}
	for _, e := range list.Workers {
		s.UpsertWorker(now, cluster.Worker{ID: e.ID, Started: e.Started, Address: e.Address, Service: o.cfg.Shard.Service})
		s.WorkerUnlisted(now, e.ID)
	}
}
