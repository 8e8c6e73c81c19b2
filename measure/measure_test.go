// SPDX-License-Identifier: Apache-2.0

package measure_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// TestMeasure runs each workload under each strategy and writes a table, also to the file
// named by MEASURE_OUT. It fails only if a run decides nothing.
func TestMeasure(t *testing.T) {
	var out strings.Builder
	fmt.Fprintf(&out, "seed %d\n", seed)
	for _, w := range []workload{morningPeak(), batchSurge(), peakOfOtherTeam(true), peakOfOtherTeam(false), largeCellSlice()} {
		fmt.Fprintf(&out, "\n%s: %d jobs\n", w.name, len(w.jobs))
		fmt.Fprintf(&out, "%-32s %11s %11s %11s %11s %13s %8s %8s %9s %12s\n", "", "counter p50", "counter p99", "notice p50", "notice p99",
			"rival p99", "packing", "late", "redone", "us/decision")
		for _, st := range strategies(w.weights) {
			res := newSimulation(st, w).run(w)
			if res.decisions == 0 {
				t.Errorf("%s under %s: nothing was decided", w.name, st.name)
			}
			fmt.Fprintf(&out, "%-32s %11s %11s %11s %11s %13s %7.1f%% %8d %9s %12.2f\n", st.name,
				formatDuration(quantile(res.waits["counter"], 0.5)), formatDuration(quantile(res.waits["counter"], 0.99)),
				formatDuration(quantile(res.waits["notice"], 0.5)), formatDuration(quantile(res.waits["notice"], 0.99)),
				formatDuration(quantile(res.waits[w.protectedClass], 0.99)), 100*res.usedShareSeconds/max(res.waitingSeconds, 1e-9), res.deadlinesMissed, formatDuration(res.redone),
				float64(res.decisionTime.Microseconds())/float64(max(res.decisions, 1)))
		}
	}
	t.Log("\n" + out.String())
	if name := os.Getenv("MEASURE_OUT"); name != "" {
		if err := os.WriteFile(name, []byte(out.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func formatDuration(d time.Duration) string {
	return d.Round(10 * time.Millisecond).String()
}
