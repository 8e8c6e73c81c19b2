// SPDX-License-Identifier: Apache-2.0

package fanout

import (
	"compress/flate"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
)

// Server calls workers for other nodes. Each request is a persistent connection, with lines
// of calls in its body and lines of answers in the response.
type Server struct {
	workers Workers
	log     *zap.Logger

	ctx  context.Context
	stop context.CancelFunc
}

// NewServer returns a Server that makes calls through workers.
func NewServer(workers Workers, log *zap.Logger) *Server {
	s := &Server{workers: workers, log: log}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Close closes all connections; the owners switch to other helpers.
func (s *Server) Close() { s.stop() }

// ServeHTTP serves one owner until either side ends the connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	rc := http.NewResponseController(w)
	if err := rc.EnableFullDuplex(); err != nil {
		s.log.Warn("connection does not support full duplex", events.NodeFailed, zap.Error(err))
		w.WriteHeader(http.StatusNotImplemented)
		return
	}
	w.WriteHeader(http.StatusOK)
	if err := rc.Flush(); err != nil {
		return
	}
	answers := newBatcher[answer](keepaliveInterval)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() {
		defer cancel()
		// A failed write needs no handling: the owner detects the lost connection itself.
		_ = answers.run(ctx, w, rc.Flush)
	})
	// The body is read in a goroutine of its own, since a read isn't interrupted by ctx.
	go func() {
		defer cancel()
		s.readCalls(ctx, r.Body, answers)
	}()
	<-ctx.Done()
	// The deadline interrupts a read that is still waiting.
	_ = rc.SetReadDeadline(time.Now())
}

// readCalls makes the calls that arrive, until the body ends.
func (s *Server) readCalls(ctx context.Context, body io.Reader, answers *batcher[answer]) {
	delay := newDelayEstimator()
	for d := json.NewDecoder(flate.NewReader(body)); ctx.Err() == nil; {
		var calls []call
		if err := d.Decode(&calls); err != nil {
			if !errors.Is(err, io.EOF) && ctx.Err() == nil {
				s.log.Info("connection from owner lost", events.PeerLost, zap.Error(err))
			}
			return
		}
		for i := range calls {
			go s.execute(ctx, &calls[i], delay.observe(calls[i].SentMS), answers)
		}
	}
}

// execute makes one call that arrived later than others by late, unless its time is over: a
// helper that was paused must not carry out orders that the owner has long given up.
func (s *Server) execute(ctx context.Context, c *call, late time.Duration, answers *batcher[answer]) {
	left := time.Duration(c.LimitMS)*time.Millisecond - late
	if left <= 0 {
		answers.add(answer{N: c.N, Reply: cluster.ReplyNotSent})
		return
	}
	limited, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	// A call that was interrupted by the end of the connection says nothing about the worker.
	if a := c.execute(limited, s.workers); ctx.Err() == nil {
		answers.add(a)
	}
}
