// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"testing"
)

var metricName = regexp.MustCompile(`switchbank_[a-z_]+[a-z]`)

func metricNames(t *testing.T, files ...string) []string {
	t.Helper()
	var names []string
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		names = append(names, metricName.FindAllString(string(data), -1)...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// TestMetricsCatalogue checks that docs/metrics.md lists exactly the metrics in the code of
// both kinds of node.
func TestMetricsCatalogue(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	onPlatform, err := filepath.Glob("../cell/*.go")
	if err != nil {
		t.Fatal(err)
	}
	files = append(files, onPlatform...)
	files = slices.DeleteFunc(files, func(f string) bool { return f == "metrics_test.go" || f == "node_test.go" })
	code, page := metricNames(t, files...), metricNames(t, "../../docs/metrics.md")
	if !slices.Equal(code, page) {
		t.Errorf("metrics in the code: %v\nmetrics in the page: %v", code, page)
	}
}
