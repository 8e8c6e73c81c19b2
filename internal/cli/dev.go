// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"context"
	"os/signal"
	"syscall"

	"switchbank.example/switchbank/internal/platform"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/standin/local"
)

type devCmd struct {
	Run      devRunCmd      `cmd:"" default:"1" help:"Run the example on one node with in-memory stand-ins, and end."`
	Platform devPlatformCmd `cmd:"" help:"Run a stand-in platform."`
	Worker   devWorkerCmd   `cmd:"" help:"Run a stand-in worker."`
}

// signalContext returns a context that ends with SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

type devRunCmd struct{}

// Run runs the example cell and its workloads.
func (devRunCmd) Run(env *Env) error {
	ctx, stop := signalContext()
	defer stop()
	return local.RunCell(ctx, env.Out)
}

type devPlatformCmd struct {
	Listen string `default:"127.0.0.1:9000" help:"IP:port to listen on."`
}

// Run serves a stand-in platform until a signal.
func (c devPlatformCmd) Run(env *Env) error {
	ctx, stop := signalContext()
	defer stop()
	return local.RunPlatform(ctx, c.Listen, env.Out)
}

type devWorkerCmd struct {
	Listen       string `default:"127.0.0.1:0" help:"IP:port to listen on."`
	Platform     string `default:"http://127.0.0.1:9000" help:"URL of the stand-in platform."`
	ID           string `required:"" name:"id" help:"The worker's name."`
	DataCentre   string `required:"" help:"The worker's data centre."`
	Rack         string `required:"" help:"The worker's rack."`
	CPUMilli     int64  `name:"cpu-milli" default:"16000" help:"Processors, in thousandths of a core."`
	MemoryMB     int64  `name:"memory-mb" default:"32000" help:"Memory, in megabytes."`
	Accelerators int64  `default:"0" help:"Accelerators."`
	FailAll      bool   `help:"Fail every task."`
	Count        int    `default:"1" help:"How many workers to run in this process; from 2 on their names and racks are numbered."`
}

// Run serves a stand-in worker until a signal.
func (c devWorkerCmd) Run(env *Env) error {
	ctx, stop := signalContext()
	defer stop()
	return local.RunWorkers(ctx, c.Listen, c.Count, local.WorkerOptions{
		Platform: c.Platform, FailAll: c.FailAll,
		Host: platform.Host{
			ID: c.ID, DataCentre: c.DataCentre, Rack: c.Rack, State: platform.HostLive,
			Capacity: resource.Amount{CPUMilli: c.CPUMilli, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators},
		},
	}, env.Out)
}
