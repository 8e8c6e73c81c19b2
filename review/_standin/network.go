// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// network is a set of TCP proxies on loopback, one in front of each listener. It knows which node
// has opened a connection, and can cut a node off from a listener: nothing passes any more, and
// nothing is reset, until the cut ends. The connections of that time are then reset; what they held
// back is lost.
type network struct {
	mu sync.Mutex
	// pids maps the process ID of each node to its name.
	pids map[int]string
	// cuts are the pairs of a node and a listener between which nothing passes.
	cuts  map[link]bool
	pipes map[*pipe]bool
	stops []func()
}

// link is a path from a node to a listener.
type link struct{ from, to string }

// pipe is one connection through a proxy.
type pipe struct {
	link           link
	client, server net.Conn
	// dead is set once the connection was cut.
	dead bool
}

func newNetwork() *network {
	return &network{pids: make(map[int]string), cuts: make(map[link]bool), pipes: make(map[*pipe]bool)}
}

// addProcess records the process of a node.
func (n *network) addProcess(pid int, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pids[pid] = name
}

// proxy listens on an address and forwards connections to the listener with the given name at the
// target address. It returns a function that stops it.
func (n *network) proxy(name, address, target string) (stop func()) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		panic(notRun(err.Error()))
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(name, c, target)
		}
	}()
	stop = func() { _ = l.Close() }
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stops = append(n.stops, stop)
	return stop
}

func (n *network) serve(name string, client net.Conn, target string) {
	p := &pipe{link: link{n.callerOf(client), name}, client: client}
	if !n.add(p) {
		return
	}
	server, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		n.end(p)
		return
	}
	n.mu.Lock()
	p.server = server
	n.mu.Unlock()
	go n.forward(p, server, client)
	n.forward(p, client, server)
}

// add records a connection, and returns false if nothing may pass on it.
func (n *network) add(p *pipe) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pipes[p] = true
	p.dead = n.cuts[p.link]
	return !p.dead
}

// forward copies data until one side closes the connection or it is cut.
func (n *network) forward(p *pipe, to, from net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		size, err := from.Read(buf)
		if n.isDead(p) {
			return
		}
		if size > 0 {
			if _, writeErr := to.Write(buf[:size]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			n.end(p)
			return
		}
	}
}

func (n *network) isDead(p *pipe) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return p.dead
}

// end closes a connection, unless it has been cut.
func (n *network) end(p *pipe) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p.dead {
		return
	}
	delete(n.pipes, p)
	p.close()
}

// close closes both sides.
func (p *pipe) close() {
	_ = p.client.Close()
	if p.server != nil {
		_ = p.server.Close()
	}
}

// reset closes both sides with a TCP reset.
func (p *pipe) reset() {
	for _, c := range []net.Conn{p.client, p.server} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	p.close()
}

// cut cuts links off, and returns a function that ends the cut and resets the connections that were
// cut. No link may be in two cuts at once.
func (n *network) cut(links ...link) (heal func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range links {
		n.cuts[l] = true
	}
	for p := range n.pipes {
		p.dead = p.dead || n.cuts[p.link]
	}
	return func() { n.heal(links) }
}

func (n *network) heal(links []link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range links {
		delete(n.cuts, l)
	}
	for p := range n.pipes {
		if p.dead && !n.cuts[p.link] {
			delete(n.pipes, p)
			p.reset()
		}
	}
}

// close stops all proxies.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, stop := range n.stops {
		stop()
	}
	for p := range n.pipes {
		p.close()
	}
}

// callerOf returns the name of the node that has opened a connection, or "" if this process has.
func (n *network) callerOf(c net.Conn) string {
	local, remote := c.LocalAddr().(*net.TCPAddr), c.RemoteAddr().(*net.TCPAddr)
	inode := socketInode(remote, local)
	n.mu.Lock()
	pids := make(map[int]string, len(n.pids))
	for pid, name := range n.pids {
		pids[pid] = name
	}
	n.mu.Unlock()
	for pid, name := range pids {
		if inode != "" && ownsSocket(pid, inode) {
			return name
		}
	}
	return ""
}

// socketInode returns the inode of the socket with the given addresses, or "".
func socketInode(local, remote *net.TCPAddr) string {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		panic(notRun(err.Error()))
	}
	defer func() { _ = f.Close() }()
	wantLocal, wantRemote := procAddress(local), procAddress(remote)
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1] == wantLocal && fields[2] == wantRemote {
			return fields[9]
		}
	}
	return ""
}

// procAddress returns an IPv4 address as /proc/net/tcp shows it.
func procAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

// ownsSocket reports whether a process has a socket open.
func ownsSocket(pid int, inode string) bool {
	want := "socket:[" + inode + "]"
	files, err := filepath.Glob("/proc/" + strconv.Itoa(pid) + "/fd/*")
	if err != nil {
		return false
	}
	for _, file := range files {
		if target, err := os.Readlink(file); err == nil && target == want {
			return true
		}
	}
	return false
}
