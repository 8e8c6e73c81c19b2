// SPDX-License-Identifier: Apache-2.0

//go:build e2e

package e2e_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/client"
	standinworker "switchbank.example/switchbank/standin/worker"
)

const (
	loadCallers  = 6
	loadEvery    = 15 * time.Millisecond
	loadTimeout  = 3 * time.Second
	loadKeyEvery = 4
	// outcomeCut is a request without a whole reply.
	outcomeCut = "cut"
)

// answered is one request of the load and what its caller was told.
type answered struct {
	body, key string
	node      int
	outcome   string
	wrong     bool
	sent      time.Time
	took      time.Duration
}

// load is callers that send requests all the time.
type load struct {
	c    *cell
	done chan struct{}
	wg   sync.WaitGroup

	mu    sync.Mutex
	nodes []int
	calls []answered
}

func startLoad(c *cell, service string) *load {
	l := &load{c: c, done: make(chan struct{})}
	for i := range c.nodes {
		l.nodes = append(l.nodes, i)
	}
	for i := range loadCallers {
		l.wg.Go(func() { l.caller(i, service) })
	}
	return l
}

// avoid makes the callers send nothing new to a node, as a balancer does.
func (l *load) avoid(node int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = slices.DeleteFunc(l.nodes, func(n int) bool { return n == node })
}

func (l *load) pick(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nodes[n%len(l.nodes)]
}

func (l *load) caller(i int, service string) {
	t := time.NewTicker(loadEvery)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-l.done:
			return
		case <-t.C:
		}
		a := answered{body: fmt.Sprintf("sleep 5ms caller %d request %d", i, n), node: l.pick(i + n)}
		if n%loadKeyEvery == 0 {
			a.key = fmt.Sprintf("key-%d-%d", i, n)
		}
		created := time.Now()
		l.send(a, service, created)
		if a.key != "" {
			a.node = l.pick(i + n + 1)
			l.send(a, service, created)
		}
	}
}

func (l *load) send(a answered, service string, created time.Time) {
	a.sent = time.Now()
	ans, err := l.c.client(a.node, "inkasoft").Request(l.c.ctx, client.Request{
		Service: service, Body: []byte(a.body), Timeout: loadTimeout, Key: a.key, KeyCreated: created,
	})
	a.took = time.Since(a.sent)
	a.outcome = string(api.OutcomeDone)
	if err != nil {
		a.outcome = outcomeCut
		if p, ok := client.ProblemOf(err); ok && p.Outcome != "" {
			a.outcome = p.Outcome
		}
	} else {
		var ans2 standinworker.Answer
		a.wrong = json.Unmarshal(ans.Body, &ans2) != nil || ans2.Echo != a.body
	}
	l.mu.Lock()
	l.calls = append(l.calls, a)
	l.mu.Unlock()
}

func (l *load) stop() {
	close(l.done)
	l.wg.Wait()
}

// counts are the figures of a run.
type counts struct {
	sent, done, refused, notRun, unknown, cut int
	wrong, notRunThatRan, keyedTwice          int
}

// count holds what callers were told against what the instances ran.
func (l *load) count(runs map[string]int) counts {
	var n counts
	ranNot := make(map[string]bool)
	for _, a := range l.calls {
		n.sent++
		switch a.outcome {
		case string(api.OutcomeDone):
			n.done++
		case string(api.OutcomeRefused):
			n.refused++
		case string(api.OutcomeNotRun):
			n.notRun++
		case outcomeCut:
			n.cut++
		default:
			n.unknown++
		}
		if a.wrong {
			n.wrong++
		}
		not := a.outcome == string(api.OutcomeNotRun) || a.outcome == string(api.OutcomeRefused)
		if was, ok := ranNot[a.body]; !ok || was {
			ranNot[a.body] = not
		}
		if a.key != "" && runs[a.body] > 1 {
			n.keyedTwice++
		}
	}
	for body, not := range ranNot {
		if not && runs[body] > 0 {
			n.notRunThatRan++
		}
	}
	return n
}

// mustBeClean fails the test for what must never happen, and logs the figures.
func (n counts) mustBeClean(t *testing.T) {
	t.Helper()
	t.Logf("requests: %+v", n)
	if n.wrong+n.notRunThatRan+n.keyedTwice > 0 {
		t.Errorf("broken promises: %+v", n)
	}
	if n.done == 0 {
		t.Error("no request was answered")
	}
}
