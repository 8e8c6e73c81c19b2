// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"encoding/json"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/events"
)

// joinChunks puts the progress of each job that lies in several rows together, as one row. Rows that
// belong to no unfinished job are deleted. The caller holds mu.
func (o *Owner) joinChunks(rows *loadedRows) {
	for id, chunks := range rows.chunks {
		head, found := rows.progress[id]
		if !found {
			o.deleteQueue.add(chunks...)
			continue
		}
		p := o.decodeProgress(head)
		if p == nil || p.State.Finished() {
			o.deleteQueue.add(chunks...)
			continue
		}
		values := make(map[string][]byte, len(chunks))
		for _, r := range chunks {
			values[r.Key] = r.Value
		}
		if err := p.JoinChunks(values); err != nil {
			o.Log.Warn("unreadable part of a job's progress skipped", events.RowSkipped, zap.String("job", id), zap.Error(err))
		}
		value, err := json.Marshal(p)
		if err != nil {
			panic("owner: progress holds only strings and numbers: " + err.Error())
		}
		head.Value = value
		rows.progress[id] = head
	}
}
