// SPDX-License-Identifier: Apache-2.0

package tables_test

import (
	"testing"
	"time"

	"switchbank.example/switchbank/internal/tables"
)

// TestInvalidRequestWaitsLonger checks that a request that the service can't accept is retried
// after a longer pause than one that may succeed the next time.
func TestInvalidRequestWaitsLonger(t *testing.T) {
	const usual = 50 * time.Millisecond
	for _, c := range []struct {
		kind tables.Kind
		want time.Duration
	}{{tables.KindRefused, usual}, {tables.KindUnknown, usual}, {tables.KindInvalid, time.Second}} {
		if got := tables.RetryPause(&tables.Error{Op: "commit", Kind: c.kind}, usual); got != c.want {
			t.Errorf("pause after an error of kind %s: %v, want %v", c.kind, got, c.want)
		}
	}
}
