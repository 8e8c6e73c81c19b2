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
	// The limits on connections per host depend on the kind of server that is called.
	peerConns = 256
	// workerConns is one connection for orders that are due at once and one for the long poll.
	workerConns   = 2
	upstreamConns = 64
	platformConns = 32

	dialTimeout       = 2 * time.Second
	idleTimeout       = 90 * time.Second
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	// writeTimeout is longer than any request may take.
	writeTimeout = 11 * time.Minute
	idleConns    = 512
)

// newClient returns an HTTP client for one class of servers, with limits on
// connections and headers. It has no timeout: callers pass a context with a deadline.
func (n *Node) newClient(class string, connsPerHost int) *http.Client {
	c := newClient(n.cfg, n.countBytes(class), connsPerHost)
	if n.deps.Wrap != nil {
		c.Transport = n.deps.Wrap(c.Transport)
	}
	n.clients = append(n.clients, c)
	return c
}

// countBytes returns the node's dial function, wrapped to count the bytes of its
// connections.
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

// countedConn counts the bytes that are read and written.
type countedConn struct {
	net.Conn
	in, out *metrics.Counter
}

// Read counts the bytes read.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.AddInt64(int64(n))
	return n, err
}

// Write counts the bytes written.
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

// stop finishes the requests in flight, and closes what is left when ctx ends.
func (s *server) stop(ctx context.Context) {
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
	}
}

// limitListener closes a new connection immediately while max others are open.
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

// Close closes the connection and frees its place in the limit.
func (c *limitConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.l.open.Add(-1)
	}
	return c.Conn.Close()
}
