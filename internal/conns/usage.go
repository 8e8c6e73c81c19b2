// SPDX-License-Identifier: Apache-2.0

package conns

import (
	"net/http"
	"sync"
	"sync/atomic"
)

// Usage counts calls and the bytes of their bodies by path, for all Transports that share it.
// The zero value is ready to use.
type Usage struct {
	paths sync.Map // of *PathUsage, by path
}

// PathUsage counts the calls to one path.
type PathUsage struct {
	// Calls is the number of calls. Sent and Received are the bytes of their bodies.
	Calls, Sent, Received atomic.Int64
}

// counters returns the counters of a path.
func (u *Usage) counters(path string) *PathUsage {
	if p, ok := u.paths.Load(path); ok {
		return p.(*PathUsage)
	}
	p, _ := u.paths.LoadOrStore(path, &PathUsage{})
	return p.(*PathUsage)
}

// Each calls fn for each path with calls.
func (u *Usage) Each(fn func(path string, p *PathUsage)) {
	u.paths.Range(func(path, p any) bool {
		fn(path.(string), p.(*PathUsage))
		return true
	})
}

// countCall counts a call that is about to be sent.
func (u *Usage) countCall(r *http.Request) *PathUsage {
	p := u.counters(r.URL.Path)
	p.Calls.Add(1)
	p.Sent.Add(max(r.ContentLength, 0))
	return p
}
