// SPDX-License-Identifier: Apache-2.0

package bundle

import (
	"encoding/json"
	"fmt"

	"switchbank.example/switchbank/internal/team"
)

// The operations of a Change.
const (
	OpAdd    = "+"
	OpRemove = "-"
	OpEdit   = "~"
)

// Change is one difference between two bundles, as shown to operators.
type Change struct {
	Op          string `json:"op"`
	Description string `json:"what"`
}

// Diff returns the changes that turn old into next.
func Diff(old, next *Bundle) []Change {
	var changes []Change
	changes = append(changes, diffNamed("team", old.Teams, next.Teams, func(t team.Team) string { return t.Name })...)
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
		if toJSON(v.old) != toJSON(v.next) {
			changes = append(changes, Change{OpEdit, fmt.Sprintf("%s: %s to %s", v.name, toJSON(v.old), toJSON(v.next))})
		}
	}
	return changes
}

// diffNamed compares two lists whose elements are identified by their names.
func diffNamed[T any](kind string, old, next []T, name func(T) string) []Change {
	var changes []Change
	oldByName := make(map[string]T, len(old))
	for _, v := range old {
		oldByName[name(v)] = v
	}
	for _, v := range next {
		oldValue, ok := oldByName[name(v)]
		delete(oldByName, name(v))
		switch {
		case !ok:
			changes = append(changes, Change{OpAdd, fmt.Sprintf("%s %s: %s", kind, name(v), toJSON(v))})
		case toJSON(oldValue) != toJSON(v):
			changes = append(changes, Change{OpEdit, fmt.Sprintf("%s %s: %s to %s", kind, name(v), toJSON(oldValue), toJSON(v))})
		}
	}
	for _, v := range old {
		if _, removed := oldByName[name(v)]; removed {
			changes = append(changes, Change{OpRemove, kind + " " + name(v)})
		}
	}
	return changes
}

// toJSON returns a part of a bundle as JSON.
func toJSON(v any) string {
	// The parts hold only strings, numbers, booleans and lists of them, so this can't fail.
	data, _ := json.Marshal(v)
	return string(data)
}
