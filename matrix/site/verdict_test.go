// SPDX-License-Identifier: Apache-2.0

package site_test

import "switchbank.example/switchbank/standin/site"

// judge holds what the workers saw against the promises.
func (w *world) judge() []string {
	return w.site.Violations(site.Expectations{Refused: w.refused, CancelledAt: w.cancelled, DrainedAt: w.site.DrainedAt(), OrdersDelayed: w.heldUp})
}

// checkJudged checks that no promise was broken.
func (w *world) checkJudged() {
	w.t.Helper()
	for _, wrong := range w.judge() {
		w.t.Error(wrong)
	}
}
