// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"time"

	"switchbank.example/switchbank/internal/scheduler"
)

// SetEvacuated sets the data centres on whose workers nothing may start.
func (o *Owner) SetEvacuated(dataCentres []string) {
	o.updateShard(func(s *scheduler.Shard, _ time.Time) { s.SetEvacuated(dataCentres) })
}
