// SPDX-License-Identifier: Apache-2.0

package local

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"switchbank.example/switchbank/examples"
	"switchbank.example/switchbank/internal/client"
	"switchbank.example/switchbank/internal/config"
	"switchbank.example/switchbank/internal/node"
	"switchbank.example/switchbank/internal/platform"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/shard"
	"switchbank.example/switchbank/internal/telemetry"
	standin "switchbank.example/switchbank/standin/platform"
	"switchbank.example/switchbank/standin/worker"
)

const (
	loopback       = "127.0.0.1:0"
	workerCount    = 8
	workersPerRack = 4
	httpTimeout    = 5 * time.Second
	exampleTimeout = 2 * time.Minute
	pollInterval   = 50 * time.Millisecond
)

// Listening is the line of JSON that a stand-in prints once it listens, so that whoever
// started it on port 0 learns its address.
type Listening struct {
	Listening string `json:"listening"`
}

// RunPlatform serves a stand-in platform until ctx ends.
func RunPlatform(ctx context.Context, address string, out io.Writer) error {
	l, err := listenAndAnnounce(ctx, address, out)
	if err != nil {
		return err
	}
	return serveUntil(ctx, l, standin.New().Handler())
}

// WorkerOptions configure a stand-in worker.
type WorkerOptions struct {
	Host platform.Host
	// Platform is the URL of the stand-in platform to whose host list the worker is added.
	Platform string
	// FailAll makes every task fail.
	FailAll bool
}

// RunWorkers serves count stand-in workers, eight to a rack, until ctx ends.
func RunWorkers(ctx context.Context, address string, count int, opts WorkerOptions, out io.Writer) error {
	const perRack = 8
	if count <= 1 {
		return RunWorker(ctx, address, opts, out)
	}
	g, ctx := errgroup.WithContext(ctx)
	for i := range count {
		workerOpts := opts
		workerOpts.Host.ID = fmt.Sprintf("%s-%d", opts.Host.ID, i)
		workerOpts.Host.Rack = fmt.Sprintf("%s-%d", opts.Host.Rack, i/perRack)
		g.Go(func() error { return RunWorker(ctx, address, workerOpts, io.Discard) })
	}
	return g.Wait()
}

// RunWorker serves a stand-in worker until ctx ends.
func RunWorker(ctx context.Context, address string, opts WorkerOptions, out io.Writer) error {
	l, err := listenAndAnnounce(ctx, address, out)
	if err != nil {
		return err
	}
	opts.Host.Address = l.Addr().String()
	if err := register(ctx, opts); err != nil {
		return err
	}
	w := worker.New(worker.Config{ID: opts.Host.ID, Capacity: opts.Host.Capacity, Listen: listenLoopback, FailAll: opts.FailAll})
	defer w.Close()
	return serveUntil(ctx, l, w.Handler())
}

// register adds a worker to a stand-in platform's host list.
func register(ctx context.Context, opts WorkerOptions) error {
	body, err := json.Marshal(opts.Host)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, opts.Platform+"/standin/v1/hosts", bytes.NewReader(body))
	if err != nil {
		return err
	}
	c := &http.Client{Timeout: httpTimeout}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// listenAndAnnounce listens on address and writes the line Listening to out.
func listenAndAnnounce(ctx context.Context, address string, out io.Writer) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return l, json.NewEncoder(out).Encode(Listening{Listening: l.Addr().String()})
}

func listenLoopback() (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(context.Background(), "tcp", loopback)
}

func serveUntil(ctx context.Context, l net.Listener, h http.Handler) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: httpTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// RunCell runs a cell of one node, a stand-in platform and stand-in workers in this
// process, and the example on it.
func RunCell(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, exampleTimeout)
	defer cancel()
	reviewer, err := NewReviewer()
	if err != nil {
		return err
	}
	cfg, err := cellConfig(reviewer)
	if err != nil {
		return err
	}
	p := standin.New()
	cellCtx, stop := context.WithCancel(ctx)
	defer stop()
	var g errgroup.Group
	for i := range workerCount {
		if err := startWorker(cellCtx, &g, p, i); err != nil {
			return err
		}
	}
	n, callers, operators, err := newNode(cfg, p)
	if err != nil {
		return err
	}
	g.Go(func() error { return n.Run(cellCtx) })
	connect := func(team string) *client.Client {
		return client.New(client.Config{Callers: callers, Operators: operators, Team: team})
	}
	err = acceptAndRun(ctx, reviewer, connect, out)
	stop()
	if runErr := g.Wait(); err == nil {
		err = runErr
	}
	return err
}

func cellConfig(r Reviewer) (config.Config, error) {
	cfg, err := config.Parse("examples/node.yaml", examples.Node)
	cfg.Review = r.Review
	cfg.DataCentres = []shard.DataCentre{{Name: cfg.DataCentre, WorkerShards: 2}}
	cfg.Requests.DrainDelay = 10 * time.Millisecond
	return cfg, err
}

func startWorker(ctx context.Context, g *errgroup.Group, p *standin.Platform, i int) error {
	l, err := listenLoopback()
	if err != nil {
		return err
	}
	h := ExampleHost(i, "kosice-1")
	h.Address = l.Addr().String()
	p.SetHost(h)
	w := worker.New(worker.Config{ID: h.ID, Capacity: h.Capacity, Listen: listenLoopback})
	g.Go(func() error {
		defer w.Close()
		return serveUntil(ctx, l, w.Handler())
	})
	return nil
}

// ExampleHost returns the i-th worker of the example: 16 cores and 32 GB.
func ExampleHost(i int, dataCentre string) platform.Host {
	return platform.Host{
		ID: fmt.Sprintf("worker-%d", i), DataCentre: dataCentre, Rack: fmt.Sprintf("rack-%d", i/workersPerRack),
		State: platform.HostLive, Capacity: resource.Amount{CPUMilli: 16000, MemoryMB: 32000},
	}
}

func newNode(cfg config.Config, p *standin.Platform) (n *node.Node, callers, operators string, err error) {
	log, err := telemetry.NewLogger("warn", os.Stderr)
	if err != nil {
		return nil, "", "", err
	}
	deps := node.Deps{Platform: p, Log: log}
	for _, l := range []*net.Listener{&deps.Callers, &deps.Peers, &deps.Operators} {
		if *l, err = listenLoopback(); err != nil {
			return nil, "", "", err
		}
	}
	return node.New(cfg, deps), deps.Callers.Addr().String(), deps.Operators.Addr().String(), nil
}

// acceptAndRun waits until the node is ready, brings the bundle into force and runs the
// example.
func acceptAndRun(ctx context.Context, r Reviewer, connect func(team string) *client.Client, out io.Writer) error {
	op := connect("")
	if err := WaitReady(ctx, op); err != nil {
		return err
	}
	head, err := r.Accept(ctx, op, "example-1")
	if err != nil {
		return err
	}
	writeLine(out, "bundle version %d is accepted: %s", head.Version, head.Digest)
	if err := WaitInForce(ctx, op, head.Version); err != nil {
		return err
	}
	return RunExample(ctx, connect, out)
}

// WaitReady waits until the node of c reports that it is ready.
func WaitReady(ctx context.Context, c *client.Client) error {
	return poll(ctx, func() bool { return c.Ready(ctx) })
}

// WaitInForce waits until every live node applies the given bundle version or a later one.
func WaitInForce(ctx context.Context, c *client.Client, version int64) error {
	return poll(ctx, func() bool {
		st, err := c.Bundle(ctx)
		if err != nil || st.Head.Version < version {
			return false
		}
		for _, n := range st.Nodes {
			if n.InForce < version {
				return false
			}
		}
		return len(st.Nodes) > 0
	})
}

// poll calls fn until it returns true or ctx ends.
func poll(ctx context.Context, fn func() bool) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for !fn() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}
