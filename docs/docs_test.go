// SPDX-License-Identifier: Apache-2.0

// Package docs_test holds the documents against the code.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	testName = regexp.MustCompile("`(Test[A-Za-z]+)")
	testFunc = regexp.MustCompile(`(?m)^func (Test[A-Za-z]+)\(`)
	link     = regexp.MustCompile(`\]\(([a-zA-Z0-9_./-]+)\)`)
)

// TestPromisesNameTests checks that each test which promises.md names exists.
func TestPromisesNameTests(t *testing.T) {
	exist := make(map[string]bool)
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, m := range testFunc.FindAllSubmatch(data, -1) {
			exist[string(m[1])] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("promises.md")
	if err != nil {
		t.Fatal(err)
	}
	named := testName.FindAllSubmatch(page, -1)
	if len(named) < 8 {
		t.Errorf("only %d tests are named for eight promises", len(named))
	}
	for _, m := range named {
		if !exist[string(m[1])] {
			t.Errorf("there is no %s", m[1])
		}
	}
}

// TestLinks checks that the pages' links to files lead somewhere.
func TestLinks(t *testing.T) {
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".md") {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range link.FindAllSubmatch(data, -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(path), string(m[1]))); err != nil {
				t.Errorf("%s: %v", path, err)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
