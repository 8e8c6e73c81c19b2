// SPDX-License-Identifier: Apache-2.0

package platform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/httpx"
)

const maxObjectBytes = 64 << 20

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindUnavailable is a call without a usable reply; a write may have taken effect.
	KindUnavailable Kind = "unavailable"
	// KindNotFound is a read of an object that does not exist.
	KindNotFound Kind = "not_found"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string { return fmt.Sprintf("platform: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client calls the platform's services over HTTP.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a client for the platform at base; each call takes at most timeout.
func NewClient(base string, c *http.Client, timeout time.Duration) *Client {
	return &Client{base: base, http: c, timeout: timeout}
}

// Commit asks the table service to carry out a transaction.
func (c *Client) Commit(ctx context.Context, t Txn) (TxnResult, error) {
	return call[Txn, TxnResult](ctx, c, "commit", "/v1/table/commit", t)
}

// List returns the rows of a table whose key starts with prefix, in key order.
func (c *Client) List(ctx context.Context, table, prefix string) ([]Row, error) {
	q := url.Values{"table": {table}, "prefix": {prefix}}
	res, err := call[httpx.Empty, Rows](ctx, c, "list", "/v1/table/rows?"+q.Encode(), httpx.Empty{})
	return res.Rows, err
}

// Get returns a row; a row that does not exist has version 0.
func (c *Client) Get(ctx context.Context, table, key string) (Row, error) {
	q := url.Values{"table": {table}, "key": {key}}
	return call[httpx.Empty, Row](ctx, c, "get", "/v1/table/row?"+q.Encode(), httpx.Empty{})
}

// Hosts returns the hosts of a data centre.
func (c *Client) Hosts(ctx context.Context, dataCentre string) ([]Host, error) {
	q := url.Values{"data_centre": {dataCentre}}
	res, err := call[httpx.Empty, Hosts](ctx, c, "hosts", "/v1/hosts?"+q.Encode(), httpx.Empty{})
	return res.Hosts, err
}

// PutObject stores an object.
func (c *Client) PutObject(ctx context.Context, key string, data []byte) error {
	_, err := c.callObject(ctx, http.MethodPut, key, data)
	return err
}

// GetObject returns an object.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	return c.callObject(ctx, http.MethodGet, key, nil)
}

// DeleteObject removes an object.
func (c *Client) DeleteObject(ctx context.Context, key string) error {
	_, err := c.callObject(ctx, http.MethodDelete, key, nil)
	return err
}

// callObject calls the object store and returns the body of its answer.
func (c *Client) callObject(ctx context.Context, method, key string, data []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	op := "object " + method
	req, err := http.NewRequestWithContext(ctx, method, c.base+"/v1/objects/"+url.PathEscape(key), bytes.NewReader(data))
	if err != nil {
		return nil, &Error{op, KindUnavailable, err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &Error{op, KindUnavailable, err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxObjectBytes))
	if err != nil {
		return nil, &Error{op, KindUnavailable, err}
	}
	if resp.StatusCode == http.StatusNotFound {
		return nil, &Error{op, KindNotFound, errors.New(key)}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &Error{op, KindUnavailable, errors.New(resp.Status)}
	}
	return body, nil
}

// call sends a JSON message to the platform and decodes the reply.
func call[Req, Resp any](ctx context.Context, c *Client, op, path string, req Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := httpx.Call[Req, Resp](ctx, c.http, c.base+path, req)
	if err != nil {
		return resp, &Error{op, KindUnavailable, err}
	}
	return resp, nil
}
