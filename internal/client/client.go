// SPDX-License-Identifier: Apache-2.0

// Package client calls the HTTP interfaces of a node for callers and operators.
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
	callTimeout    = 40 * time.Second
	maxReplyBytes  = 32 << 20
	maxConns       = 128
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 64 << 10
)

// Config holds the addresses of a node and the identity of the client.
type Config struct {
	// Callers and Operators are the addresses of the node's listeners, each IP:port.
	Callers   string
	Operators string
	Team      string
	Token     string
	// Transport carries the calls; nil is an HTTP transport over TCP.
	Transport http.RoundTripper
}

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindTransport is a call that got no complete reply.
	KindTransport Kind = "transport"
	// KindProblem is a reply with a problem document.
	KindProblem Kind = "problem"
	// KindReply is a message that can't be encoded or decoded.
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

// Client calls a single node.
type Client struct {
	cfg  Config
	http *http.Client
}

// New returns a client of the node at cfg's addresses.
func New(cfg Config) *Client {
	if cfg.Transport == nil {
		cfg.Transport = &http.Transport{
			MaxConnsPerHost: maxConns, MaxIdleConnsPerHost: maxConns, IdleConnTimeout: idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: cfg.Transport, Timeout: callTimeout}}
}

// Request is a request to a service.
type Request struct {
	Service string
	Body    []byte
	Timeout time.Duration
	// Key identifies a request that must run at most once; KeyCreated is when the key was created.
	Key        string
	KeyCreated time.Time
	Repeatable bool
}

// Answer is an upstream's complete answer.
type Answer struct {
	Status    int
	RequestID string
	Body      []byte
}

// Request sends a request to a service and waits for its answer.
func (c *Client) Request(ctx context.Context, r Request) (Answer, error) {
	const op = "request"
	path := "http://" + c.cfg.Callers + "/v1/services/" + url.PathEscape(r.Service) + "/requests"
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{}, &Error{Op: op, Kind: KindTransport, Err: err}
	}
	if r.Timeout > 0 {
		httpReq.Header.Set(api.HeaderTimeout, strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	}
	if r.Key != "" {
		httpReq.Header.Set(api.HeaderKey, r.Key)
		httpReq.Header.Set(api.HeaderKeyCreated, r.KeyCreated.UTC().Format(time.RFC3339))
	}
	if r.Repeatable {
		httpReq.Header.Set(api.HeaderRepeatable, "true")
	}
	resp, body, err := c.do(op, httpReq)
	if err != nil {
		return Answer{}, err
	}
	if resp.Header.Get(api.HeaderOutcome) != string(api.OutcomeDone) {
		return Answer{}, problemFromReply(op, resp.StatusCode, body)
	}
	return Answer{Status: resp.StatusCode, RequestID: resp.Header.Get(api.HeaderRequestID), Body: body}, nil
}

// do sends a request with the client's credentials and reads the whole reply.
func (c *Client) do(op string, httpReq *http.Request) (*http.Response, []byte, error) {
	if c.cfg.Team != "" {
		httpReq.Header.Set(api.HeaderTeam, c.cfg.Team)
	}
	if c.cfg.Token != "" {
		httpReq.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	}
	resp, err := c.http.Do(httpReq)
	if err != nil {
		return nil, nil, &Error{Op: op, Kind: KindTransport, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, nil, &Error{Op: op, Kind: KindTransport, Err: err}
	}
	return resp, body, nil
}

// problemFromReply returns the problem document in body, or one that names only the status.
func problemFromReply(op string, status int, body []byte) error {
	e := &Error{Op: op, Kind: KindProblem}
	if json.Unmarshal(body, &e.Problem) != nil || e.Problem.Reason == "" {
		e.Problem = httpx.Problem{Reason: "http_status", Detail: http.StatusText(status)}
	}
	e.Problem.Status = status
	return e
}

// call sends req as JSON and decodes the reply.
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
	httpReq, err := http.NewRequestWithContext(ctx, method, url, payload)
	if err != nil {
		return resp, &Error{Op: op, Kind: KindTransport, Err: err}
	}
	httpReq.Header.Set("Content-Type", "application/json")
	httpResp, body, err := c.do(op, httpReq)
	if err != nil {
		return resp, err
	}
	if httpResp.StatusCode/100 != 2 {
		return resp, problemFromReply(op, httpResp.StatusCode, body)
	}
	if err := json.Unmarshal(body, &resp); err != nil {
		return resp, &Error{Op: op, Kind: KindReply, Err: err}
	}
	return resp, nil
}

func (c *Client) workloadsURL() string { return "http://" + c.cfg.Callers + "/v1/workloads" }

// Create submits a workload.
func (c *Client) Create(ctx context.Context, w api.Workload) (api.Status, error) {
	return call[api.Status](ctx, c, "create", http.MethodPost, c.workloadsURL(), w)
}

// Get returns the status of a workload. If since is above 0, the node answers once the
// workload's revision is higher, or after the longest wait that it allows.
func (c *Client) Get(ctx context.Context, id string, since int64, tasks bool) (api.Status, error) {
	q := url.Values{"tasks": {strconv.FormatBool(tasks)}}
	if since > 0 {
		q.Set("since", strconv.FormatInt(since, 10))
	}
	return call[api.Status](ctx, c, "get", http.MethodGet, c.workloadsURL()+"/"+url.PathEscape(id)+"?"+q.Encode(), nil)
}

// List returns the team's workloads.
func (c *Client) List(ctx context.Context) (api.StatusList, error) {
	return call[api.StatusList](ctx, c, "list", http.MethodGet, c.workloadsURL(), nil)
}

// Cancel cancels a workload.
func (c *Client) Cancel(ctx context.Context, id string) (api.Status, error) {
	return call[api.Status](ctx, c, "cancel", http.MethodDelete, c.workloadsURL()+"/"+url.PathEscape(id), nil)
}

// Wait polls a workload until done returns true for its status.
func (c *Client) Wait(ctx context.Context, id string, done func(api.Status) bool) (api.Status, error) {
	var since int64
	for {
		st, err := c.Get(ctx, id, since, false)
		if p, ok := ProblemOf(err); ok && p.RetryAfterMS > 0 {
			if err := sleep(ctx, time.Duration(p.RetryAfterMS)*time.Millisecond); err != nil {
				return st, err
			}
			continue
		}
		if err != nil || done(st) {
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

func (c *Client) operatorURL(path string) string { return "http://" + c.cfg.Operators + path }

// Status returns the status of the node and of the cell as the node sees it.
func (c *Client) Status(ctx context.Context) (node.Status, error) {
	return call[node.Status](ctx, c, "status", http.MethodGet, c.operatorURL(node.PathStatus), nil)
}

// Drain starts a planned stop of the node.
func (c *Client) Drain(ctx context.Context) (node.DrainReply, error) {
	return call[node.DrainReply](ctx, c, "drain", http.MethodPost, c.operatorURL(node.PathDrain), httpx.Empty{})
}

// Bundle returns the bundle in force and the pending proposal.
func (c *Client) Bundle(ctx context.Context) (node.BundleStatus, error) {
	return call[node.BundleStatus](ctx, c, "bundle status", http.MethodGet, c.operatorURL(node.PathBundle), nil)
}

// Propose uploads a signed bundle for the nodes to stage.
func (c *Client) Propose(ctx context.Context, b *bundle.Bundle, p bundle.Proposal) (bundle.Proposal, error) {
	req := node.ProposeRequest{Bundle: b, Proposal: p}
	return call[bundle.Proposal](ctx, c, "bundle propose", http.MethodPost, c.operatorURL(node.PathBundlePropose), req)
}

// Accept puts a proposed bundle in force.
func (c *Client) Accept(ctx context.Context, change string) (bundle.Head, error) {
	return call[bundle.Head](ctx, c, "bundle accept", http.MethodPost, c.operatorURL(node.PathBundleAccept), node.AcceptRequest{Change: change})
}

// AcceptWhenStaged retries Accept until every live node has staged the bundle.
func (c *Client) AcceptWhenStaged(ctx context.Context, change string) (bundle.Head, error) {
	const retryInterval = 200 * time.Millisecond
	for {
		head, err := c.Accept(ctx, change)
		if p, ok := ProblemOf(err); !ok || p.Reason != "bundle_"+string(bundle.KindNotStaged) {
			return head, err
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return head, &Error{Op: "bundle accept", Kind: KindTransport, Err: err}
		}
	}
}

// History returns the accepted bundles, oldest first.
func (c *Client) History(ctx context.Context) (node.HistoryReply, error) {
	return call[node.HistoryReply](ctx, c, "bundle history", http.MethodGet, c.operatorURL(node.PathBundleHistory), nil)
}

// Ready reports whether the node's readiness check succeeds.
func (c *Client) Ready(ctx context.Context) bool {
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodGet, c.operatorURL("/readyz"), nil)
	if err != nil {
		return false
	}
	resp, _, err := c.do("ready", httpReq)
	return err == nil && resp.StatusCode == http.StatusOK
}
