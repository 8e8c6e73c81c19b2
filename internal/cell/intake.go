// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"math"
	"syscall"

	"switchbank.example/switchbank/internal/intake"
	"switchbank.example/switchbank/internal/settings"
)

const (
	// readyConns bounds the connections of the balancer's checks, of which there is one a second.
	readyConns = 32
	// readyShare is the part of the process's memory for the requests of these checks.
	readyShare = 64
)

// newIntake returns the limiter of the callers' server.
func newIntake(limits settings.Limits) *intake.Limiter {
	return intake.New(intake.LimitsFor(limits.MemoryBytes(), maxFiles(limits)))
}

// newReadyIntake returns the limiter of the server of the balancer's checks.
func newReadyIntake(limits settings.Limits) *intake.Limiter {
	l := intake.LimitsFor(limits.MemoryBytes(), maxFiles(limits))
	l.Conns, l.Bytes = readyConns, limits.MemoryBytes()/readyShare
	return intake.New(l)
}

// maxFiles returns how many descriptors the process may have open: what the settings and the
// system allow.
func maxFiles(limits settings.Limits) int {
	allowed := math.MaxInt32
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err == nil && system.Cur < math.MaxInt32 {
		allowed = int(system.Cur)
	}
	if limits.MaxFiles > 0 {
		allowed = min(allowed, limits.MaxFiles)
	}
	return allowed
}

// registerIntakeMetrics sets up the metrics of what callers hold.
func (n *Node) registerIntakeMetrics() {
	gauge := func(name string, of func(intake.Stats) int64) {
		n.metrics.NewGauge(name, func() float64 { return float64(of(n.intake.Stats())) })
	}
	gauge("switchbank_caller_connections", func(s intake.Stats) int64 { return int64(s.Conns) })
	gauge("switchbank_caller_bytes_held", func(s intake.Stats) int64 { return s.HeldBytes + s.DecodeBytes })
	gauge(`switchbank_caller_connections_closed_total{reason="connections"}`, func(s intake.Stats) int64 { return s.ClosedForRoom })
	gauge(`switchbank_caller_connections_closed_total{reason="memory"}`, func(s intake.Stats) int64 { return s.ClosedForMemory })
	gauge("switchbank_caller_connections_refused_total", func(s intake.Stats) int64 { return s.Refused })
	gauge("switchbank_caller_requests_refused_total", func(s intake.Stats) int64 { return s.Busy })
}
