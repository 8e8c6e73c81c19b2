// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/config"
)

const (
	peerConns = 256
	// workerConns is one for what is due at once, and one for the poll.
	workerConns   = 2
	upstreamConns = 64
	platformConns = 32

	dialTimeout       = 2 * time.Second
	idleTimeout       = 90 * time.Second
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	// writeTimeout is above the longest time that a request may take.
	writeTimeout = 11 * time.Minute
	idleConns    = 512
)

// newClient returns an HTTP client for a class of counterparts, with bounds on
// everything; calls bound their own time by their context.
func (n *Node) newClient(class string, connsPerHost int) *http.Client {
	c := newClient(n.cfg, n.countBytes(class), connsPerHost)
	if n.deps.Wrap != nil {
		c.Transport = n.deps.Wrap(c.Transport)
	}
	n.clients = append(n.clients, c)
	return c
}

// countBytes returns the node's dial function, with the bytes of its connections countBytes.
func (n *Node) countBytes(class string) dialFunc {
	dial := n.deps.Dial
	if dial == nil {
		dial = tcpDial
	}
	in := n.metrics.NewCounter(`switchbank_bytes_total{to="` + class + `",direction="in"}`)
	out := n.metrics.NewCounter(`switchbank_bytes_total{to="` + class + `",direction="out"}`)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, in: in, out: out}, nil
	}
}

// countedConn counts the bytes that pass.
type countedConn struct {
	net.Conn
	in, out *metrics.Counter
}

// Read counts what comes in.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.AddInt64(int64(n))
	return n, err
}

// Write counts what goes out.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.AddInt64(int64(n))
	return n, err
}

var tcpDial = (&net.Dialer{Timeout: dialTimeout}).DialContext

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

func newClient(cfg config.Config, dial dialFunc, connsPerHost int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            dial,
			MaxConnsPerHost:        connsPerHost,
			MaxIdleConnsPerHost:    connsPerHost,
			MaxIdleConns:           idleConns,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: int64(cfg.Limits.HeaderBytes),
			DisableCompression:     true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// server is one of a node's listeners.
type server struct {
	name string
	l    net.Listener
	http *http.Server
}

func (n *Node) newServers() []*server {
	return []*server{
		n.newServer("callers", n.deps.Callers, n.callerRoutes()),
		n.newServer("peers", n.deps.Peers, n.peerRoutes()),
		n.newServer("operators", n.deps.Operators, n.operatorRoutes()),
	}
}

func (n *Node) newServer(name string, l net.Listener, h http.Handler) *server {
	limited := &limitListener{Listener: l, max: int64(n.cfg.Limits.Connections), onRefused: n.metrics.NewCounter(
		`switchbank_connections_refused_total{listener="` + name + `"}`).Inc}
	return &server{name: name, l: limited, http: &http.Server{
		Handler:           h,
		MaxHeaderBytes:    n.cfg.Limits.HeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          zap.NewStdLog(n.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}}
}

func (s *server) serve() error {
	if err := s.http.Serve(s.l); !errors.Is(err, http.ErrServerClosed) {
		return &Error{"serve " + s.name, KindListen, err}
	}
	return nil
}

// stop finishes what is in flight, until ctx ends.
func (s *server) stop(ctx context.Context) {
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
	}
}

// limitListener closes connections beyond a number at once.
type limitListener struct {
	net.Listener
	open      atomic.Int64
	max       int64
	onRefused func()
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &limitConn{Conn: c, l: l}, nil
		}
		l.open.Add(-1)
		l.onRefused()
		_ = c.Close()
	}
}

type limitConn struct {
	net.Conn
	l      *limitListener
	closed atomic.Bool
}

// Close closes the connection and makes room for another.
func (c *limitConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.l.open.Add(-1)
	}
	return c.Conn.Close()
}
