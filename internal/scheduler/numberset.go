// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"cmp"
	"slices"
)

// numberRange is a range of numbers from First to Last.
type numberRange struct {
	First int `json:"f"`
	Last  int `json:"l"`
}

// numberSet is a set of numbers as its ranges, which are in order and don't touch. It takes little
// space for numbers that follow each other with few gaps.
type numberSet []numberRange

// has reports whether n is in the set.
func (s numberSet) has(n int) bool {
	i := s.search(n)
	return i < len(s) && s[i].First <= n
}

// search returns the index of the first range that ends at n or later.
func (s numberSet) search(n int) int {
	i, _ := slices.BinarySearchFunc(s, n, func(r numberRange, n int) int { return cmp.Compare(r.Last, n) })
	return i
}

// add returns the set with n.
func (s numberSet) add(n int) numberSet {
	i := s.search(n)
	if i < len(s) && s[i].First <= n {
		return s
	}
	joinsBefore := i > 0 && s[i-1].Last == n-1
	joinsAfter := i < len(s) && s[i].First == n+1
	switch {
	case joinsBefore && joinsAfter:
		s[i-1].Last = s[i].Last
		return slices.Delete(s, i, i+1)
	case joinsBefore:
		s[i-1].Last = n
	case joinsAfter:
		s[i].First = n
	default:
		return slices.Insert(s, i, numberRange{n, n})
	}
	return s
}

// size returns how many numbers are in the set.
func (s numberSet) size() (n int) {
	for _, r := range s {
		n += r.Last - r.First + 1
	}
	return n
}

// valid reports whether the ranges are in order, don't touch and lie between 0 and most.
func (s numberSet) valid(most int) bool {
	next := 0
	for _, r := range s {
		if r.First < next || r.Last < r.First || r.Last > most {
			return false
		}
		next = r.Last + 2
	}
	return true
}
