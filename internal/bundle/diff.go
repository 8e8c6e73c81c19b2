// SPDX-License-Identifier: Apache-2.0

package bundle

import (
	"encoding/json"
	"fmt"
)

// The operations of a Change.
const (
	OpAdd    = "+"
	OpRemove = "-"
	OpEdit   = "~"
)

// Change is one difference between two bundles.
type Change struct {
	Op          string `json:"op"`
	Description string `json:"what"`
}

// Diff returns what has to change in old to give next.
func Diff(old, next *Bundle) []Change {
	var changes []Change
	changes = append(changes, diffNamed("team", old.Teams, next.Teams, func(t Team) string { return t.Name })...)
	changes = append(changes, diffNamed("class", old.Classes, next.Classes, func(c Class) string { return c.Name })...)
	changes = append(changes, diffNamed("service", old.Services, next.Services, func(s Service) string { return s.Name })...)
	changes = append(changes, diffNamed("reviewer", old.Review.Reviewers, next.Review.Reviewers, func(r Reviewer) string { return r.Name })...)
	for _, v := range []struct {
		name      string
		old, next any
	}{
		{"placement", old.Placement, next.Placement},
		{"limits", old.Limits, next.Limits},
		{"review.required", old.Review.Required, next.Review.Required},
	} {
		if text(v.old) != text(v.next) {
			changes = append(changes, Change{OpEdit, fmt.Sprintf("%s: %s to %s", v.name, text(v.old), text(v.next))})
		}
	}
	return changes
}

func diffNamed[T any](kind string, old, next []T, name func(T) string) []Change {
	var changes []Change
	before := make(map[string]T, len(old))
	for _, v := range old {
		before[name(v)] = v
	}
	for _, v := range next {
		was, ok := before[name(v)]
		delete(before, name(v))
		switch {
		case !ok:
			changes = append(changes, Change{OpAdd, fmt.Sprintf("%s %s: %s", kind, name(v), text(v))})
		case text(was) != text(v):
			changes = append(changes, Change{OpEdit, fmt.Sprintf("%s %s: %s to %s", kind, name(v), text(was), text(v))})
		}
	}
	for _, v := range old {
		if _, gone := before[name(v)]; gone {
			changes = append(changes, Change{OpRemove, kind + " " + name(v)})
		}
	}
	return changes
}

func text(v any) string {
	// The parts of a bundle hold only strings, numbers and lists of them, so that this can't fail.
	data, _ := json.Marshal(v)
	return string(data)
}
