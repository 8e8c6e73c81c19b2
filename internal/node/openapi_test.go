// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/node"
	"switchbank.example/switchbank/internal/resource"
)

// document is the part of docs/openapi.yaml that is compared with the code.
type document struct {
	Paths      map[string]map[string]any `yaml:"paths"`
	Components struct {
		Schemas map[string]schema `yaml:"schemas"`
	} `yaml:"components"`
}

type schema struct {
	Properties map[string]any `yaml:"properties"`
	Enum       []string       `yaml:"enum"`
}

func readDocument(t *testing.T) document {
	t.Helper()
	data, err := os.ReadFile("../../docs/openapi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var d document
	if err := yaml.Unmarshal(data, &d); err != nil {
		t.Fatal(err)
	}
	return d
}

func TestOpenAPIRoutes(t *testing.T) {
	var want, have []string
	for _, r := range node.CallerRoutes() {
		want = append(want, strings.ToLower(r.Method)+" "+r.Path)
	}
	for path, methods := range readDocument(t).Paths {
		for m := range methods {
			have = append(have, m+" "+path)
		}
	}
	slices.Sort(want)
	slices.Sort(have)
	if !slices.Equal(want, have) {
		t.Errorf("the page has %v\nthe code has %v", have, want)
	}
}

func TestOpenAPISchemas(t *testing.T) {
	d := readDocument(t)
	for name, v := range map[string]any{
		"Problem": httpx.Problem{}, "Amount": resource.Amount{}, "Workload": api.Workload{}, "Status": api.Status{},
		"TaskCounts": api.TaskCounts{}, "TaskStatus": api.TaskStatus{}, "StatusList": api.StatusList{},
	} {
		var want, have []string
		typ := reflect.TypeOf(v)
		for i := range typ.NumField() {
			member, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			want = append(want, member)
		}
		for member := range d.Components.Schemas[name].Properties {
			have = append(have, member)
		}
		slices.Sort(want)
		slices.Sort(have)
		if !slices.Equal(want, have) {
			t.Errorf("%s: the page has %v\nthe code has %v", name, have, want)
		}
	}
	outcomes := []string{string(api.OutcomeDone), string(api.OutcomeRefused), string(api.OutcomeNotRun), string(api.OutcomeUnknown)}
	if !slices.Equal(d.Components.Schemas["Outcome"].Enum, outcomes) {
		t.Errorf("outcomes: %v", d.Components.Schemas["Outcome"].Enum)
	}
}
