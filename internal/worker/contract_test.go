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

// agent is a worker under the contract; another implementation is put under it
// by another newAgent.
type agent interface {
	Contact(ctx context.Context, c worker.Contact) (worker.Report, error)
}

const lease = 10 * time.Second

var size = resource.Amount{CPUMilli: 1000, MemoryMB: 1000}

func newAgent() agent {
	return standin.New(standin.Config{
		ID: "w", Capacity: size.Times(2),
		Listen: func() (net.Listener, error) { return nil, net.ErrClosed },
	})
}

// side is the node's side of the contract.
type side struct {
	t      *testing.T
	a      agent
	epoch  int64
	ticket int64
}

func (s *side) contact(c worker.Contact) worker.Report {
	s.t.Helper()
	c.Epoch, c.LeaseMS = s.epoch, lease.Milliseconds()
	if c.Ticket == 0 {
		c.Ticket = s.ticket
	}
	rep, err := s.a.Contact(s.t.Context(), c)
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

// contract runs a case in virtual time on a new worker that was contacted once.
func contract(t *testing.T, fn func(t *testing.T, s *side)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &side{t: t, a: newAgent(), epoch: 5}
		s.contact(worker.Contact{Inventory: true})
		fn(t, s)
		// What still runs ends with its lease.
		time.Sleep(2 * lease)
	})
}

func (s *side) runs(a worker.Attempt) bool {
	s.t.Helper()
	for _, r := range s.contact(worker.Contact{Inventory: true}).Running {
		if r.Spec.Attempt == a {
			return true
		}
	}
	return false
}

func (s *side) start(sp worker.Spec) worker.Refusal {
	s.t.Helper()
	return s.contact(worker.Contact{Start: []worker.Spec{sp}}).Started[0].Refused
}

func TestRefusesLowerEpoch(t *testing.T) {
	contract(t, func(t *testing.T, s *side) {
		s.epoch = 6
		s.contact(worker.Contact{})
		s.epoch = 5
		rep := s.contact(worker.Contact{Start: []worker.Spec{spec(0, 1, "sleep", "1h")}})
		if rep.Refused != worker.RefusedStaleEpoch || rep.Epoch != 6 {
			t.Errorf("have %+v", rep)
		}
		s.epoch = 6
		if s.runs(spec(0, 1).Attempt) {
			t.Error("the old owner's task runs")
		}
	})
}

func TestRefusesStartWithoutFreshTicket(t *testing.T) {
	contract(t, func(t *testing.T, s *side) {
		old := s.ticket
		time.Sleep(lease)
		rep := s.contact(worker.Contact{Ticket: old, Start: []worker.Spec{spec(0, 1, "sleep", "1h")}})
		if rep.Started[0].Refused != worker.RefusedStaleTicket {
			t.Errorf("have %+v", rep.Started)
		}
		if got := s.start(spec(0, 1, "sleep", "1h")); got != "" {
			t.Errorf("with a fresh ticket: %s", got)
		}
	})
}

func TestLateRenewalExtendsNothing(t *testing.T) {
	contract(t, func(t *testing.T, s *side) {
		a := spec(0, 1, "sleep", "1h")
		s.start(a)
		old := s.ticket
		time.Sleep(lease - time.Second)
		s.contact(worker.Contact{Ticket: old, Renew: true})
		time.Sleep(2 * time.Second)
		if s.runs(a.Attempt) {
			t.Error("a renewal counted from its arrival")
		}
		rep := s.contact(worker.Contact{})
		if len(rep.Ended) != 1 || rep.Ended[0].Result != worker.ResultLapsed {
			t.Errorf("have %+v", rep.Ended)
		}
	})
}

func TestRenewalKeepsRunning(t *testing.T) {
	contract(t, func(t *testing.T, s *side) {
		a, b := spec(0, 1, "sleep", "1h"), spec(1, 1, "sleep", "1h")
		s.start(a)
		s.start(b)
		for range 10 {
			time.Sleep(lease / 3)
			s.contact(worker.Contact{Renew: true, Except: []worker.Attempt{b.Attempt}})
		}
		if !s.runs(a.Attempt) || s.runs(b.Attempt) {
			t.Error("renewals must keep all but the excepted tasks")
		}
	})
}

func TestReportIsKeptUntilAcknowledged(t *testing.T) {
	contract(t, func(t *testing.T, s *side) {
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
			t.Errorf("an attempt that has ended starts again: %q", got)
		}
	})
}

func TestStopLeavesTombstone(t *testing.T) {
	contract(t, func(t *testing.T, s *side) {
		a := spec(0, 1, "sleep", "1h")
		s.contact(worker.Contact{Stop: []worker.Attempt{a.Attempt}})
		if got := s.start(a); got != worker.RefusedStopped {
			t.Errorf("a start behind its stop: %q", got)
		}
		if got := s.start(spec(0, 2, "sleep", "1h")); got != "" {
			t.Errorf("the next attempt: %q", got)
		}
	})
}

func TestStartIsIdempotentAndBounded(t *testing.T) {
	contract(t, func(t *testing.T, s *side) {
		for range 3 {
			if got := s.start(spec(0, 1, "sleep", "1h")); got != "" {
				t.Errorf("the same start again: %q", got)
			}
		}
		s.start(spec(1, 1, "sleep", "1h"))
		if got := s.start(spec(2, 1, "sleep", "1h")); got != worker.RefusedNoRoom {
			t.Errorf("a start beyond the capacity: %q", got)
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
