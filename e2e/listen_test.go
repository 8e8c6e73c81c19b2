// SPDX-License-Identifier: Apache-2.0

//go:build e2e

package e2e_test

import (
	"context"
	"fmt"
	"net"
	"os/exec"
	"sync"
	"syscall"
	"testing"
)

// listen listens on a loopback address.
func listen(ctx context.Context, address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
}

// closeListener closes a listener so that its port is free immediately. Between fork and
// exec, a child process holds copies of all file descriptors; after a plain close, such a
// copy would keep the port in use.
func closeListener(l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("%T is not a TCP listener", l)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var shutdownErr error
	if err := raw.Control(func(fd uintptr) { shutdownErr = syscall.Shutdown(int(fd), syscall.SHUT_RDWR) }); err != nil {
		return err
	}
	if err := l.Close(); err != nil {
		return err
	}
	return shutdownErr
}

// TestCloseListenerFreesPort checks that a port can be used again as soon as its listener is
// closed, also while processes are being started.
func TestCloseListenerFreesPort(t *testing.T) {
	const rounds, starters = 2000, 4
	stop := make(chan struct{})
	var starterGroup sync.WaitGroup
	for range starters {
		starterGroup.Go(func() { startProcesses(t, stop) })
	}
	defer starterGroup.Wait()
	defer close(stop)
	address := freePorts(t, 1)[0]
	for round := range rounds {
		l, err := listen(t.Context(), address)
		if err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		if err := closeListener(l); err != nil {
			t.Fatal(err)
		}
	}
}

// startProcesses starts one process after another until stop is closed.
func startProcesses(t *testing.T, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		if err := exec.CommandContext(t.Context(), "true").Run(); err != nil {
			t.Error(err)
			return
		}
	}
}
