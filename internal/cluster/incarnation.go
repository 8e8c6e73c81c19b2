// SPDX-License-Identifier: Apache-2.0

package cluster

import "strconv"

// Incarnation identifies one run of a worker's process, from its start to its end. A
// restarted worker may have the same ID; Started tells the two apart.
type Incarnation struct {
	ID string `json:"id"`
	// Started is the time of the start, in Unix milliseconds, by the clock of the worker's
	// host. The clock may be set back: a later incarnation may have an earlier time. It is 0
	// if the worker doesn't report it; such a worker gets a new ID with each start.
	Started int64 `json:"started,omitempty"`
}

// String returns the ID and, if it is known, the start.
func (i Incarnation) String() string {
	if i.Started == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Started, 10)
}
