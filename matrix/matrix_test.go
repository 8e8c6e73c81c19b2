// SPDX-License-Identifier: Apache-2.0

package matrix_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"switchbank.example/switchbank/internal/node"
	standinworker "switchbank.example/switchbank/standin/worker"
)

// shutdownTimeout is the virtual time in which the last calls of a cell must end.
const shutdownTimeout = 2 * time.Minute

// cellResult is the result of one cell of the matrix.
type cellResult struct {
	row, step string
	phase     phase
	// reached is set if the faults of the cell were all injected.
	reached    bool
	violations []violation
}

// cellSpec describes a cell of the matrix: which faults are injected, and where.
type cellSpec struct {
	// row is the name of the row in the grid.
	row    string
	faults []fault
	step   string
	phase  phase
	// skip is the number of occurrences of the step to skip before the faults come.
	skip int
	// skipJoin leaves out the node that joins and stops.
	skipJoin bool
	// ownerOfJob restricts the faults to the owner of this job's shard, if set.
	ownerOfJob string
	// job restricts the faults to messages that start tasks of this job, if set.
	job string
	// guards and workerConfig switch safeguards of the nodes and the workers off.
	guards       node.Guards
	workerConfig standinworker.Config
	// followUps are further faults of the same cell, each at its own step.
	followUps []cellSpec
}

// arm sets the faults of sp up to be injected when its step is reached.
func (sp cellSpec) arm(c *cluster, s *scenario) {
	c.steps.arm(trigger{step: sp.step, phase: sp.phase, skip: sp.skip, node: initialOwner(sp.ownerOfJob), job: sp.job, fire: func(node, to string) messageFault {
		var combined messageFault
		for _, f := range sp.faults {
			effect := f.inject(c, s, node, to)
			combined = messageFault{max(combined.delay, effect.delay), max(combined.copyDelay, effect.copyDelay), combined.sendTwice || effect.sendTwice, combined.loseReply || effect.loseReply}
		}
		return combined
	}})
}

// mayCutAnswers reports whether a fault of the cell may leave the outcome of requests
// unknown.
func (sp cellSpec) mayCutAnswers() bool {
	for _, f := range sp.faults {
		if f.cutsAnswers {
			return true
		}
	}
	for _, next := range sp.followUps {
		if next.mayCutAnswers() {
			return true
		}
	}
	return false
}

// run runs one cell in a bubble of virtual time.
func (sp cellSpec) run(t *testing.T) cellResult {
	out := cellResult{row: sp.row, step: sp.step, phase: sp.phase}
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, sp.guards, sp.workerConfig)
		ctx, stop := context.WithCancel(context.Background())
		c.ctx = ctx
		s := newScenario(c)
		s.skipJoin = sp.skipJoin
		if _, _, err := c.accept(ctx, c.nodes["n0"].client, "first", 1); err != nil {
			t.Fatal(err)
		}
		sleep(ctx, 2*time.Second)
		sp.arm(c, s)
		for _, next := range sp.followUps {
			next.arm(c, s)
		}
		s.run()
		out.reached = c.steps.pending() == 0
		out.violations = s.findViolations(sp.mayCutAnswers())
		stop()
		c.close()
		// The goroutines of calls under way end with the timeouts of the calls.
		time.Sleep(shutdownTimeout)
	})
	return out
}

// cellSpecs returns all cells of the matrix, or a sample in which each row and each step
// occurs.
func cellSpecs(full bool) []cellSpec {
	var specs []cellSpec
	for r, f := range faults {
		for i, step := range allSteps {
			if f.needsMessage && !isMessage(step) || f.duplicates && step == stepDispatch {
				continue
			}
			for _, ph := range []phase{before, after} {
				if !full && (i+int(ph)*7)%len(faults) != r {
					continue
				}
				specs = append(specs, cellSpec{row: f.name, faults: []fault{f}, step: step, phase: ph})
			}
		}
	}
	specs = append(specs, repeatedFaultSpecs(full)...)
	for p, pair := range faultPairs {
		for i, step := range allSteps {
			if !full && i != p*3 {
				continue
			}
			specs = append(specs, cellSpec{
				row: pair[0] + " + " + pair[1], faults: []fault{faultByName(pair[0]), faultByName(pair[1])}, step: step, phase: after,
			})
		}
	}
	return specs
}

// repeatedFaultSpecs returns cells in which a fault is injected twice, the second time at
// a later occurrence of the same step.
func repeatedFaultSpecs(full bool) []cellSpec {
	const stride = 4
	var specs []cellSpec
	for r, f := range faults {
		for i, step := range allSteps {
			if f.needsMessage || i%stride != r%stride || (!full && i != r%stride) {
				continue
			}
			sp := cellSpec{row: f.name + ", twice", faults: []fault{f}, step: step, phase: after}
			again := sp
			again.skip = 2
			sp.followUps = []cellSpec{again}
			specs = append(specs, sp)
		}
	}
	return specs
}

// TestMatrix runs every fault at every step if MATRIX is "full", and a sample otherwise.
func TestMatrix(t *testing.T) {
	specs := cellSpecs(os.Getenv("MATRIX") == "full")
	var mu sync.Mutex
	var results []cellResult
	t.Run("cell", func(t *testing.T) {
		for _, sp := range specs {
			t.Run(fmt.Sprintf("%s at %s %d", sp.row, sp.step, sp.phase), func(t *testing.T) {
				t.Parallel()
				out := sp.run(t)
				mu.Lock()
				results = append(results, out)
				mu.Unlock()
				for _, v := range out.violations {
					t.Errorf("guarantee %s: %s", v.guarantee, v.detail)
				}
			})
		}
	})
	writeGrid(t, results)
}

// writeGrid writes the grid, with a row for each fault and a column for each guarantee, to
// the file named by MATRIX_OUT.
func writeGrid(t *testing.T, results []cellResult) {
	name := os.Getenv("MATRIX_OUT")
	if name == "" {
		return
	}
	if err := os.WriteFile(name, []byte(formatGrid(results)), 0o600); err != nil {
		t.Fatal(err)
	}
}

// unreachedSteps returns a line for each step and phase that some cell did not reach: such
// a cell tested nothing.
func unreachedSteps(results []cellResult) string {
	var b strings.Builder
	for _, step := range allSteps {
		for _, ph := range []phase{before, after} {
			cells, reached := 0, 0
			for _, o := range results {
				if o.step == step && o.phase == ph {
					cells++
					if o.reached {
						reached++
					}
				}
			}
			if reached < cells {
				fmt.Fprintf(&b, "step %q, phase %d: reached in %d of %d cells\n", step, ph, reached, cells)
			}
		}
	}
	return b.String()
}

// formatGrid returns the grid as text.
func formatGrid(results []cellResult) string {
	var b strings.Builder
	var rows []string
	for _, o := range results {
		if !slices.Contains(rows, o.row) {
			rows = append(rows, o.row)
		}
	}
	slices.Sort(rows)
	fmt.Fprintf(&b, "%-66s %6s %8s", "fault", "cells", "reached")
	for _, g := range guarantees {
		fmt.Fprintf(&b, " %14s", g)
	}
	b.WriteString("\n")
	passed, failed := 0, 0
	for _, row := range rows {
		n, reached := 0, 0
		broken := make(map[string]int)
		for _, o := range results {
			if o.row != row {
				continue
			}
			n++
			if o.reached {
				reached++
			}
			if len(o.violations) == 0 {
				passed++
			} else {
				failed++
			}
			seen := make(map[string]bool)
			for _, v := range o.violations {
				if !seen[v.guarantee] {
					seen[v.guarantee] = true
					broken[v.guarantee]++
				}
			}
		}
		fmt.Fprintf(&b, "%-66s %6d %8d", row, n, reached)
		for _, g := range guarantees {
			mark := "held"
			if broken[g] > 0 {
				mark = fmt.Sprintf("BROKEN %d", broken[g])
			}
			fmt.Fprintf(&b, " %14s", mark)
		}
		b.WriteString("\n")
	}
	b.WriteString(unreachedSteps(results))
	fmt.Fprintf(&b, "%d passed, %d failed\n", passed, failed)
	return b.String()
}
