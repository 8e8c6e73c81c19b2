// SPDX-License-Identifier: Apache-2.0

package site_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestNodesFindEachOtherAfterLongCut partitions one node from all others for 30 s, and checks that
// 30 s later all nodes consider each other up.
//
// It guards against giving peers up for good: a node that had not responded for 20 s was not pinged
// again until it restarted. After a longer partition two nodes considered each other down for ever,
// and neither sent advice calls or orders through the other nor accepted it as a successor.
func TestNodesFindEachOtherAfterLongCut(t *testing.T) {
	const partitionedFor, foundWithin = 30 * time.Second, 30 * time.Second
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t)
		defer env.close()
		time.Sleep(5 * time.Second)
		owner, isolated := env.owner(), ""
		for _, name := range env.nodeNames() {
			if name != owner {
				isolated = name
			}
		}
		others := slices.DeleteFunc(env.nodeNames(), func(name string) bool { return name == isolated })
		for _, name := range others {
			env.net.SetPartitioned(isolated, name, true)
		}
		time.Sleep(partitionedFor)
		for _, name := range others {
			env.net.SetPartitioned(isolated, name, false)
		}
		time.Sleep(foundWithin)
		for _, name := range env.nodeNames() {
			if up := env.metric(name, "switchbank_peers_up"); int(up) != len(others) {
				t.Errorf("%s considers %v other nodes up %v after %s was partitioned for %v, want %d", name, up, foundWithin, isolated, partitionedFor, len(others))
			}
		}
	})
}
