// SPDX-License-Identifier: Apache-2.0

package ctl_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"switchbank.example/switchbank/internal/api"
	"switchbank.example/switchbank/internal/ctl"
	"switchbank.example/switchbank/internal/httpx"
	"switchbank.example/switchbank/internal/resource"
)

// run runs the command line and returns its exit code and output.
func run(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var outBuf, errBuf bytes.Buffer
	code = ctl.Main(args, strings.NewReader(""), &outBuf, &errBuf)
	return code, outBuf.String(), errBuf.String()
}

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	invalidFile := filepath.Join(dir, "bad.json")
	if err := os.WriteFile(invalidFile, []byte(`{"id":"x","taks":1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasSuffix(r.URL.Path, "accept"):
			httpx.WriteError(w, httpx.NewProblem(http.StatusConflict, "bundle_conflict", "version 3 is in force: change x by anna"))
		case r.Method == http.MethodDelete:
			httpx.WriteError(w, httpx.NewProblem(http.StatusServiceUnavailable, "store_unavailable", "down").WithOutcome("refused"))
		default:
			httpx.WriteError(w, httpx.NewProblem(http.StatusNotFound, "not_found", "none"))
		}
	}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	flags := []string{"--callers", address, "--operators", address, "--team", "a"}
	tests := []struct {
		name   string
		args   []string
		code   int
		stderr string
	}{
		{"version", []string{"version"}, ctl.ExitOK, ""},
		{"no command", nil, ctl.ExitUsage, ""},
		{"unknown command", []string{"fly"}, ctl.ExitUsage, "fly"},
		{"no such file", []string{"submit", filepath.Join(dir, "none.json")}, ctl.ExitUsage, "none.json"},
		{"unknown field", []string{"submit", invalidFile}, ctl.ExitUsage, "taks"},
		{"no bundle", []string{"bundle", "check", dir}, ctl.ExitUsage, "yaml"},
		{"not reached", []string{"--operators", "127.0.0.1:1", "status"}, ctl.ExitFailed, "transport"},
		{"not found", append(flags, "get", "x"), ctl.ExitRefused, "not_found"},
		{"refused", append(flags, "cancel", "x"), ctl.ExitRefused, "store_unavailable"},
		{"conflict", append(flags, "bundle", "accept", "mine"), ctl.ExitConflict, "anna"},
		{"bad task", append(flags, "explain", "x/y"), ctl.ExitUsage, "JOB/TASK"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			code, _, errOut := run(t, tt.args...)
			if code != tt.code || !strings.Contains(errOut, tt.stderr) {
				t.Errorf("exit %d, want %d: %s", code, tt.code, errOut)
			}
		})
	}
}

func TestExplain(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		httpx.WriteJSON(w, http.StatusOK, api.Status{
			Workload: api.Workload{ID: "j", Team: "a", Class: "notice", Size: resource.Amount{CPUMilli: 4000, MemoryMB: 100}},
			State:    api.JobRunning, WaitReason: "no room: 1 tasks still wait", JobsAhead: []string{"urgent-1"},
			Tasks: []api.TaskStatus{
				{Task: 0, State: api.TaskRunning, Attempt: 2, Worker: "w7"},
				{Task: 1, State: api.TaskWaiting, Attempt: 1, Reason: "preempted for urgent-1 of class counter"},
			},
		})
	}))
	defer srv.Close()
	code, out, _ := run(t, "--callers", strings.TrimPrefix(srv.URL, "http://"), "--team", "a", "explain", "j")
	for _, want := range []string{"attempt 2 is running on w7", "preempted for urgent-1", "no room", "these go first: urgent-1", "4000 thousandths"} {
		if !strings.Contains(out, want) {
			t.Errorf("exit %d, no %q in %s", code, want, out)
		}
	}
}

// TestBundleKeygenCheckSign generates a key, then checks and signs a bundle, as a reviewer
// does; a second keygen must not overwrite the key.
func TestBundleKeygenCheckSign(t *testing.T) {
	dir := t.TempDir()
	key := filepath.Join(t.TempDir(), "zuzana.key")
	if err := os.WriteFile(filepath.Join(dir, "teams.yaml"), []byte("teams: [{name: a}]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, _, errOut := run(t, "bundle", "keygen", key); code != ctl.ExitOK {
		t.Fatal(errOut)
	}
	if code, _, _ := run(t, "bundle", "keygen", key); code == ctl.ExitOK {
		t.Error("a key was overwritten")
	}
	if code, out, errOut := run(t, "-o", "json", "bundle", "check", dir); code != ctl.ExitOK || !strings.Contains(out, `"teams": 1`) {
		t.Errorf("exit %d: %s %s", code, out, errOut)
	}
	if code, out, errOut := run(t, "bundle", "sign", dir, "--reviewer", "zuzana", "--key", key); code != ctl.ExitOK || !strings.Contains(out, "zuzana") {
		t.Errorf("exit %d: %s %s", code, out, errOut)
	}
}
