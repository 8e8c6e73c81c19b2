// SPDX-License-Identifier: Apache-2.0

// Package local runs the example on stand-ins for the platform and the workers: a whole
// cell in one process, or one stand-in as a process of its own.
//
// # Usage
//
//	err := local.RunCell(ctx, os.Stdout) // the example, start to end
//	err = local.RunPlatform(ctx, "127.0.0.1:0", os.Stdout)
package local

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"time"

	"golang.org/x/sync/errgroup"

	"switchbank.example/switchbank/examples"
	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/bundle"
	"switchbank.example/switchbank/internal/client"
)

const exampleReviewer = "reviewer"

// Reviewer signs the example's bundle. Review is the setting that names its public key.
type Reviewer struct {
	Review bundle.Review
	key    ed25519.PrivateKey
}

// NewReviewer returns a reviewer with a new key. Nodes that run with its Review accept a
// bundle only with its signature.
func NewReviewer() (Reviewer, error) {
	pub, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return Reviewer{}, err
	}
	return Reviewer{
		Review: bundle.Review{
			Required:  1,
			Reviewers: []bundle.Reviewer{{Name: exampleReviewer, Key: base64.StdEncoding.EncodeToString(pub)}},
		},
		key: key,
	}, nil
}

// Accept signs the example's bundle, proposes it through c and accepts it.
func (r Reviewer) Accept(ctx context.Context, c *client.Client, change string) (bundle.Head, error) {
	sub, err := fs.Sub(examples.Bundle, "bundle")
	if err != nil {
		return bundle.Head{}, err
	}
	b, err := bundle.LoadFS(sub)
	if err != nil {
		return bundle.Head{}, err
	}
	st, err := c.Bundle(ctx)
	if err != nil {
		return bundle.Head{}, err
	}
	p := bundle.Proposal{
		Base: st.Head.Version, Change: change, Operator: "example", Proposed: time.Now().UTC(),
		Signatures: []bundle.Signature{bundle.Sign(b.Digest(), exampleReviewer, r.key)},
	}
	if _, err := c.Propose(ctx, b, p); err != nil {
		return bundle.Head{}, err
	}
	return c.AcceptWhenStaged(ctx, change)
}

// Workload returns one of the example's workloads.
func Workload(name string) (api.Workload, error) {
	var w api.Workload
	data, err := examples.Workloads.ReadFile("workloads/" + name + ".json")
	if err != nil {
		return w, err
	}
	return w, json.Unmarshal(data, &w)
}

// submit creates one of the example's workloads on behalf of its team, and returns the
// team's client.
func submit(ctx context.Context, connect func(team string) *client.Client, name string) (api.Status, *client.Client, error) {
	w, err := Workload(name)
	if err != nil {
		return api.Status{}, nil, err
	}
	c := connect(w.Team)
	st, err := c.Create(ctx, w)
	return st, c, err
}

// RunExample submits a service, a batch and an all-at-once job and sends requests to the
// service. It writes where each task was placed, and why others waited.
func RunExample(ctx context.Context, connect func(team string) *client.Client, out io.Writer) error {
	names := []string{"balance-check", "reminders", "manifest"}
	clients := make([]*client.Client, len(names))
	for i, name := range names {
		st, c, err := submit(ctx, connect, name)
		if err != nil {
			return err
		}
		clients[i] = c
		writeLine(out, "submitted %s: %s, %d tasks, team %s", name, st.Workload.Kind, st.Workload.Tasks, st.Workload.Team)
	}
	st, err := clients[0].Wait(ctx, names[0], func(s api.Status) bool { return s.Counts.Running == s.Workload.Tasks })
	if err != nil {
		return err
	}
	if err := writeStatus(ctx, clients, names, out); err != nil {
		return err
	}
	if err := sendRequests(ctx, clients[0], st.Workload.Service, out); err != nil {
		return err
	}
	for i, name := range names[1:] {
		if _, err := clients[i+1].Wait(ctx, name, func(s api.Status) bool { return s.State.Final() }); err != nil {
			return err
		}
	}
	return writeStatus(ctx, clients, names, out)
}

// writeStatus writes the counts of each workload, why its tasks wait, and where its active
// tasks are.
func writeStatus(ctx context.Context, clients []*client.Client, names []string, out io.Writer) error {
	for i, name := range names {
		st, err := clients[i].Get(ctx, name, 0, true)
		if err != nil {
			return err
		}
		c := st.Counts
		writeLine(out, "%-14s %-8s waiting %d, placed %d, running %d, done %d", name, st.State, c.Waiting, c.Placed, c.Running, c.Done)
		if st.WaitReason != "" {
			writeLine(out, "    waits: %s", st.WaitReason)
		}
		for _, t := range st.Tasks {
			if t.State.Active() {
				writeLine(out, "    task %d attempt %d %s on %s", t.Task, t.Attempt, t.State, t.Worker)
			}
		}
	}
	return nil
}

// sendRequests sends requests without a key, and then one request with a key twice, to
// show that it runs once.
func sendRequests(ctx context.Context, c *client.Client, service string, out io.Writer) error {
	const n = 20
	answers := make([]client.Answer, n)
	g, gctx := errgroup.WithContext(ctx)
	for i := range n {
		g.Go(func() (err error) {
			body := fmt.Appendf(nil, "balance of household %d", i)
			answers[i], err = c.Request(gctx, client.Request{Service: service, Body: body, Timeout: 5 * time.Second})
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	writeLine(out, "%d requests answered; the last: %s", n, answers[n-1].Body)
	keyed := client.Request{
		Service: service, Body: []byte("bill household 7"), Timeout: 5 * time.Second, Key: "bill-7-2026-12", KeyCreated: time.Now(),
	}
	first, err := c.Request(ctx, keyed)
	if err != nil {
		return err
	}
	second, err := c.Request(ctx, keyed)
	if err != nil {
		return err
	}
	writeLine(out, "a request with a key, sent twice, ran once: %t", string(first.Body) == string(second.Body))
	return nil
}

func writeLine(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format+"\n", args...)
}
