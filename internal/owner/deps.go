// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
)

// Workers sends orders to workers.
type Workers interface {
	Start(ctx context.Context, order cluster.StartOrder) cluster.Reply
	Stop(ctx context.Context, order cluster.Order, task cluster.TaskID, run int64) cluster.Reply
	Pace(ctx context.Context, order cluster.Order, task cluster.TaskID, run int64, percent int) cluster.Reply
	// Hold is a long poll: it renews the lease, confirms ended runs up to lastSeen and waits at
	// most wait for the next one to end.
	Hold(ctx context.Context, order cluster.Order, lastSeen int64, wait time.Duration) (cluster.Report, cluster.Reply)
}

// Adviser is a node through which the advice service can be called.
type Adviser interface {
	Name() string
	Advise(ctx context.Context, step scheduler.StepID, workers []string) (tickets []cluster.Ticket, validFor time.Duration, err error)
}

// Advisers lists the nodes that can call the advice service, this one included.
type Advisers interface {
	// Advisers returns the nodes that a shard should use, in order of preference.
	Advisers(shard cluster.ShardID) []Adviser
}

// Machines lists the platform's machines.
type Machines interface {
	// Machines returns the machines as they were at most age ago.
	Machines(ctx context.Context) (list []cluster.Machine, age time.Duration, err error)
}

// Directory decodes the rows with which workers announce themselves.
type Directory interface {
	// Table is the name of the directory's table.
	Table() string
	// Worker decodes the row of a worker; an error is a *cluster.Error.
	Worker(row tables.Row) (cluster.Worker, error)
}

// Deps are the dependencies of an Owner.
type Deps struct {
	Tables    tables.Service
	Workers   Workers
	Advisers  Advisers
	Machines  Machines
	Directory Directory
	Shards    Shards
	Confirmer Confirmer
	// CountInvalidEntry counts a directory entry that names no valid worker.
	CountInvalidEntry func(reason cluster.Kind)
	Log               *zap.Logger
}
