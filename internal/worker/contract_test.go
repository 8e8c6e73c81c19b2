// SPDX-License-Identifier: Apache-2.0

package worker_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/worker"
	standin "switchbank.example/switchbank/standin/worker"
)

// agent is the worker that the contract tests check. To check another implementation,
// return it from newAgent.
type agent interface {
	Contact(ctx context.Context, c worker.Contact) (worker.Report, error)
}

const leaseTTL = 10 * time.Second

var size = resource.Amount{CPUMilli: 1000, MemoryMB: 1000}

func newAgent() agent {
	return standin.New(standin.Config{
		ID: "w", Capacity: size.Times(2),
		Listen: func() (net.Listener, error) { return nil, net.ErrClosed },
	})
}

// nodeSide sends contacts to a worker as a node does: with its epoch and the last ticket.
type nodeSide struct {
	t      *testing.T
	w      agent
	epoch  int64
	ticket int64
}

func (s *nodeSide) contact(c worker.Contact) worker.Report {
	s.t.Helper()
	c.Epoch, c.LeaseMS = s.epoch, leaseTTL.Milliseconds()
	if c.Ticket == 0 {
		c.Ticket = s.ticket
	}
	rep, err := s.w.Contact(s.t.Context(), c)
	if err != nil {
		s.t.Fatal(err)
	}
	if rep.Ticket != 0 {
		s.ticket = rep.Ticket
	}
	return rep
}

func spec(task, n int, command ...string) worker.Spec {
	return worker.Spec{Attempt: worker.Attempt{Job: "j", Task: task, N: n}, Size: size, Command: command}
}

// runContract runs a case in virtual time on a new worker that was contacted once, so that
// the node has a ticket.
func runContract(t *testing.T, fn func(t *testing.T, s *nodeSide)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &nodeSide{t: t, w: newAgent(), epoch: 5}
		s.contact(worker.Contact{Inventory: true})
		fn(t, s)
		// Tasks that still run end when their leases expire.
		time.Sleep(2 * leaseTTL)
	})
}

func (s *nodeSide) isRunning(a worker.Attempt) bool {
	s.t.Helper()
	for _, r := range s.contact(worker.Contact{Inventory: true}).Running {
		if r.Spec.Attempt == a {
			return true
		}
	}
	return false
}

func (s *nodeSide) start(sp worker.Spec) worker.Refusal {
	s.t.Helper()
	return s.contact(worker.Contact{Start: []worker.Spec{sp}}).Started[0].Refused
}

func TestLowerEpochIsRefused(t *testing.T) {
	runContract(t, func(t *testing.T, s *nodeSide) {
		s.epoch = 6
		s.contact(worker.Contact{})
		s.epoch = 5
		rep := s.contact(worker.Contact{Start: []worker.Spec{spec(0, 1, "sleep", "1h")}})
		if rep.Refused != worker.RefusedStaleEpoch || rep.Epoch != 6 {
			t.Errorf("have %+v", rep)
		}
		s.epoch = 6
		if s.isRunning(spec(0, 1).Attempt) {
			t.Error("the task of the former owner runs")
		}
	})
}

func TestStartWithStaleTicketIsRefused(t *testing.T) {
	runContract(t, func(t *testing.T, s *nodeSide) {
		old := s.ticket
		time.Sleep(leaseTTL)
		rep := s.contact(worker.Contact{Ticket: old, Start: []worker.Spec{spec(0, 1, "sleep", "1h")}})
		if rep.Started[0].Refused != worker.RefusedStaleTicket {
			t.Errorf("have %+v", rep.Started)
		}
		if got := s.start(spec(0, 1, "sleep", "1h")); got != "" {
			t.Errorf("start with a fresh ticket: %s", got)
		}
	})
}

func TestLateRenewalDoesNotExtendLease(t *testing.T) {
	runContract(t, func(t *testing.T, s *nodeSide) {
		a := spec(0, 1, "sleep", "1h")
		s.start(a)
		old := s.ticket
		time.Sleep(leaseTTL - time.Second)
		s.contact(worker.Contact{Ticket: old, Renew: true})
		time.Sleep(2 * time.Second)
		if s.isRunning(a.Attempt) {
			t.Error("a late renewal extended the lease as if it counted from its arrival")
		}
		rep := s.contact(worker.Contact{})
		if len(rep.Ended) != 1 || rep.Ended[0].Result != worker.ResultLeaseExpired {
			t.Errorf("have %+v", rep.Ended)
		}
	})
}

func TestRenewalKeepsTasksRunning(t *testing.T) {
	runContract(t, func(t *testing.T, s *nodeSide) {
		a, b := spec(0, 1, "sleep", "1h"), spec(1, 1, "sleep", "1h")
		s.start(a)
		s.start(b)
		for range 10 {
			time.Sleep(leaseTTL / 3)
			s.contact(worker.Contact{Renew: true, Except: []worker.Attempt{b.Attempt}})
		}
		if !s.isRunning(a.Attempt) || s.isRunning(b.Attempt) {
			t.Error("renewals must extend the leases of all tasks but the excepted ones")
		}
	})
}

func TestEndIsReportedUntilAcknowledged(t *testing.T) {
	runContract(t, func(t *testing.T, s *nodeSide) {
		a := spec(0, 1, "sleep", "1s")
		s.start(a)
		time.Sleep(2 * time.Second)
		for range 2 {
			if rep := s.contact(worker.Contact{}); len(rep.Ended) != 1 || rep.Ended[0].Result != worker.ResultDone {
				t.Fatalf("have %+v", rep.Ended)
			}
		}
		if rep := s.contact(worker.Contact{Ack: []worker.Attempt{a.Attempt}}); len(rep.Ended) != 0 {
			t.Errorf("after the acknowledgement: %+v", rep.Ended)
		}
		if got := s.start(a); got != worker.RefusedStopped {
			t.Errorf("start of an attempt that has ended: %q", got)
		}
	})
}

func TestStopPreventsLaterStart(t *testing.T) {
	runContract(t, func(t *testing.T, s *nodeSide) {
		a := spec(0, 1, "sleep", "1h")
		s.contact(worker.Contact{Stop: []worker.Attempt{a.Attempt}})
		if got := s.start(a); got != worker.RefusedStopped {
			t.Errorf("start that arrives after its stop: %q", got)
		}
		if got := s.start(spec(0, 2, "sleep", "1h")); got != "" {
			t.Errorf("start of the next attempt: %q", got)
		}
	})
}

func TestStartIsIdempotentAndBounded(t *testing.T) {
	runContract(t, func(t *testing.T, s *nodeSide) {
		for range 3 {
			if got := s.start(spec(0, 1, "sleep", "1h")); got != "" {
				t.Errorf("repeated start: %q", got)
			}
		}
		s.start(spec(1, 1, "sleep", "1h"))
		if got := s.start(spec(2, 1, "sleep", "1h")); got != worker.RefusedNoRoom {
			t.Errorf("start beyond the capacity: %q", got)
		}
	})
}

func FuzzContact(f *testing.F) {
	f.Add([]byte(`{"shard":"s","owner":"o","epoch":1,"ticket":1,"lease_ms":1000,"renew":true,"start":[{"attempt":{"job":"j","task":0,"n":1}}]}`))
	f.Fuzz(func(_ *testing.T, body []byte) {
		var c worker.Contact
		if httpx.Unmarshal(body, &c) != nil {
			return
		}
		c.WaitMS = 0
		w := standin.New(standin.Config{ID: "w", Capacity: size, Listen: func() (net.Listener, error) { return nil, net.ErrClosed }})
		_, _ = w.Contact(context.Background(), c)
		w.Close()
	})
}
