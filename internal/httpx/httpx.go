// SPDX-License-Identifier: Apache-2.0

// Package httpx carries typed JSON messages over net/http, with limits on what
// is read and problem documents (RFC 9457) for errors.
//
// # Usage
//
//	mux.Handle("POST /peer/v1/reserve", httpx.Handle(limits, n.reserve))
//	resp, err := httpx.Call[Req, Resp](ctx, client, url, req)
package httpx

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

const (
	// MaxDepth is the deepest nesting of JSON that is read.
	MaxDepth = 32
	// ContentProblem is the media type of a problem document.
	ContentProblem = "application/problem+json"
	contentJSON    = "application/json"
	maxReplyBytes  = 16 << 20
)

// Empty is an empty message.
type Empty struct{}

// Problem is an error as RFC 9457 describes it, with switchbank's own members.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome is what became of the request: refused, not_run or unknown.
	Outcome string `json:"outcome,omitempty"`
	// Reason is a stable word for the cause.
	Reason string `json:"reason"`
	// Field names the member of the request that is wrong.
	Field string `json:"field,omitempty"`
	// RetryAfterMS is how long to wait before another try, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Kind tells apart the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindTransport is a call without a reply.
	KindTransport Kind = "transport"
	// KindProblem is a reply that carries a problem document.
	KindProblem Kind = "problem"
	// KindDecode is a message that can't be read.
	KindDecode Kind = "decode"
)

// Error is the error type of this package.
type Error struct {
	Op      string
	Kind    Kind
	Err     error
	Problem Problem
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string {
	if e.Kind == KindProblem {
		return fmt.Sprintf("httpx: %s: %d %s: %s", e.Op, e.Problem.Status, e.Problem.Reason, e.Problem.Detail)
	}
	return fmt.Sprintf("httpx: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NewProblem returns an error that Handle answers as a problem document.
func NewProblem(status int, reason, detail string) *Error {
	return &Error{Op: "handle", Kind: KindProblem, Problem: Problem{Status: status, Reason: reason, Detail: detail}}
}

// FieldProblem returns a 422 problem that names the field which is wrong.
func FieldProblem(field, detail string) *Error {
	e := NewProblem(http.StatusUnprocessableEntity, "invalid_field", detail)
	e.Problem.Field = field
	return e
}

// Reason returns the reason of the problem that err carries, or "".
func Reason(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Problem.Reason
	}
	return ""
}

// Handle returns a handler that reads a Req, calls fn and writes its Resp.
func Handle[Req, Resp any](limit int64, fn func(context.Context, Req) (Resp, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if err := Decode(w, r, limit, &req); err != nil {
			WriteError(w, err)
			return
		}
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		resp, err := fn(ctx, req)
		if err != nil {
			WriteError(w, err)
			return
		}
		writeReply(w, r, resp)
	})
}

// writeReply answers with v, packed if it is large and the caller accepts that.
func writeReply(w http.ResponseWriter, r *http.Request, v any) {
	body, ok := encodeReply(w, v)
	if !ok {
		return
	}
	if small, ok := packed(r, body); ok {
		w.Header().Set("Content-Encoding", encodingGzip)
		body = small
	}
	writeBody(w, http.StatusOK, body)
}

// Decode reads the body of r into v: at most limit bytes, no unknown members.
func Decode(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return NewProblem(http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("the body is larger than %d bytes", limit))
		}
		return NewProblem(http.StatusBadRequest, "body_unreadable", err.Error())
	}
	return Unmarshal(body, v)
}

// Unmarshal reads v from strict JSON: bounded depth, no unknown members, nothing behind it.
func Unmarshal(body []byte, v any) error {
	if len(bytes.TrimSpace(body)) == 0 {
		return nil
	}
	if depth(body) > MaxDepth {
		return NewProblem(http.StatusBadRequest, "json_too_deep", fmt.Sprintf("JSON is nested deeper than %d", MaxDepth))
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return decodeProblem(err)
	}
	if _, err := d.Token(); err != io.EOF {
		return NewProblem(http.StatusBadRequest, "json_trailing", "there is more than one JSON value")
	}
	return nil
}

func decodeProblem(err error) error {
	p := NewProblem(http.StatusBadRequest, "json_invalid", err.Error())
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		p.Problem.Field = wrongType.Field
	}
	var unknown string
	if n, _ := fmt.Sscanf(err.Error(), "json: unknown field %q", &unknown); n == 1 {
		p.Problem.Reason, p.Problem.Field = "unknown_field", unknown
	}
	return p
}

func depth(body []byte) int {
	deepest, n, inString := 0, 0, false
	for i := 0; i < len(body); i++ {
		switch c := body[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			n++
			deepest = max(deepest, n)
		case c == '}' || c == ']':
			n--
		}
	}
	return deepest
}

// WriteJSON answers with v.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	if body, ok := encodeReply(w, v); ok {
		writeBody(w, status, body)
	}
}

// encodeReply encodes v, or answers that this failed.
func encodeReply(w http.ResponseWriter, v any) (body []byte, ok bool) {
	body, err := json.Marshal(v)
	if err != nil {
		WriteError(w, errors.Wrap(err, "encode reply"))
		return nil, false
	}
	return body, true
}

// writeBody answers with an encoded body.
func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", contentJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// WriteError answers with the problem that err carries, or with 500.
func WriteError(w http.ResponseWriter, err error) {
	var e *Error
	if !errors.As(err, &e) || e.Kind != KindProblem {
		e = NewProblem(http.StatusInternalServerError, "internal", err.Error())
	}
	p := e.Problem
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
	if p.Type == "" {
		p.Type = "about:blank"
	}
	body, _ := json.Marshal(p)
	w.Header().Set("Content-Type", ContentProblem)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if p.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((p.RetryAfterMS+999)/1000, 10))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// Call posts req to url and reads a Resp; an Empty request is sent as GET.
func Call[Req, Resp any](ctx context.Context, c *http.Client, url string, req Req) (Resp, error) {
	method, payload := http.MethodPost, io.Reader(nil)
	if _, none := any(req).(Empty); none {
		method = http.MethodGet
	} else {
		body, err := json.Marshal(req)
		if err != nil {
			var zero Resp
			return zero, &Error{Op: url, Kind: KindDecode, Err: err}
		}
		payload = bytes.NewReader(body)
	}
	return Send[Resp](ctx, c, method, url, payload)
}

// Send sends payload to url by method and reads a Resp.
func Send[Resp any](ctx context.Context, c *http.Client, method, url string, payload io.Reader) (Resp, error) {
	var resp Resp
	hr, err := http.NewRequestWithContext(ctx, method, url, payload)
	if err != nil {
		return resp, &Error{Op: url, Kind: KindTransport, Err: err}
	}
	hr.Header.Set("Content-Type", contentJSON)
	if token, ok := ctx.Value(tokenKey{}).(string); ok {
		hr.Header.Set("Authorization", "Bearer "+token)
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(hr.Header))
	res, err := c.Do(hr)
	if err != nil {
		return resp, &Error{Op: url, Kind: KindTransport, Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return resp, &Error{Op: url, Kind: KindTransport, Err: err}
	}
	if res.StatusCode/100 != 2 {
		return resp, problemFrom(url, res.StatusCode, body)
	}
	if err := json.Unmarshal(body, &resp); err != nil {
		return resp, &Error{Op: url, Kind: KindDecode, Err: err}
	}
	return resp, nil
}

func problemFrom(url string, status int, body []byte) *Error {
	e := &Error{Op: url, Kind: KindProblem}
	if err := json.Unmarshal(body, &e.Problem); err != nil || e.Problem.Reason == "" {
		e.Problem = Problem{Reason: "http_status", Detail: http.StatusText(status)}
	}
	e.Problem.Status = status
	return e
}

type tokenKey struct{}

// WithToken returns a context whose calls carry a bearer token.
func WithToken(ctx context.Context, token string) context.Context {
	return context.WithValue(ctx, tokenKey{}, token)
}

// RetryAfter returns a copy of e that tells when to come back.
func (e *Error) RetryAfter(d time.Duration) *Error {
	e.Problem.RetryAfterMS = max(1, d.Milliseconds())
	return e
}

// WithOutcome returns e with a typed outcome.
func (e *Error) WithOutcome(outcome string) *Error {
	e.Problem.Outcome = outcome
	return e
}
