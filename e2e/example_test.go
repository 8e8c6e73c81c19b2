// SPDX-License-Identifier: Apache-2.0

//go:build e2e

package e2e_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/client"
	"switchbank.example/switchbank/standin/local"
)

// TestExample runs the example on three nodes and eight workers.
func TestExample(t *testing.T) {
	c := newCell(t, 3, 8, noRelayedNode)
	c.acceptBundle()
	var out bytes.Buffer
	err := local.RunExample(c.ctx, func(team string) *client.Client { return c.client(0, team) }, &out)
	t.Log(out.String())
	if err != nil {
		t.Fatal(err)
	}
	summarizeEvents(c.workerEvents(), "reminders").checkInvariants(t)
}

// TestNodeKilled kills a node while batches run. All their tasks must still succeed, each
// started once, and requests must be answered.
func TestNodeKilled(t *testing.T) {
	c := newCell(t, 3, 8, noRelayedNode)
	c.acceptBundle()
	cl := c.client(0, "inkasoft")
	service := c.startService()
	ids := submitBatches(t, c, cl)
	c.nodes[2].kill()
	for _, id := range ids {
		st, err := cl.Wait(c.ctx, id, func(s api.Status) bool { return s.State.Final() })
		if err != nil {
			t.Fatal(err)
		}
		if st.Counts.Done != st.Workload.Tasks {
			t.Errorf("%s: %s: %+v %s", id, st.State, st.Counts, st.Reason)
		}
	}
	ans, err := cl.Request(c.ctx, client.Request{Service: service.Service, Body: []byte("after the kill"), Timeout: 10 * time.Second})
	if err != nil || !bytes.Contains(ans.Body, []byte("after the kill")) {
		t.Errorf("request after the kill: %s, %v", ans.Body, err)
	}
	summarizeEvents(c.workerEvents(), ids...).checkInvariants(t)
}

// startService creates the example's service and waits until all its instances run.
func (c *cell) startService() api.Workload {
	c.t.Helper()
	cl := c.client(0, "inkasoft")
	service, err := local.Workload("balance-check")
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := cl.Create(c.ctx, service); err != nil {
		c.t.Fatal(err)
	}
	if _, err := cl.Wait(c.ctx, service.ID, func(s api.Status) bool { return s.Counts.Running == service.Tasks }); err != nil {
		c.t.Fatal(err)
	}
	return service
}

// submitBatches creates enough batches to reach every job shard, and waits until a task
// of the first batch runs.
func submitBatches(t *testing.T, c *cell, cl *client.Client) []string {
	t.Helper()
	w, err := local.Workload("reminders")
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for i := range 12 {
		w.ID = fmt.Sprintf("reminders-%d", i)
		w.Tasks = 6
		w.Size.CPUMilli = 500
		w.Size.MemoryMB = 1000
		if _, err := cl.Create(c.ctx, w); err != nil {
			t.Fatal(err)
		}
		ids = append(ids, w.ID)
	}
	if _, err := cl.Wait(c.ctx, ids[0], func(s api.Status) bool { return s.Counts.Running+s.Counts.Done > 0 }); err != nil {
		t.Fatal(err)
	}
	return ids
}
