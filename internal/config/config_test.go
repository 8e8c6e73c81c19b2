// SPDX-License-Identifier: Apache-2.0

package config_test

import (
	"strings"
	"testing"

	"switchbank.example/switchbank/examples"
	"switchbank.example/switchbank/internal/config"
)

func TestExampleIsValid(t *testing.T) {
	if _, err := config.Parse("node.yaml", examples.Node); err != nil {
		t.Error(err)
	}
}

func TestErrorsNameFileLineAndKey(t *testing.T) {
	valid := string(examples.Node)
	tests := []struct {
		name, old, new string
		want           []string
	}{
		{"unknown key", "log: {level: info}", "log: {lvl: info}", []string{"node.yaml:16", "lvl"}},
		{"wrong unit", "timeout: 2s", "timeout: 2 bananas", []string{"node.yaml:15", "platform.timeout"}},
		{"zero duration", "timeout: 2s", "timeout: 0s", []string{"node.yaml:15", "$.platform.timeout"}},
		{"missing address", "  peers: 127.0.0.1:8081\n", "", []string{"$.listen.peers", "want IP:port"}},
		{"name for address", "callers: 127.0.0.1:8080", "callers: localhost:8080", []string{"node.yaml:10", "$.listen.callers"}},
		{"URL", "http://127.0.0.1:9000", "https://store.example/x", []string{"node.yaml:14", "$.platform.url"}},
		{"data centre", "data_centre: kosice-1", "data_centre: vienna", []string{"node.yaml:3", "$.data_centre"}},
		{"shards", "job_shards: 16", "job_shards: 0", []string{"node.yaml:8", "$.job_shards"}},
		{"duplicate key", "job_shards: 16", "job_shards: 16\njob_shards: 17", []string{"node.yaml:9", "job_shards"}},
		{"level", "level: info", "level: loud", []string{"node.yaml:16", "$.log.level"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(valid, tt.old, tt.new, 1)
			if text == valid {
				t.Fatal("the example settings do not contain the text to replace")
			}
			_, err := config.Parse("node.yaml", []byte(text))
			if err == nil {
				t.Fatal("invalid settings were accepted")
			}
			for _, w := range tt.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("%q does not name %q", err, w)
				}
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(examples.Node)
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = config.Parse("x", data) })
}
