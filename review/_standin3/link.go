// SPDX-License-Identifier: Apache-2.0

package main

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The directions of a link of a node.
const (
	toNode     = "to the node"
	toPlatform = "to the platform"
)

// link is a proxy on the way from or to a node. While it is cut, connections through it are refused.
type link struct {
	node      *node
	direction string
	address   string
	target    string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]string // The remote address of the side that has connected.
	// refuseFrom is a node whose connections are closed at once; nil: none.
	refuseFrom *node
}

func (c *cell) link(n *node, direction, target string) string {
	k := &link{node: n, direction: direction, target: target, conns: make(map[net.Conn]string)}
	k.open("127.0.0.1:0")
	c.links = append(c.links, k)
	return k.address
}

func (k *link) open(address string) {
	l, err := net.Listen("tcp", address)
	must(err)
	k.mu.Lock()
	k.listener, k.address = l, l.Addr().String()
	k.mu.Unlock()
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(in)
		}
	}()
}

func (k *link) serve(in net.Conn) {
	if k.refuses(in) {
		_ = in.Close()
		return
	}
	out, err := net.Dial("tcp", k.target)
	if err != nil {
		_ = in.Close()
		return
	}
	k.mu.Lock()
	if k.listener == nil {
		k.mu.Unlock()
		_ = in.Close()
		_ = out.Close()
		return
	}
	k.conns[in] = in.RemoteAddr().String()
	k.mu.Unlock()
	done := func() {
		_ = in.Close()
		_ = out.Close()
		k.mu.Lock()
		delete(k.conns, in)
		k.mu.Unlock()
	}
	if k.refuses(in) {
		// The cut has begun meanwhile.
		done()
		return
	}
	go func() { _, _ = io.Copy(out, in); done() }()
	_, _ = io.Copy(in, out)
	done()
}

// refuses reports whether a connection comes from the node whose connections are closed.
func (k *link) refuses(in net.Conn) bool {
	k.mu.Lock()
	from := k.refuseFrom
	k.mu.Unlock()
	return from != nil && from.ownsConn(in.RemoteAddr().String(), k.address)
}

// cut refuses new connections and closes the open ones.
func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.listener.Close()
	k.listener = nil
	for c := range k.conns {
		_ = c.Close()
	}
}

func (k *link) heal() { k.open(k.address) }

// refuse closes the connections from a node, now and from now on; nil ends that.
func (k *link) refuse(from *node) {
	k.mu.Lock()
	k.refuseFrom = from
	var open []net.Conn
	var addresses []string
	for c, a := range k.conns {
		open, addresses = append(open, c), append(addresses, a)
	}
	k.mu.Unlock()
	for i, c := range open {
		if from != nil && from.ownsConn(addresses[i], k.address) {
			_ = c.Close()
		}
	}
}

// ownsConn reports whether a connection from one address to the other belongs to the process of the node.
// The list of connections may lack one while others come and go, so that it is read again then.
func (n *node) ownsConn(from, to string) bool {
	for range 10 {
		if inode := inodeOf(from, to); inode != "" {
			return n.hasSocket(inode)
		}
		time.Sleep(5 * time.Millisecond)
	}
	// One that isn't found is closed by now, or is taken for the node's: others try again.
	return true
}

func (n *node) hasSocket(inode string) bool {
	dir := "/proc/" + strconv.Itoa(n.cmd.Process.Pid) + "/fd"
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if to, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && to == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// inodeOf returns the inode of the socket that has connected from one address to the other.
func inodeOf(from, to string) string {
	local, remote := hexAddress(from), hexAddress(to)
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	for _, line := range strings.Split(string(data), "\n") {
		if f := strings.Fields(line); len(f) > 9 && f[1] == local && f[2] == remote && f[9] != "0" {
			return f[9]
		}
	}
	return ""
}

// hexAddress returns an address on 127.0.0.1 as the system lists it.
func hexAddress(address string) string {
	_, port, err := net.SplitHostPort(address)
	must(err)
	n, err := strconv.Atoi(port)
	must(err)
	return "0100007F:" + strings.ToUpper(strconv.FormatInt(0x10000+int64(n), 16)[1:])
}
