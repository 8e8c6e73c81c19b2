// SPDX-License-Identifier: Apache-2.0

package events_test

import (
	"os"
	"regexp"
	"slices"
	"testing"
)

var (
	inCode = regexp.MustCompile(`"(SB\d{4})"`)
	inPage = regexp.MustCompile(`(?m)^\| (SB\d{4}) \|`)
)

func eventCodes(t *testing.T, file string, re *regexp.Regexp) []string {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for _, m := range re.FindAllStringSubmatch(string(data), -1) {
		found = append(found, m[1])
	}
	slices.Sort(found)
	return found
}

// TestCatalogue checks that docs/events.md and the code list the same event codes, each once.
func TestCatalogue(t *testing.T) {
	code, page := eventCodes(t, "events.go", inCode), eventCodes(t, "../../docs/events.md", inPage)
	if !slices.Equal(code, page) {
		t.Errorf("codes in events.go: %v\ncodes in docs/events.md: %v", code, page)
	}
	if len(slices.Compact(slices.Clone(code))) != len(code) {
		t.Error("an event code is defined twice")
	}
}
