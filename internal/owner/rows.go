// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
)

// The tables of jobs. A job's row in TableJobs is written once, by the node that
// accepts it, and removed some time after its end; its row in TableProgress is
// written by the shard's owner only, and kept for as long as callers may ask.
const (
	TableJobs     = "jobs"
	TableProgress = "progress"
)

// Parts is over how many parts the accepted jobs of a service are spread. A part
// takes its writes one after another: while the store answers 60 times slower
// (180 ms a write) and 30 jobs a second come, a part of 32 is busy for a sixth of
// the time, and a part of 8 for two thirds. A takeover reads all parts. Progress
// is written in batches, and has one part.
const Parts = 32

// cancelSuffix marks the row of a job's cancel; job IDs hold only hex digits.
const cancelSuffix = ".cancel"

// PartOf returns the part of a job's rows.
func PartOf(service, id string) string { return partName(service, int(xxhash.Sum64String(id)%Parts)) }

func partName(service string, i int) string { return service + "-" + strconv.Itoa(i) }

// PartsOf returns all parts of a service's jobs.
func PartsOf(service string) []string {
	parts := make([]string, Parts)
	for i := range parts {
		parts[i] = partName(service, i)
	}
	return parts
}

// JobRow returns the row of an accepted job.
func JobRow(job cluster.Job) (tables.Row, error) {
	value, err := json.Marshal(job)
	if err != nil {
		return tables.Row{}, &Error{"job row", KindLoad, err}
	}
	return tables.Row{Table: TableJobs, Part: PartOf(job.Service, job.ID), Key: job.ID, Value: value}, nil
}

// ProgressPart returns the part of a service's progress.
func ProgressPart(service string) string { return service + "-progress" }

// ProgressKey returns the empty row that names a job's progress.
func ProgressKey(service, id string) tables.Row {
	return tables.Row{Table: TableProgress, Part: ProgressPart(service), Key: id}
}

// fenceKey is the key of the row that every write of progress depends on; job
// IDs hold only hex digits.
const fenceKey = "!owner"

// rosterKey is the key of the row that lists the workers, for the next owner: the
// directory's entries lapse while the store is away.
const rosterKey = "!workers"

// FenceRow returns the row that a new owner writes beside the owner's row: it
// lies with the progress, so that progress is written within one part.
func FenceRow(service string) tables.Row {
	return tables.Row{Table: TableProgress, Part: ProgressPart(service), Key: fenceKey, Value: []byte("{}")}
}

// CancelRow returns the row that records a job's cancel.
func CancelRow(service, id string) tables.Row {
	return tables.Row{Table: TableJobs, Part: PartOf(service, id), Key: id + cancelSuffix, Value: []byte("{}")}
}

// cancelled returns the job that a cancel's key names.
func cancelled(key string) (id string, ok bool) { return strings.CutSuffix(key, cancelSuffix) }

// StateOf returns the state that a progress row holds.
func StateOf(row tables.Row) cluster.State {
	p, err := scheduler.ParseProgress(row.Value, row.Version)
	if err != nil {
		// The owner logs and replaces a row that can't be read; its job is not finished.
		return cluster.StateRunning
	}
	if p.State == cluster.StatePending && p.Begun {
		return cluster.StateRunning
	}
	return p.State
}
