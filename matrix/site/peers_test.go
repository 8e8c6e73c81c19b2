// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestNodesFindEachOtherAfterLongCut cuts one node off from all others for 30 s, and checks
// that all nodes know all others to be up 30 s after that.
//
// A node that had not answered for 20 s was pinged no more until it had started anew. Two
// nodes that were cut off from each other for longer took each other for down for good, and
// used each other neither as advisers and helpers nor as successors.
func TestNodesFindEachOtherAfterLongCut(t *testing.T) {
	const cutFor, foundWithin = 30 * time.Second, 30 * time.Second
	synctest.Test(t, func(t *testing.T) {
		w := newEnv(t)
		defer w.close()
		time.Sleep(5 * time.Second)
		owner, isolated := w.owner(), ""
		for _, name := range w.nodeNames() {
			if name != owner {
				isolated = name
			}
		}
		others := slices.DeleteFunc(w.nodeNames(), func(name string) bool { return name == isolated })
		for _, name := range others {
			w.net.SetPartitioned(isolated, name, true)
		}
		time.Sleep(cutFor)
		for _, name := range others {
			w.net.SetPartitioned(isolated, name, false)
		}
		time.Sleep(foundWithin)
		for _, name := range w.nodeNames() {
			if up := w.metric(name, "switchbank_peers_up"); int(up) != len(others) {
				t.Errorf("%s knows %v other nodes to be up %v after %s was cut off for %v, want %d", name, up, foundWithin, isolated, cutFor, len(others))
			}
		}
	})
}
