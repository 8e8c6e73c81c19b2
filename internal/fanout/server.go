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

// Server makes calls of workers for other nodes: each request is a connection that stays
// open, with lines of calls in its body and lines of answers in the reply.
type Server struct {
	workers Workers
	log     *zap.Logger

	ctx  context.Context
	stop context.CancelFunc
}

// NewServer returns a Server that makes calls by workers.
func NewServer(workers Workers, log *zap.Logger) *Server {
	s := &Server{workers: workers, log: log}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Close ends all connections; the owners go on by way of others.
func (s *Server) Close() { s.stop() }

// ServeHTTP serves one owner until one of the two ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	rc := http.NewResponseController(w)
	if err := rc.EnableFullDuplex(); err != nil {
		s.log.Warn("calls can't be helped with", events.NodeFailed, zap.Error(err))
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
		// An owner that has gone finds out by itself.
		_ = answers.run(ctx, w, rc.Flush)
	})
	// The body is read in a goroutine of its own, since a read doesn't end with ctx.
	go func() {
		defer cancel()
		s.readCalls(ctx, r.Body, answers)
	}()
	<-ctx.Done()
	// A read that goes on ends with this.
	_ = rc.SetReadDeadline(time.Now())
}

// readCalls makes the calls that come, until the body ends.
func (s *Server) readCalls(ctx context.Context, body io.Reader, answers *batcher[answer]) {
	delay := newDelayEstimator()
	for d := json.NewDecoder(flate.NewReader(body)); ctx.Err() == nil; {
		var calls []call
		if err := d.Decode(&calls); err != nil {
			if !errors.Is(err, io.EOF) && ctx.Err() == nil {
				s.log.Info("owner that was helped has gone", events.PeerLost, zap.Error(err))
			}
			return
		}
		for i := range calls {
			go s.execute(ctx, &calls[i], delay.observe(calls[i].SentMS), answers)
		}
	}
}

// execute makes one call that came so much later than others do, unless its time is over: a
// helper that stood still must not carry out orders that the owner has long given up.
func (s *Server) execute(ctx context.Context, c *call, late time.Duration, answers *batcher[answer]) {
	left := time.Duration(c.LimitMS)*time.Millisecond - late
	if left <= 0 {
		answers.add(answer{N: c.N, Reply: cluster.ReplyNotSent})
		return
	}
	limited, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	// What was cut short because the connection ends tells nothing of the worker.
	if a := c.execute(limited, s.workers); ctx.Err() == nil {
		answers.add(a)
	}
}
