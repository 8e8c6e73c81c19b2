// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
)

// The tables of jobs. A job's row in TablePins says which shard has it. The row is written when
// the job is accepted, on condition that there is none, and kept for as long as callers may ask
// about the job. The job itself lies in its shard's table of jobs until some time after its
// end, so that an owner follows only its own jobs. Its row in TableProgress is written only by
// the shard's owner, and is deleted after the pin.
const (
	TablePins     = "pins"
	TableProgress = "progress"
	tableFallback = "spill"
	jobsPrefix    = "jobs-"
)

// TableJobs returns the table of a shard's jobs. Shards of the same index of several services
// share it, since the store has few tables.
func TableJobs(shard cluster.ShardID) string { return jobsPrefix + strconv.Itoa(shard.Index) }

// NumJobParts is the number of parts over which the accepted jobs of a service are spread. A
// part takes its writes one after another: while the store answers 100 times slower (0.3 s a
// write) and 80 jobs a second come, each of 64 parts is busy for 0.4 of the time, and each of
// 32 for 0.75, so that writes wait for each other for seconds. More parts make a takeover read
// more lists. Progress is written in batches and has one part per shard.
const NumJobParts = 64

// cancelSuffix ends the key of a job's cancel row. No job ID ends so, since they hold only hex
// digits.
const cancelSuffix = ".cancel"

// JobPart returns the part of a job's rows. It depends only on the ID, so that a job that is
// submitted twice is accepted once, whichever shard a node would choose for it, and whichever
// service its queue has by then.
func JobPart(id string) string { return partName(int(xxhash.Sum64String(id) % NumJobParts)) }

// partName returns the name of the i-th part.
func partName(i int) string { return "job-" + strconv.Itoa(i) }

// JobParts returns all parts of the jobs.
func JobParts() []string {
	parts := make([]string, NumJobParts)
	for i := range parts {
		parts[i] = partName(i)
	}
	return parts
}

// JobRow returns a row with only the table, part and key of a job in a shard.
func JobRow(shard cluster.ShardID, id string) tables.Row {
	return tables.Row{Table: TableJobs(shard), Part: JobPart(id), Key: id}
}

// cancelRow is JobRow for the job's cancel.
func cancelRow(shard cluster.ShardID, id string) tables.Row {
	row := JobRow(shard, id)
	row.Key += cancelSuffix
	return row
}

// parseJobKey returns the job that a row in TableJobs names, and whether the row is its cancel.
func parseJobKey(key string) (id string, cancel bool) { return strings.CutSuffix(key, cancelSuffix) }

// pinRow returns a row with only the table, part and key of a job's pin.
func pinRow(id string) tables.Row {
	return tables.Row{Table: TablePins, Part: JobPart(id), Key: id}
}

// pinValue is the value of a job's row in TablePins.
type pinValue struct {
	// Service is the service that runs the job, and stays when its queue gets another one.
	Service string `json:"service"`
	// Shards has one index for each part of the job; the first one leads the job.
	Shards []int `json:"shards"`
	// Moves is how often the job had moved when the pin last changed its shards.
	Moves int `json:"moves,omitempty"`
	// Team is the team to which the job belongs; empty if it came without a token.
	Team string `json:"team,omitempty"`
	// Tombstone is as in Pin.
	Tombstone bool `json:"tombstone,omitempty"`
}

// Pin says which shards have the parts of a job, and to which team it belongs.
type Pin struct {
	// Shards has one shard for each part of the job; the first one leads the job.
	Shards []cluster.ShardID
	Team   string
	// Moves is how often the job has moved. It only rises, so that it tells a job that never left
	// a shard from one that has come back.
	Moves int
	// Tombstone is set if the job was cancelled before it was accepted: it doesn't exist, and is not
	// accepted while the pin is there.
	Tombstone bool
}

// AcceptJobTxn returns the transaction that accepts a job, given as its parts. It does not
// commit if the job was accepted before.
func AcceptJobTxn(parts []cluster.Job) (tables.Txn, error) {
	job := parts[0]
	txn := tables.Txn{If: []tables.Row{pinRow(job.ID)}}
	var shards []cluster.ShardID
	for _, j := range parts {
		value, err := json.Marshal(j)
		if err != nil {
			return tables.Txn{}, &Error{"accept job", KindLoad, err}
		}
		shards = append(shards, j.ShardID())
		row := JobRow(j.ShardID(), job.ID)
		row.Value = value
		txn.Put = append(txn.Put, row)
	}
	txn.Put = append(txn.Put, newPinRow(job.ID, Pin{Shards: shards, Team: job.Team, Moves: job.Moves}))
	return txn, nil
}

// newPinRow returns the pin that says which shards have the parts of a job.
func newPinRow(id string, pin Pin) tables.Row {
	p := pinValue{Service: pin.Shards[0].Service, Team: pin.Team, Moves: pin.Moves, Tombstone: pin.Tombstone}
	for _, s := range pin.Shards {
		p.Shards = append(p.Shards, s.Index)
	}
	value, err := json.Marshal(p)
	if err != nil {
		panic("owner: a pin holds only numbers and a name: " + err.Error())
	}
	row := pinRow(id)
	row.Value = value
	return row
}

// ParsePin reads a job's row in TablePins.
func ParsePin(row tables.Row) (Pin, error) {
	var p pinValue
	err := json.Unmarshal(row.Value, &p)
	if err == nil && (p.Service == "" || len(p.Shards) == 0 || slices.Min(p.Shards) < 0) {
		err = errors.New("names no shard of a service")
	}
	if err != nil {
		return Pin{}, &Error{"parse pin of " + row.Key, KindLoad, err}
	}
	pin := Pin{Shards: make([]cluster.ShardID, len(p.Shards)), Team: p.Team, Moves: p.Moves, Tombstone: p.Tombstone}
	for i, index := range p.Shards {
		pin.Shards[i] = cluster.ShardID{Service: p.Service, Index: index}
	}
	return pin, nil
}

// ProgressPart returns the part of a shard's progress.
func ProgressPart(shard cluster.ShardID) string { return shard.String() + "-progress" }

// ProgressRow returns a row with only the table, part and key of a job's progress.
func ProgressRow(shard cluster.ShardID, id string) tables.Row {
	return tables.Row{Table: TableProgress, Part: ProgressPart(shard), Key: id}
}

// workerListKey is the key of the row that lists the workers for the next owner, since the
// directory's entries expire while the store is unavailable.
const workerListKey = "!workers"

// CancelJobTxn returns the transaction that records a job's cancel, on condition of the job's
// pin: if the job moves to another shard meanwhile, the caller has to read the pin again.
func CancelJobTxn(shards []cluster.ShardID, pin tables.Row) tables.Txn {
	return endJobTxn(shards, pin, jobEnd{})
}

// endJobTxn returns the transaction that ends a job in all of its shards, on condition of its
// pin.
func endJobTxn(shards []cluster.ShardID, pin tables.Row, end jobEnd) tables.Txn {
	value, err := json.Marshal(end)
	if err != nil {
		panic("owner: the end of a job holds only a text: " + err.Error())
	}
	txn := tables.Txn{If: []tables.Row{pin}}
	for _, shard := range shards {
		row := cancelRow(shard, pin.Key)
		row.Value = value
		txn.Put = append(txn.Put, row)
	}
	return txn
}

// jobEnd is the value of a job's cancel row.
type jobEnd struct {
	// State is the state in which the job ends; empty: cancelled.
	State cluster.State `json:"state,omitempty"`
	// Tombstone is the service of the shard that deletes the row and the job's pin, if the pin is a
	// tombstone.
	Tombstone string `json:"tombstone,omitempty"`
}

// endState returns the state in which a cancel row ends its job. An owner may also end a job
// as failed that several shards run.
func endState(row tables.Row) cluster.State {
	var end jobEnd
	if err := json.Unmarshal(row.Value, &end); err == nil && end.State == cluster.StateFailed {
		return cluster.StateFailed
	}
	return cluster.StateCancelled
}

// stateOf returns the state in a progress row.
func stateOf(row tables.Row) cluster.State {
	p, err := scheduler.ParseProgress(row.Value, row.Version)
	if err != nil {
		// The owner logs and replaces an unreadable row; its job is not finished.
		return cluster.StateRunning
	}
	if p.State == cluster.StatePending && p.Begun {
		return cluster.StateRunning
	}
	return p.State
}
