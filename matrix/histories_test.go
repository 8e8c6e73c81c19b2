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
func decode(n int) spec {
	f := faults[n%len(faults)]
	n /= len(faults)
	step := allSteps[n%len(allSteps)]
	n /= len(allSteps)
	return spec{row: f.name, faults: []fault{f}, step: step, phase: phase(n % 2), skip: n / 2 % maxSkip}
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
		var told []string
		var more []spec
		for _, n := range history {
			sp := decode(n)
			told = append(told, fmt.Sprintf("%s at %s, phase %d, occurrence %d", sp.row, sp.step, sp.phase, sp.skip))
			more = append(more, sp)
		}
		if len(more) == 0 {
			return ""
		}
		first := more[0]
		first.then = more[1:]
		out := first.run(t)
		if len(out.breaches) == 0 {
			return ""
		}
		return strings.Join(told, "; then ") + ": " + fmt.Sprint(out.breaches)
	}, gen.SliceOfN(historyLen, gen.IntRange(0, len(faults)*len(allSteps)*2*maxSkip-1))))
	props.TestingRun(t)
}
