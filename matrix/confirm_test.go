// SPDX-License-Identifier: Apache-2.0

package matrix_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/node"
	standinworker "switchbank.example/switchbank/standin/worker"
)

// TestCutOffNodesConfirmNobody guards against two cut-off nodes that confirm an old bundle
// to each other. Both are cut off from the store and from all nodes while a new bundle is
// accepted; then only the link between the two is healed. Neither may serve the old bundle
// just because the other one has it too.
func TestCutOffNodesConfirmNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, node.Guards{}, standinworker.Config{})
		ctx, stop := context.WithCancel(context.Background())
		c.ctx = ctx
		if _, _, err := c.accept(ctx, c.nodes["n0"].client, "first", 1); err != nil {
			t.Fatal(err)
		}
		sleep(ctx, 2*time.Second)
		for _, cut := range [][2]string{{"n0", "n1"}, {"n0", "n2"}, {"n1", "n2"}, {"n0", platformHost}, {"n1", platformHost}} {
			c.net.SetPartitioned(cut[0], cut[1], true)
		}
		// The bundle is accepted only after the leases of the cut-off nodes have expired.
		version, at, err := c.accept(ctx, c.nodes["n2"].client, "second", 2)
		if err != nil {
			t.Fatal(err)
		}
		sleep(ctx, time.Until(at.Add(bundleDeadline)))
		c.net.SetPartitioned("n0", "n1", false)
		for range 10 {
			sleep(ctx, 500*time.Millisecond)
			for _, name := range []string{"n0", "n1"} {
				st, err := c.nodes[name].client.Status(ctx)
				if err != nil {
					t.Fatal(err)
				}
				if st.Ready && st.Bundle.Version < version {
					t.Errorf("%s serves version %d %s after %d was accepted", name, st.Bundle.Version, time.Since(at), version)
				}
			}
		}
		stop()
		c.close()
		time.Sleep(shutdownTimeout)
	})
}
