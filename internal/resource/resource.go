// SPDX-License-Identifier: Apache-2.0

// Package resource defines amounts of CPU, memory and accelerators: the capacity of workers and
// the requests of tasks.
//
// # Usage
//
//	free := worker.Capacity.Sub(used)
//	if free.Fits(task.Size) { … }
package resource

// Amount is a quantity of each resource of a worker.
type Amount struct {
	// CPUMilli is CPU in thousandths of a core.
	CPUMilli int64 `json:"cpu_milli" yaml:"cpu_milli"`
	// MemoryMB is memory in megabytes of 1,000,000 bytes.
	MemoryMB int64 `json:"memory_mb" yaml:"memory_mb"`
	// Accelerators is the number of accelerators.
	Accelerators int64 `json:"accelerators" yaml:"accelerators"`
}

// Add returns the sum of a and b.
func (a Amount) Add(b Amount) Amount {
	return Amount{a.CPUMilli + b.CPUMilli, a.MemoryMB + b.MemoryMB, a.Accelerators + b.Accelerators}
}

// Sub returns a minus b.
func (a Amount) Sub(b Amount) Amount {
	return Amount{a.CPUMilli - b.CPUMilli, a.MemoryMB - b.MemoryMB, a.Accelerators - b.Accelerators}
}

// Times returns n times a.
func (a Amount) Times(n int64) Amount {
	return Amount{a.CPUMilli * n, a.MemoryMB * n, a.Accelerators * n}
}

// Fits reports whether b fits into a: it is at most a in every resource.
func (a Amount) Fits(b Amount) bool {
	return b.CPUMilli <= a.CPUMilli && b.MemoryMB <= a.MemoryMB && b.Accelerators <= a.Accelerators
}

// Exceeds reports whether a is above a limit in any resource; a resource of 0 has no limit.
func (a Amount) Exceeds(limit Amount) bool {
	over := func(a, limit int64) bool { return limit > 0 && a > limit }
	return over(a.CPUMilli, limit.CPUMilli) || over(a.MemoryMB, limit.MemoryMB) || over(a.Accelerators, limit.Accelerators)
}

// Count returns how many times b fits into a, at most most times.
func (a Amount) Count(b Amount, most int64) int64 {
	for _, r := range [][2]int64{{a.CPUMilli, b.CPUMilli}, {a.MemoryMB, b.MemoryMB}, {a.Accelerators, b.Accelerators}} {
		if r[1] > 0 {
			most = min(most, r[0]/r[1])
		}
	}
	return max(most, 0)
}

// Max returns the maximum of a and b in each resource.
func (a Amount) Max(b Amount) Amount {
	return Amount{max(a.CPUMilli, b.CPUMilli), max(a.MemoryMB, b.MemoryMB), max(a.Accelerators, b.Accelerators)}
}

// Min returns the minimum of a and b in each resource.
func (a Amount) Min(b Amount) Amount {
	return Amount{min(a.CPUMilli, b.CPUMilli), min(a.MemoryMB, b.MemoryMB), min(a.Accelerators, b.Accelerators)}
}

// DominantShare returns the largest share of total that a takes in any resource, from 0 to 1.
func (a Amount) DominantShare(total Amount) float64 {
	return max(share(a.CPUMilli, total.CPUMilli), share(a.MemoryMB, total.MemoryMB), share(a.Accelerators, total.Accelerators))
}

func share(used, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(used) / float64(total)
}
