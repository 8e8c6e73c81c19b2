// SPDX-License-Identifier: Apache-2.0

package intake_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/intake"
)

// answerTimeout bounds the wait for an answer.
const answerTimeout = 10 * time.Second

// bodyLimit is the largest body that the test's handler reads.
const bodyLimit = 1 << 20

// serve serves a handler within limits and returns its address.
func serve(t *testing.T, l *intake.Limiter, h http.Handler) string {
	t.Helper()
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: answerTimeout}
	l.Attach(s)
	go func() { _ = s.Serve(l.Listener(inner)) }()
	t.Cleanup(func() { _ = s.Close() })
	return inner.Addr().String()
}

// sizeHandler answers with the size of the body, or with the kind of error as 503.
func sizeHandler(w http.ResponseWriter, r *http.Request) {
	body, err := intake.ReadBody(r.Context(), w, r, bodyLimit)
	var limited *intake.Error
	switch {
	case errors.As(err, &limited):
		http.Error(w, string(limited.Kind), http.StatusServiceUnavailable)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		defer body.Release()
		_, _ = fmt.Fprint(w, len(body.Bytes()))
	}
}

// send connects and writes a request.
func send(t *testing.T, address, request string) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		t.Fatal(err)
	}
	return c
}

// answer reads an answer and returns its status and body.
func answer(t *testing.T, c net.Conn) (int, string) {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, strings.TrimSpace(string(body))
}

func post(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// waitStats waits until the counts of a limiter satisfy a condition.
func waitStats(t *testing.T, l *intake.Limiter, condition string, ok func(intake.Stats) bool) {
	t.Helper()
	for end := time.Now().Add(answerTimeout); !ok(l.Stats()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%+v, want %s", l.Stats(), condition)
		}
	}
}

// TestSilentClientKeepsOthersOut guards against bodies that never end and hold all memory.
func TestSilentClientKeepsOthersOut(t *testing.T) {
	l := intake.New(intake.Limits{Bytes: 64 << 10, ReadTime: time.Minute})
	address := serve(t, l, http.HandlerFunc(sizeHandler))
	body := strings.Repeat("x", 50<<10)
	first := send(t, address, post(len(body), body[1:]))
	waitStats(t, l, "the first body held", func(s intake.Stats) bool { return s.HeldBytes >= 50<<10 })
	if status, text := answer(t, send(t, address, post(len(body), body))); status != http.StatusOK || text != "51200" {
		t.Errorf("the second client got %d %q", status, text)
	}
	if n, err := io.Copy(io.Discard, first); err == nil && n > 0 {
		t.Errorf("the silent client got an answer of %d bytes", n)
	}
	if s := l.Stats(); s.ClosedForMemory != 1 || s.Busy != 0 {
		t.Errorf("%+v, want one connection closed", s)
	}
}

// TestWholeBodiesHoldAllMemory checks that a body is refused, and none is ended, while requests
// that have been read whole hold all memory.
func TestWholeBodiesHoldAllMemory(t *testing.T) {
	l := intake.New(intake.Limits{Bytes: 64 << 10, ReadTime: time.Minute})
	whole, release := make(chan struct{}), make(chan struct{})
	address := serve(t, l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := intake.ReadBody(r.Context(), w, r, bodyLimit)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		whole <- struct{}{}
		<-release
		body.Release()
	}))
	body := strings.Repeat("x", 60<<10)
	first := send(t, address, post(len(body), body))
	<-whole
	if status, text := answer(t, send(t, address, post(len(body), body))); status != http.StatusServiceUnavailable {
		t.Errorf("the second client got %d %q", status, text)
	}
	close(release)
	if status, _ := answer(t, first); status != http.StatusOK {
		t.Errorf("the first client got %d", status)
	}
}

// TestOnlyBodyBeyondMemory checks that a body above the limit of memory is served when it is alone.
func TestOnlyBodyBeyondMemory(t *testing.T) {
	l := intake.New(intake.Limits{Bytes: 64 << 10, ReadTime: time.Minute})
	address := serve(t, l, http.HandlerFunc(sizeHandler))
	body := strings.Repeat("x", 300<<10)
	for range 3 {
		waitStats(t, l, "nothing held", func(s intake.Stats) bool { return s.HeldBytes == 0 })
		if status, text := answer(t, send(t, address, post(len(body), body))); status != http.StatusOK || text != "307200" {
			t.Errorf("got %d %q", status, text)
		}
	}
	if s := l.Stats(); s.ClosedForMemory != 0 || s.Busy != 0 {
		t.Errorf("%+v", s)
	}
}

// TestCutBodyIsNotWhole guards against a chunked body that is cut off and taken for whole.
func TestCutBodyIsNotWhole(t *testing.T) {
	l := intake.New(intake.Limits{Bytes: 64 << 10, ReadTime: time.Minute})
	read := make(chan error, 1)
	address := serve(t, l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := intake.ReadBody(r.Context(), w, r, bodyLimit)
		read <- err
	}))
	c := send(t, address, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
	_ = c.Close()
	if err := <-read; err == nil {
		t.Error("a body that was cut off was read as whole")
	}
}

// TestSlowBodyNeverEnds guards against a client that keeps its body open without end, whether the
// handler reads the body or not.
func TestSlowBodyNeverEnds(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{"read": sizeHandler, "not read": func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
	}} {
		t.Run(name, func(t *testing.T) {
			l := intake.New(intake.Limits{Bytes: 64 << 10, ReadTime: 50 * time.Millisecond})
			c := send(t, serve(t, l, h), post(100, "x"))
			if _, err := io.Copy(io.Discard, c); errors.Is(err, io.ErrNoProgress) || isTimeout(err) {
				t.Errorf("the connection stays open: %v", err)
			}
		})
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// TestLongCallAfterSlowBody guards against a deadline of the body that ends the call.
func TestLongCallAfterSlowBody(t *testing.T) {
	const readTime = 50 * time.Millisecond
	l := intake.New(intake.Limits{Bytes: 64 << 10, ReadTime: readTime})
	address := serve(t, l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := intake.ReadBody(r.Context(), w, r, bodyLimit)
		if err != nil {
			t.Error(err)
			return
		}
		defer body.Release()
		time.Sleep(3 * readTime)
		if err := r.Context().Err(); err != nil {
			t.Errorf("the call has ended: %v", err)
		}
	}))
	if status, _ := answer(t, send(t, address, post(5, "hello"))); status != http.StatusOK {
		t.Errorf("got %d", status)
	}
}

// TestDecodedRequestsExhaustMemory checks that requests wait while others that are decoded need all
// memory, that one which needs more is served alone, and that one whose time ends is refused.
func TestDecodedRequestsExhaustMemory(t *testing.T) {
	const decodeBytes = 1000
	l := intake.New(intake.Limits{Bytes: 64 << 10, DecodeBytes: decodeBytes, ReadTime: time.Minute})
	began, release := make(chan struct{}), make(chan struct{})
	address := serve(t, l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := r.Context()
		if r.URL.Path == "/hurry" {
			short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
			defer cancel()
			ctx = short
		}
		free, err := intake.Reserve(ctx, 5*decodeBytes)
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer free()
		began <- struct{}{}
		<-release
	}))
	first := send(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-began
	if status, _ := answer(t, send(t, address, "GET /hurry HTTP/1.1\r\nHost: h\r\n\r\n")); status != http.StatusServiceUnavailable {
		t.Errorf("the request whose time has ended got %d", status)
	}
	second := send(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	release <- struct{}{}
	<-began
	if held := l.Stats().DecodeBytes; held != decodeBytes {
		t.Errorf("%d bytes are reserved, want %d", held, decodeBytes)
	}
	release <- struct{}{}
	for _, c := range []net.Conn{first, second} {
		if status, _ := answer(t, c); status != http.StatusOK {
			t.Errorf("got %d", status)
		}
	}
}
