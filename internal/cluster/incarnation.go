// SPDX-License-Identifier: Apache-2.0

package cluster

import "strconv"

// Incarnation names one life of a worker: from the start of its process to its end. A worker may
// start again under the ID that it had; Started then tells the two apart.
type Incarnation struct {
	ID string `json:"id"`
	// Started is the time of day of the start, in Unix milliseconds, by the clock of the
	// worker's host, which may be set: a later life may have an earlier one. 0: the worker
	// doesn't tell, and has a new ID with each start.
	Started int64 `json:"started,omitempty"`
}

// String returns the ID and, where it is known, the start.
func (l Incarnation) String() string {
	if l.Started == 0 {
		return l.ID
	}
	return l.ID + "@" + strconv.FormatInt(l.Started, 10)
}
