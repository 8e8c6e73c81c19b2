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
	loadCallers       = 6
	loadInterval      = 15 * time.Millisecond
	loadTimeout       = 3 * time.Second
	keyedRequestEvery = 4
	// outcomeNoReply is the outcome of a request without a complete reply.
	outcomeNoReply = "cut"
)

// requestRecord is a sent request and the outcome that its caller got.
type requestRecord struct {
	body, key   string
	node        int
	outcome     string
	wrongAnswer bool
	sent        time.Time
	latency     time.Duration
}

// loadGenerator runs callers that continuously send requests, some of them with a key.
type loadGenerator struct {
	cell *cell
	done chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	nodes   []int
	records []requestRecord
}

// startLoad starts sending requests to a service.
func startLoad(c *cell, service string) *loadGenerator {
	l := &loadGenerator{cell: c, done: make(chan struct{})}
	for i := range c.nodes {
		l.nodes = append(l.nodes, i)
	}
	for i := range loadCallers {
		l.wg.Go(func() { l.runCaller(i, service) })
	}
	return l
}

// excludeNode stops new requests to a node, as a load balancer does when a node leaves.
func (l *loadGenerator) excludeNode(node int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = slices.DeleteFunc(l.nodes, func(n int) bool { return n == node })
}

// pickNode chooses a node for the n-th request.
func (l *loadGenerator) pickNode(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nodes[n%len(l.nodes)]
}

// runCaller sends requests until the load stops. A request with a key is sent a second time
// through another node, which must not run it again.
func (l *loadGenerator) runCaller(i int, service string) {
	t := time.NewTicker(loadInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-l.done:
			return
		case <-t.C:
		}
		r := requestRecord{body: fmt.Sprintf("sleep 5ms caller %d request %d", i, n), node: l.pickNode(i + n)}
		if n%keyedRequestEvery == 0 {
			r.key = fmt.Sprintf("key-%d-%d", i, n)
		}
		created := time.Now()
		l.sendRequest(r, service, created)
		if r.key != "" {
			r.node = l.pickNode(i + n + 1)
			l.sendRequest(r, service, created)
		}
	}
}

// sendRequest sends a request and records its outcome.
func (l *loadGenerator) sendRequest(r requestRecord, service string, created time.Time) {
	r.sent = time.Now()
	ans, err := l.cell.client(r.node, "inkasoft").Request(l.cell.ctx, client.Request{
		Service: service, Body: []byte(r.body), Timeout: loadTimeout, Key: r.key, KeyCreated: created,
	})
	r.latency = time.Since(r.sent)
	r.outcome = string(api.OutcomeDone)
	if err != nil {
		r.outcome = outcomeNoReply
		if p, ok := client.ProblemOf(err); ok && p.Outcome != "" {
			r.outcome = p.Outcome
		}
	} else {
		var echo standinworker.Answer
		r.wrongAnswer = json.Unmarshal(ans.Body, &echo) != nil || echo.Echo != r.body
	}
	l.mu.Lock()
	l.records = append(l.records, r)
	l.mu.Unlock()
}

// stop stops the callers and waits for their last requests.
func (l *loadGenerator) stop() {
	close(l.done)
	l.wg.Wait()
}

// outcomeCounts counts the requests by outcome, and the violations of guarantees.
type outcomeCounts struct {
	sent, done, refused, notRun, unknown, noReply int
	wrongAnswers, ranDespiteNotRun, keyedRunTwice int
}

// countOutcomes compares the outcomes that callers got with the requests that the instances
// ran, which runs counts by their body.
func (l *loadGenerator) countOutcomes(runs map[string]int) outcomeCounts {
	var n outcomeCounts
	// Bodies of which every request was reported as not run.
	reportedNotRun := make(map[string]bool)
	for _, r := range l.records {
		n.sent++
		switch r.outcome {
		case string(api.OutcomeDone):
			n.done++
		case string(api.OutcomeRefused):
			n.refused++
		case string(api.OutcomeNotRun):
			n.notRun++
		case outcomeNoReply:
			n.noReply++
		default:
			n.unknown++
		}
		if r.wrongAnswer {
			n.wrongAnswers++
		}
		notRun := r.outcome == string(api.OutcomeNotRun) || r.outcome == string(api.OutcomeRefused)
		if before, ok := reportedNotRun[r.body]; !ok || before {
			reportedNotRun[r.body] = notRun
		}
		if r.key != "" && runs[r.body] > 1 {
			n.keyedRunTwice++
		}
	}
	for body, notRun := range reportedNotRun {
		if notRun && runs[body] > 0 {
			n.ranDespiteNotRun++
		}
	}
	return n
}

// checkInvariants logs the counts and fails the test if they show a violation.
func (n outcomeCounts) checkInvariants(t *testing.T) {
	t.Helper()
	t.Logf("requests: %+v", n)
	if n.wrongAnswers+n.ranDespiteNotRun+n.keyedRunTwice > 0 {
		t.Errorf("violated guarantees: %+v", n)
	}
	if n.done == 0 {
		t.Error("no request was answered")
	}
}
