// SPDX-License-Identifier: Apache-2.0

package site_test

import "switchbank.example/switchbank/standin/site"

// violations returns the guarantees that were broken, judging by what the workers observed.
func (w *testEnv) violations() []string {
	return w.site.Violations(site.Expectations{Refused: w.refused, CancelledAt: w.cancelled, DrainedAt: w.site.DrainedAt(), OrdersDelayed: w.mayBeDelayed})
}

// checkNoViolations checks that no guarantee was broken.
func (w *testEnv) checkNoViolations() {
	w.t.Helper()
	for _, violation := range w.violations() {
		w.t.Error(violation)
	}
}
