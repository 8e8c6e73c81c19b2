// SPDX-License-Identifier: Apache-2.0

package matrix_test

import (
	"slices"
	"testing"

	"switchbank.example/switchbank/internal/node"
	standinworker "switchbank.example/switchbank/standin/worker"
)

// guardCase is a safeguard to switch off, and the cells that must detect that it is missing.
type guardCase struct {
	name string
	// guarantees depend on the safeguard; without it, a violation of one must be found.
	guarantees   []string
	guards       node.Guards
	workerConfig standinworker.Config
	rows         []string
	steps        []string
	phases       []phase
	// skips are the occurrences of the step at which the faults are injected, each in a cell
	// of its own; empty means only the first.
	skips []int
	// ownerOfJob restricts the faults to the owner of this job's shard, if set.
	ownerOfJob string
	// job restricts the faults to messages that start tasks of this job, if set.
	job string
}

var guardCases = []guardCase{
	{
		name: "slot count", guarantees: []string{guaranteeCapacity}, guards: node.Guards{AllowOvercommit: true},
		rows: []string{"requests rush"}, steps: []string{stepDispatch}, phases: []phase{before},
	},
	{
		name: "ticket", guarantees: []string{guaranteeOnePlace}, workerConfig: standinworker.Config{IgnoreTickets: true},
		rows: []string{"worker cut from its owner only", "message doubled, the second late"},
		// A task of "again" runs long: its second attempt, on another worker, still runs
		// when the late copy of the message starts the first one.
		steps: []string{stepStart}, phases: []phase{before}, skips: []int{0, 1, 2, 3}, job: "again",
	},
	{
		name: "epoch check", guarantees: []string{guaranteeOnePlace}, workerConfig: standinworker.Config{IgnoreEpochs: true},
		rows:  []string{"owner killed, its message arrives after the takeover"},
		steps: []string{stepStart}, phases: []phase{before}, skips: []int{0, 1, 2, 3, 4, 5, 6, 7},
	},
	{
		name: "journal before start", guarantees: []string{guaranteeOnePlace, guaranteeOnce}, guards: node.Guards{StartBeforeJournal: true},
		rows: []string{"node cut from the store only"}, steps: []string{stepPlace}, phases: []phase{before}, ownerOfJob: "again",
	},
	{
		name: "answer check", guarantees: []string{guaranteeOwnAnswer}, guards: node.Guards{SkipRequestIDCheck: true},
		rows: []string{"answers swapped"}, steps: []string{stepDispatch}, phases: []phase{before},
	},
	{
		name: "unknown told as unknown", guarantees: []string{guaranteeNotRun}, guards: node.Guards{AssumeNotRun: true},
		rows: []string{"all workers die in a rush"}, steps: []string{stepDispatch}, phases: []phase{after}, skips: []int{0, 8},
	},
	{
		name: "key intent", guarantees: []string{guaranteeOnce}, guards: node.Guards{SkipKeyJournal: true},
		rows: []string{"job that can never run"}, steps: []string{stepDispatch}, phases: []phase{before},
	},
	{
		name: "leaving workers", guarantees: []string{guaranteeLeaving}, guards: node.Guards{IgnoreLeaving: true},
		rows: []string{"worker leaving"}, steps: []string{stepDispatch}, phases: []phase{after}, skips: []int{0, 5},
	},
	{
		name: "drain wait", guarantees: []string{guaranteePlannedStop}, guards: node.Guards{NoDrain: true},
		rows: []string{"planned stop"}, steps: []string{stepDispatch, stepForward}, phases: []phase{before}, skips: []int{0, 5, 10},
	},
	{
		name: "confirmed bundle", guarantees: []string{guaranteeBundle}, guards: node.Guards{ServeStaleBundle: true},
		rows: []string{"node cut from store and peers"}, steps: []string{stepApply}, phases: []phase{before}, skips: []int{0, 1, 2},
	},
}

// specs returns the cells of a case, with its safeguard off or on.
func (g guardCase) specs(off bool) []cellSpec {
	if len(g.skips) == 0 {
		g.skips = []int{0}
	}
	var fs []fault
	for _, row := range g.rows {
		fs = append(fs, faultByName(row))
	}
	var specs []cellSpec
	for _, step := range g.steps {
		for _, ph := range g.phases {
			for _, skip := range g.skips {
				sp := cellSpec{row: g.name, faults: fs, step: step, phase: ph, skip: skip, skipJoin: true, ownerOfJob: g.ownerOfJob, job: g.job}
				if off {
					sp.guards, sp.workerConfig = g.guards, g.workerConfig
				}
				specs = append(specs, sp)
			}
		}
	}
	return specs
}

// TestMatrixCanFail guards against a matrix that cannot fail. It switches off one safeguard
// at a time: the cells that depend on it must find a violation without it, and none with it.
func TestMatrixCanFail(t *testing.T) {
	for _, g := range guardCases {
		t.Run(g.name, func(t *testing.T) {
			t.Parallel()
			var seen []string
			for _, sp := range g.specs(true) {
				for _, v := range sp.run(t).violations {
					seen = append(seen, v.guarantee)
				}
			}
			if !slices.ContainsFunc(seen, func(p string) bool { return slices.Contains(g.guarantees, p) }) {
				t.Errorf("with the guard off, no cell breaks guarantee %v; broken: %v", g.guarantees, seen)
			}
			for _, sp := range g.specs(false) {
				for _, v := range sp.run(t).violations {
					t.Errorf("with the guard on, at %s: guarantee %s: %s", sp.step, v.guarantee, v.detail)
				}
			}
		})
	}
}
