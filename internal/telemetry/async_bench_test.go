// SPDX-License-Identifier: Apache-2.0

package telemetry_test

import (
	"io"
	"testing"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/telemetry"
)

// BenchmarkLine logs the most frequent line of an owner, which is written once for each
// start of a run.
func BenchmarkLine(b *testing.B) {
	out := telemetry.NewAsyncWriter(io.Discard)
	defer out.Close()
	log, _, err := telemetry.NewLeveledLogger("info", out)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		log.Info("starting run", events.RunStarted, zap.String("task", "ad6a2aee7c650c2c.0.0.14"), zap.Int64("run", 200001),
			zap.String("worker", "i-16bb607ec5"), zap.Bool("resumed", false), zap.Duration("due_in", 1249821705*time.Nanosecond))
	}
}
