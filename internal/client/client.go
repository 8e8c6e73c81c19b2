// SPDX-License-Identifier: Apache-2.0

// Package client calls a node as a caller or an operator does.
//
// # Usage
//
//	c := client.New(client.Config{Callers: "127.0.0.1:8080", Team: "inkasoft"})
//	st, err := c.Create(ctx, workload)
//	ans, err := c.Request(ctx, client.Request{Service: "balance-check", Body: body})
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/bundle"
	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/node"
)

const (
	callTimeout  = 40 * time.Second
	maxReply     = 32 << 20
	dialConns    = 128
	idleTimeout  = 30 * time.Second
	headerLimits = 64 << 10
)

// Config says where the node is and who calls.
type Config struct {
	// Callers and Operators are the node's listeners, each IP:port.
	Callers   string
	Operators string
	Team      string
	Token     string
	// Transport is nil for TCP.
	Transport http.RoundTripper
}

// Kind tells apart the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindTransport is a call without a whole reply.
	KindTransport Kind = "transport"
	// KindProblem is a reply that carries a problem document.
	KindProblem Kind = "problem"
	// KindReply is a reply that can't be read.
	KindReply Kind = "reply"
)

// Error is the error type of this package.
type Error struct {
	Op      string
	Kind    Kind
	Err     error
	Problem httpx.Problem
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string {
	if e.Kind != KindProblem {
		return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
	}
	s := fmt.Sprintf("%s: %d %s", e.Op, e.Problem.Status, e.Problem.Reason)
	if e.Problem.Field != "" {
		s += ": " + e.Problem.Field
	}
	if e.Problem.Detail != "" {
		s += ": " + e.Problem.Detail
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ProblemOf returns the problem document that err carries.
func ProblemOf(err error) (httpx.Problem, bool) {
	var e *Error
	if errors.As(err, &e) && e.Kind == KindProblem {
		return e.Problem, true
	}
	return httpx.Problem{}, false
}

// Client calls one node.
type Client struct {
	cfg  Config
	http *http.Client
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Transport == nil {
		cfg.Transport = &http.Transport{
			MaxConnsPerHost: dialConns, MaxIdleConnsPerHost: dialConns, IdleConnTimeout: idleTimeout,
			MaxResponseHeaderBytes: headerLimits,
		}
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: cfg.Transport, Timeout: callTimeout}}
}

// Request is a request to a service.
type Request struct {
	Service string
	Body    []byte
	Timeout time.Duration
	// Key is set for a request that must not be repeated, with the time it was made.
	Key        string
	KeyCreated time.Time
	Repeatable bool
}

// Answer is an upstream's whole answer.
type Answer struct {
	Status    int
	RequestID string
	Body      []byte
}

// Request sends a request to a service.
func (c *Client) Request(ctx context.Context, r Request) (Answer, error) {
	const op = "request"
	path := "http://" + c.cfg.Callers + "/v1/services/" + url.PathEscape(r.Service) + "/requests"
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{}, &Error{Op: op, Kind: KindTransport, Err: err}
	}
	if r.Timeout > 0 {
		hr.Header.Set(api.HeaderTimeout, strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	}
	if r.Key != "" {
		hr.Header.Set(api.HeaderKey, r.Key)
		hr.Header.Set(api.HeaderKeyCreated, r.KeyCreated.UTC().Format(time.RFC3339))
	}
	if r.Repeatable {
		hr.Header.Set(api.HeaderRepeatable, "true")
	}
	resp, body, err := c.do(op, hr)
	if err != nil {
		return Answer{}, err
	}
	if resp.Header.Get(api.HeaderOutcome) != string(api.OutcomeDone) {
		return Answer{}, problemOf(op, resp.StatusCode, body)
	}
	return Answer{Status: resp.StatusCode, RequestID: resp.Header.Get(api.HeaderRequestID), Body: body}, nil
}

func (c *Client) do(op string, hr *http.Request) (*http.Response, []byte, error) {
	if c.cfg.Team != "" {
		hr.Header.Set(api.HeaderTeam, c.cfg.Team)
	}
	if c.cfg.Token != "" {
		hr.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	}
	resp, err := c.http.Do(hr)
	if err != nil {
		return nil, nil, &Error{Op: op, Kind: KindTransport, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return nil, nil, &Error{Op: op, Kind: KindTransport, Err: err}
	}
	return resp, body, nil
}

func problemOf(op string, status int, body []byte) error {
	e := &Error{Op: op, Kind: KindProblem}
	if json.Unmarshal(body, &e.Problem) != nil || e.Problem.Reason == "" {
		e.Problem = httpx.Problem{Reason: "http_status", Detail: http.StatusText(status)}
	}
	e.Problem.Status = status
	return e
}

// call sends a message and reads its typed reply.
func call[Resp any](ctx context.Context, c *Client, op, method, url string, req any) (Resp, error) {
	var resp Resp
	var payload io.Reader
	if req != nil {
		body, err := json.Marshal(req)
		if err != nil {
			return resp, &Error{Op: op, Kind: KindReply, Err: err}
		}
		payload = bytes.NewReader(body)
	}
	hr, err := http.NewRequestWithContext(ctx, method, url, payload)
	if err != nil {
		return resp, &Error{Op: op, Kind: KindTransport, Err: err}
	}
	hr.Header.Set("Content-Type", "application/json")
	res, body, err := c.do(op, hr)
	if err != nil {
		return resp, err
	}
	if res.StatusCode/100 != 2 {
		return resp, problemOf(op, res.StatusCode, body)
	}
	if err := json.Unmarshal(body, &resp); err != nil {
		return resp, &Error{Op: op, Kind: KindReply, Err: err}
	}
	return resp, nil
}

func (c *Client) workloads() string { return "http://" + c.cfg.Callers + "/v1/workloads" }

// Create declares a workload.
func (c *Client) Create(ctx context.Context, w api.Workload) (api.Status, error) {
	return call[api.Status](ctx, c, "create", http.MethodPost, c.workloads(), w)
}

// Get returns a workload, once its revision is above since.
func (c *Client) Get(ctx context.Context, id string, since int64, tasks bool) (api.Status, error) {
	q := url.Values{"tasks": {strconv.FormatBool(tasks)}}
	if since > 0 {
		q.Set("since", strconv.FormatInt(since, 10))
	}
	return call[api.Status](ctx, c, "get", http.MethodGet, c.workloads()+"/"+url.PathEscape(id)+"?"+q.Encode(), nil)
}

// List returns the team's workloads.
func (c *Client) List(ctx context.Context) (api.StatusList, error) {
	return call[api.StatusList](ctx, c, "list", http.MethodGet, c.workloads(), nil)
}

// Cancel ends a workload.
func (c *Client) Cancel(ctx context.Context, id string) (api.Status, error) {
	return call[api.Status](ctx, c, "cancel", http.MethodDelete, c.workloads()+"/"+url.PathEscape(id), nil)
}

// Wait waits until fn is satisfied by a workload's status.
func (c *Client) Wait(ctx context.Context, id string, fn func(api.Status) bool) (api.Status, error) {
	var since int64
	for {
		st, err := c.Get(ctx, id, since, false)
		if p, ok := ProblemOf(err); ok && p.RetryAfterMS > 0 {
			if err := sleep(ctx, time.Duration(p.RetryAfterMS)*time.Millisecond); err != nil {
				return st, err
			}
			continue
		}
		if err != nil || fn(st) {
			return st, err
		}
		since = st.Revision
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

func (c *Client) operator(path string) string { return "http://" + c.cfg.Operators + path }

// Status returns what the node tells of itself and of the cell.
func (c *Client) Status(ctx context.Context) (node.Status, error) {
	return call[node.Status](ctx, c, "status", http.MethodGet, c.operator(node.PathStatus), nil)
}

// Drain begins a planned stop of the node.
func (c *Client) Drain(ctx context.Context) (node.DrainReply, error) {
	return call[node.DrainReply](ctx, c, "drain", http.MethodPost, c.operator(node.PathDrain), httpx.Empty{})
}

// Bundle returns the bundle in force and the proposal that waits.
func (c *Client) Bundle(ctx context.Context) (node.BundleStatus, error) {
	return call[node.BundleStatus](ctx, c, "bundle status", http.MethodGet, c.operator(node.PathBundle), nil)
}

// Propose puts a signed bundle up.
func (c *Client) Propose(ctx context.Context, b *bundle.Bundle, p bundle.Proposal) (bundle.Proposal, error) {
	req := node.ProposeRequest{Bundle: b, Proposal: p}
	return call[bundle.Proposal](ctx, c, "bundle propose", http.MethodPost, c.operator(node.PathBundlePropose), req)
}

// Accept puts a proposed bundle in force.
func (c *Client) Accept(ctx context.Context, change string) (bundle.Head, error) {
	return call[bundle.Head](ctx, c, "bundle accept", http.MethodPost, c.operator(node.PathBundleAccept), node.AcceptRequest{Change: change})
}

// AcceptWhenStaged accepts once every live node has staged the bundle.
func (c *Client) AcceptWhenStaged(ctx context.Context, change string) (bundle.Head, error) {
	const again = 200 * time.Millisecond
	for {
		head, err := c.Accept(ctx, change)
		if p, ok := ProblemOf(err); !ok || p.Reason != "bundle_"+string(bundle.KindNotStaged) {
			return head, err
		}
		if err := sleep(ctx, again); err != nil {
			return head, &Error{Op: "bundle accept", Kind: KindTransport, Err: err}
		}
	}
}

// History returns the accepted bundles, oldest first.
func (c *Client) History(ctx context.Context) (node.HistoryReply, error) {
	return call[node.HistoryReply](ctx, c, "bundle history", http.MethodGet, c.operator(node.PathBundleHistory), nil)
}

// Ready reports whether the node serves.
func (c *Client) Ready(ctx context.Context) bool {
	hr, err := http.NewRequestWithContext(ctx, http.MethodGet, c.operator("/readyz"), nil)
	if err != nil {
		return false
	}
	resp, _, err := c.do("ready", hr)
	return err == nil && resp.StatusCode == http.StatusOK
}
