// SPDX-License-Identifier: Apache-2.0

package requests_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/worker"
	standin "switchbank.example/switchbank/standin/worker"
)

// startInstance starts an instance with two slots on a stand-in worker. To check another
// implementation of an instance against the contract, replace this function.
func startInstance(t *testing.T) (address string, stop func()) {
	t.Helper()
	size := resource.Amount{CPUMilli: 1, MemoryMB: 1}
	w := standin.New(standin.Config{ID: "w", Capacity: size, Listen: func() (net.Listener, error) {
		var lc net.ListenConfig
		return lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	}})
	t.Cleanup(w.Close)
	rep, err := w.Contact(t.Context(), worker.Contact{Epoch: 1, Inventory: true})
	if err != nil {
		t.Fatal(err)
	}
	const leaseMS = 60_000
	rep, err = w.Contact(t.Context(), worker.Contact{Epoch: 1, Ticket: rep.Ticket, LeaseMS: leaseMS, Start: []worker.Spec{{
		Attempt: worker.Attempt{Job: "j", N: 1}, Size: size, Command: []string{"serve"}, Service: svc, Slots: 2,
	}}})
	if err != nil || rep.Started[0].Refused != "" {
		t.Fatal(rep, err)
	}
	return rep.Started[0].Address, w.Close
}

// send sends a request to an instance; the answer's body is closed.
func send(ctx context.Context, t *testing.T, address, id, body string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(api.HeaderRequestID, id)
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
	return resp, err
}

// TestInstanceContract checks what a node relies on: an instance puts the request's ID on
// its answer, says when it did not run a request, and runs at most as many requests at a
// time as it has slots.
func TestInstanceContract(t *testing.T) {
	address, stop := startInstance(t)
	resp, err := send(t.Context(), t, address, "id-1", "hello")
	if err != nil || resp.StatusCode != http.StatusOK || resp.Header.Get(api.HeaderRequestID) != "id-1" {
		t.Fatal(resp, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			// A probe below may hold the slot for a moment; then this request is refused
			// and sent again.
			for ctx.Err() == nil {
				_, _ = send(ctx, t, address, "busy", "sleep 1h")
			}
		})
	}
	for refused := false; !refused; {
		resp, err := send(t.Context(), t, address, "id-2", "beyond")
		if err != nil {
			t.Fatal(err)
		}
		refused = resp.StatusCode == http.StatusServiceUnavailable
		if refused && resp.Header.Get(api.HeaderNotRun) == "" {
			t.Error("a request beyond the slots was refused without saying that it did not run")
		}
	}
	cancel()
	wg.Wait()
	stop()
	if _, err := send(t.Context(), t, address, "id-3", "late"); err == nil {
		t.Error("a stopped instance answered")
	}
}
