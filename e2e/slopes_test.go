// SPDX-License-Identifier: Apache-2.0

//go:build slopes

package e2e_test

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/resource"
)

// slopeDuration is how long each point is measured, after slopeWarmUp.
const (
	slopeDuration = 20 * time.Second
	slopeWarmUp   = 6 * time.Second
)

// defaultSettings leaves all durations at their defaults.
const defaultSettings = `
node: entry-%d
data_centre: kosice-1
data_centres: [{name: kosice-1, worker_shards: 8}]
job_shards: 8
listen: {callers: "127.0.0.1:0", peers: "127.0.0.1:0", operators: "127.0.0.1:0"}
platform: {url: "%s"}
review: {required: 1, reviewers: [{name: "%s", key: "%s"}]}
log: {level: info}
`

// point is one measurement of the resource usage of a node.
type point struct {
	name           string
	nodes, workers int
	tasks          int
	// changes is how many bundles are rolled out during the measurement.
	changes int
	// starts is how many short tasks are started during the measurement.
	starts int
}

var points = []point{
	{name: "idle, no worker", nodes: 1},
	{name: "50 workers", nodes: 1, workers: 50},
	{name: "200 workers", nodes: 1, workers: 200},
	{name: "400 workers", nodes: 1, workers: 400},
	{name: "200 workers, 1000 tasks", nodes: 1, workers: 200, tasks: 1000},
	{name: "200 workers, 4000 tasks", nodes: 1, workers: 200, tasks: 4000},
	{name: "3 nodes", nodes: 3},
	{name: "6 nodes", nodes: 6},
	{name: "200 workers, 2000 starts", nodes: 1, workers: 200, starts: 2000},
	{name: "10 bundle changes", nodes: 1, changes: 10},
}

// resourceUsage holds the resources that a node has used since its start.
type resourceUsage struct {
	cpu          float64
	rss          float64
	bytes        float64
	bytesByClass map[string]float64
}

// TestSlopes measures the points one after the other and writes a table. Its rows show how a
// node's resource usage grows with the workers, tasks, nodes and changes.
func TestSlopes(t *testing.T) {
	var out strings.Builder
	fmt.Fprintf(&out, "%-28s %10s %9s %12s %12s %12s %12s\n", "point", "core %", "MB", "bytes/s", "workers B/s", "peers B/s", "platform B/s")
	for _, p := range points {
		t.Run(p.name, func(t *testing.T) {
			c := newCell(t, 0, 0, noRelayedNode)
			c.settings = defaultSettings
			p.prepare(c)
			sleep(c, slopeWarmUp)
			before := c.measureUsage(0)
			started := time.Now()
			p.applyLoad(c)
			sleep(c, slopeDuration-time.Since(started))
			after, seconds := c.measureUsage(0), time.Since(started).Seconds()
			rate := func(class string) float64 { return (after.bytesByClass[class] - before.bytesByClass[class]) / seconds }
			fmt.Fprintf(&out, "%-28s %10.3f %9.1f %12.0f %12.0f %12.0f %12.0f\n", p.name, 100*(after.cpu-before.cpu)/seconds, after.rss/1e6,
				(after.bytes-before.bytes)/seconds, rate("workers"), rate("peers"), rate("platform"))
		})
	}
	t.Log("\n" + out.String())
	if name := os.Getenv("SLOPES_OUT"); name != "" {
		if err := os.WriteFile(name, []byte(out.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// prepare starts the point's workers, nodes and long-running tasks.
func (p point) prepare(c *cell) {
	if p.workers > 0 {
		c.startProcess("dev", "worker", "--platform", c.platformURL, "--id", "w", "--data-centre", "kosice-1", "--rack", "r",
			"--cpu-milli", "64000", "--memory-mb", "256000", "--count", strconv.Itoa(p.workers))
	}
	for i := range p.nodes {
		c.startNode(i)
	}
	c.acceptBundle()
	if p.tasks > 0 {
		p.submit(c, "standing", p.tasks, "1h")
	}
}

// submit creates a batch and waits until all its tasks run or have ended.
func (p point) submit(c *cell, id string, tasks int, sleep string) {
	cl := c.client(0, "inkasoft")
	w := api.Workload{
		ID: id, Team: "inkasoft", Kind: api.KindBatch, Class: "notice", Tasks: tasks,
		Size: resource.Amount{CPUMilli: 1000, MemoryMB: 1000}, Command: []string{"sleep", sleep},
	}
	if _, err := cl.Create(c.ctx, w); err != nil {
		c.t.Fatal(err)
	}
	if _, err := cl.Wait(c.ctx, id, func(s api.Status) bool { return s.Counts.Running+s.Counts.Done == tasks }); err != nil {
		c.t.Fatal(err)
	}
}

// applyLoad starts the short tasks and rolls out the bundle changes.
func (p point) applyLoad(c *cell) {
	if p.starts > 0 {
		p.submit(c, "short", p.starts, "1ms")
	}
	for i := range p.changes {
		if _, err := c.reviewer.Accept(c.ctx, c.client(0, ""), fmt.Sprintf("change-%d", i)); err != nil {
			c.t.Fatal(err)
		}
	}
}

// measureUsage reads a node's resource usage from its metrics.
func (c *cell) measureUsage(i int) resourceUsage {
	req, err := http.NewRequestWithContext(c.ctx, http.MethodGet, "http://"+c.nodes[i].operators+"/metrics", nil)
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	usage := resourceUsage{bytesByClass: make(map[string]float64)}
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), " ")
		v, err := strconv.ParseFloat(value, 64)
		switch {
		case err != nil:
		case name == "process_cpu_seconds_total":
			usage.cpu = v
		case name == "process_resident_memory_bytes":
			usage.rss = v
		case strings.HasPrefix(name, "switchbank_bytes_total"):
			usage.bytes += v
			usage.bytesByClass[strings.Split(name, `"`)[1]] += v
		}
	}
	return usage
}
