// SPDX-License-Identifier: Apache-2.0

package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file addresses the retries of refused jobs, which come on top of a demand that already
// exceeds the capacity. They are spread, so that they don't form bursts.

const (
	// MaxRetryAfter is the longest time after which a caller should retry.
	MaxRetryAfter = time.Minute
	// minRetryAfter is the shortest one.
	minRetryAfter = time.Second
	// jitterShare is the jitter as a share of the wait.
	jitterShare = 0.5
	// minJitter is the least range of the jitter for waits above that time. Shorter waits are
	// spread by the arrival of the jobs.
	minJitter = 2 * time.Second
	// maxBase is the longest wait without jitter, so that the longest waits are spread as well.
	maxBase = time.Duration(float64(MaxRetryAfter) / (1 + jitterShare))
)

// retryAfter returns when the caller of a job should retry: after wait, in whole seconds, and with
// a jitter that depends on the job's ID.
func retryAfter(id string, wait time.Duration) time.Duration {
	base := min(max(ceilSecond(wait), minRetryAfter), maxBase)
	jitter := time.Duration(jitterShare * float64(base)).Truncate(time.Second)
	if base > minJitter {
		jitter = max(jitter, minJitter)
	}
	choices := uint64(jitter/time.Second) + 1
	return base + time.Duration(xxhash.Sum64String(id)%choices)*time.Second
}

func ceilSecond(d time.Duration) time.Duration {
	return (max(0, d) + time.Second - 1).Truncate(time.Second)
}
