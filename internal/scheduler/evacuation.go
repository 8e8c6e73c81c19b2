// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
)

// This file answers a third of the workers being closed to new work at once and opened again
// some time later. What runs there goes on: a stop would throw away work that no order asks to
// end, and load the rest of the workers further.

// SetEvacuated sets the data centres on whose workers nothing may start.
func (s *Shard) SetEvacuated(dataCentres []string) {
	evacuated := make(map[string]bool, len(dataCentres))
	for _, name := range dataCentres {
		evacuated[name] = true
	}
	closed := 0
	for _, w := range s.workerList {
		if evacuated[w.info.DataCentre] {
			closed++
		}
	}
	if len(s.evacuated) > 0 || len(evacuated) > 0 {
		s.log.Info("data centres evacuated", events.DataCentresEvacuated, zap.Strings("data_centres", dataCentres),
			zap.Int("workers_closed", closed), zap.Int("workers", len(s.workerList)))
	}
	s.evacuated = evacuated
}

// isEvacuated reports whether the worker's data centre is evacuated.
func (s *Shard) isEvacuated(w *worker) bool { return s.evacuated[w.info.DataCentre] }
