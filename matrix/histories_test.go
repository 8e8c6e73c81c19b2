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

// decodeFault maps a number to a fault at a step. Since a history is a list of numbers,
// gopter can shrink a failing one.
func decodeFault(n int) cellSpec {
	f := faults[n%len(faults)]
	n /= len(faults)
	step := allSteps[n%len(allSteps)]
	n /= len(allSteps)
	return cellSpec{row: f.name, faults: []fault{f}, step: step, phase: phase(n % 2), skip: n / 2 % maxSkip}
}

// TestHistories injects random sequences of faults, each at a random step, and checks the
// guarantees. HISTORIES sets the number of sequences.
func TestHistories(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(historySeed)
	params.MinSuccessfulTests = histories
	if n, err := strconv.Atoi(os.Getenv("HISTORIES")); err == nil {
		params.MinSuccessfulTests = n
	}
	t.Logf("seed %d, %d histories", historySeed, params.MinSuccessfulTests)
	props := gopter.NewProperties(params)
	props.Property("the guarantees hold", prop.ForAll(func(history []int) string {
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
