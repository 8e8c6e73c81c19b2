// SPDX-License-Identifier: Apache-2.0

package intake_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/intake"
)

// TestHeadsOfManyLinesExhaustMemory guards against heads below the limit of a head whose lines take
// many times their size, in heads that end and in heads that don't.
func TestHeadsOfManyLinesExhaustMemory(t *testing.T) {
	const clients, heldBytes = 20, 64 << 10
	lines := strings.Repeat("A:\r\n", 100)
	for name, request := range map[string]string{
		"not ended":          "GET / HTTP/1.1\r\nHost: h\r\n" + lines,
		"body that is short": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n" + lines + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l := intake.New(intake.Limits{Bytes: heldBytes, ReadTime: time.Minute})
			address := serve(t, l, http.HandlerFunc(sizeHandler))
			for range clients {
				send(t, address, request)
			}
			waitStats(t, l, "connections closed", func(s intake.Stats) bool { return s.ClosedForMemory > 0 })
			if held := l.Stats().HeldBytes; held > 2*heldBytes {
				t.Errorf("%d bytes are held, want at most %d", held, 2*heldBytes)
			}
			if status := retryGet(t, address); status != http.StatusOK {
				t.Errorf("got %d", status)
			}
		})
	}
}
