// SPDX-License-Identifier: Apache-2.0

package matrix_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	historySeed = 17
	histories   = 12
	historyLen  = 3
	maxSkip     = 8
)

// decode reads one fault of a history from a number, so that a failing history
// shrinks to a shorter one of smaller numbers.
func decodeFault(n int) cellSpec {
	f := faults[n%len(faults)]
	n /= len(faults)
	step := allSteps[n%len(allSteps)]
	n /= len(allSteps)
	return cellSpec{row: f.name, faults: []fault{f}, step: step, phase: phase(n % 2), skip: n / 2 % maxSkip}
}

// TestHistories runs random sequences of faults, each at a random step, and
// holds what was seen against the promises. HISTORIES sets how many.
func TestHistories(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(historySeed)
	params.MinSuccessfulTests = histories
	if n, err := strconv.Atoi(os.Getenv("HISTORIES")); err == nil {
		params.MinSuccessfulTests = n
	}
	t.Logf("seed %d, %d histories", historySeed, params.MinSuccessfulTests)
	props := gopter.NewProperties(params)
	props.Property("the promises hold", prop.ForAll(func(history []int) string {
		var descriptions []string
		var specs []cellSpec
		for _, n := range history {
			sp := decodeFault(n)
			descriptions = append(descriptions, fmt.Sprintf("%s at %s, phase %d, occurrence %d", sp.row, sp.step, sp.phase, sp.skip))
			specs = append(specs, sp)
		}
		if len(specs) == 0 {
			return ""
		}
		first := specs[0]
		first.followUps = specs[1:]
		out := first.run(t)
		if len(out.violations) == 0 {
			return ""
		}
		return strings.Join(descriptions, "; then ") + ": " + fmt.Sprint(out.violations)
	}, gen.SliceOfN(historyLen, gen.IntRange(0, len(faults)*len(allSteps)*2*maxSkip-1))))
	props.TestingRun(t)
}
