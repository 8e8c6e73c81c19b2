// SPDX-License-Identifier: Apache-2.0

// Package httpx sends and receives typed JSON messages over net/http. It limits the
// size and nesting of what it reads, rejects unknown members, and reports errors as
// problem documents (RFC 9457).
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
	// MaxDepth is the maximum nesting of JSON that is accepted.
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
	// Outcome says whether the request was run: refused, not_run or unknown.
	Outcome string `json:"outcome,omitempty"`
	// Reason is a stable, machine-readable name of the cause.
	Reason string `json:"reason"`
	// Field names the invalid member of the request.
	Field string `json:"field,omitempty"`
	// RetryAfterMS is how long to wait before a retry, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindTransport is a call that got no complete reply.
	KindTransport Kind = "transport"
	// KindProblem is a reply with a problem document.
	KindProblem Kind = "problem"
	// KindDecode is a message that can't be encoded or decoded.
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

// NewProblem returns an error that Handle and WriteError send as a problem document.
func NewProblem(status int, reason, detail string) *Error {
	return &Error{Op: "handle", Kind: KindProblem, Problem: Problem{Status: status, Reason: reason, Detail: detail}}
}

// FieldProblem returns a 422 problem that names the invalid field.
func FieldProblem(field, detail string) *Error {
	e := NewProblem(http.StatusUnprocessableEntity, "invalid_field", detail)
	e.Problem.Field = field
	return e
}

// Reason returns the reason of the problem in err, or "".
func Reason(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Problem.Reason
	}
	return ""
}

// Handle returns a handler that decodes a Req of at most limit bytes, calls fn and
// answers with its Resp or error.
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

// writeReply answers with v, compressed if it is large and the caller accepts gzip.
func writeReply(w http.ResponseWriter, r *http.Request, v any) {
	body, ok := encodeReply(w, v)
	if !ok {
		return
	}
	if compressed, ok := gzipReply(r, body); ok {
		w.Header().Set("Content-Encoding", encodingGzip)
		body = compressed
	}
	writeBody(w, http.StatusOK, body)
}

// Decode reads the body of r into v. More than limit bytes or unknown members are errors.
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

// Unmarshal decodes strict JSON into v: excessive nesting, unknown members and data after
// the first value are errors. An empty body leaves v as it is.
func Unmarshal(body []byte, v any) error {
	if len(bytes.TrimSpace(body)) == 0 {
		return nil
	}
	if nestingDepth(body) > MaxDepth {
		return NewProblem(http.StatusBadRequest, "json_too_deep", fmt.Sprintf("JSON is nested deeper than %d", MaxDepth))
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeProblem(err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return NewProblem(http.StatusBadRequest, "json_trailing", "there is more than one JSON value")
	}
	return nil
}

// decodeProblem returns the problem for an error of the JSON decoder, which names the
// member concerned where the decoder tells it.
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

// nestingDepth returns the deepest nesting of arrays and objects in a JSON text.
func nestingDepth(body []byte) int {
	deepest, level, inString := 0, 0, false
	for i := 0; i < len(body); i++ {
		switch c := body[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			level++
			deepest = max(deepest, level)
		case c == '}' || c == ']':
			level--
		}
	}
	return deepest
}

// WriteJSON answers with a status and v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	if body, ok := encodeReply(w, v); ok {
		writeBody(w, status, body)
	}
}

// encodeReply encodes v, or answers with an error if that fails.
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

// WriteError answers with the problem in err, or with status 500 if it has none.
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
	if _, empty := any(req).(Empty); empty {
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

// Send sends payload to url with the given method and reads a Resp.
func Send[Resp any](ctx context.Context, c *http.Client, method, url string, payload io.Reader) (Resp, error) {
	var resp Resp
	httpReq, err := http.NewRequestWithContext(ctx, method, url, payload)
	if err != nil {
		return resp, &Error{Op: url, Kind: KindTransport, Err: err}
	}
	httpReq.Header.Set("Content-Type", contentJSON)
	if token, ok := ctx.Value(tokenKey{}).(string); ok {
		httpReq.Header.Set("Authorization", "Bearer "+token)
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(httpReq.Header))
	httpResp, err := c.Do(httpReq)
	if err != nil {
		return resp, &Error{Op: url, Kind: KindTransport, Err: err}
	}
	defer func() { _ = httpResp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(httpResp.Body, maxReplyBytes))
	if err != nil {
		return resp, &Error{Op: url, Kind: KindTransport, Err: err}
	}
	if httpResp.StatusCode/100 != 2 {
		return resp, problemFrom(url, httpResp.StatusCode, body)
	}
	if err := json.Unmarshal(body, &resp); err != nil {
		return resp, &Error{Op: url, Kind: KindDecode, Err: err}
	}
	return resp, nil
}

// problemFrom returns the problem document in body, or one that names only the status.
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

// RetryAfter sets how long the caller should wait before a retry, and returns e.
func (e *Error) RetryAfter(d time.Duration) *Error {
	e.Problem.RetryAfterMS = max(1, d.Milliseconds())
	return e
}

// WithOutcome sets the outcome of the request, and returns e.
func (e *Error) WithOutcome(outcome string) *Error {
	e.Problem.Outcome = outcome
	return e
}
