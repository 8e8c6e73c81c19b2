// SPDX-License-Identifier: Apache-2.0

package site_test

import "switchbank.example/switchbank/standin/site"

// violations returns the guarantees that were broken, judging by what the workers observed.
func (env *testEnv) violations() []string {
	return env.site.Violations(site.Expectations{Refused: env.refused, CancelledAt: env.cancelled, DrainedAt: env.site.DrainedAt(), OrdersDelayed: env.mayBeDelayed, Teams: env.teams})
}

// checkNoViolations checks that no guarantee was broken.
func (env *testEnv) checkNoViolations() {
	env.t.Helper()
	for _, violation := range env.violations() {
		env.t.Error(violation)
	}
}
