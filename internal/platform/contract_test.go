// SPDX-License-Identifier: Apache-2.0

package platform_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/platform"
	standin "switchbank.example/switchbank/standin/platform"
)

// platformService is the whole interface of the platform that the contract tests check. To
// check another implementation, add it to implementations.
type platformService interface {
	Commit(ctx context.Context, t platform.Txn) (platform.TxnResult, error)
	Get(ctx context.Context, table, key string) (platform.Row, error)
	List(ctx context.Context, table, prefix string) ([]platform.Row, error)
	PutObject(ctx context.Context, key string, data []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
	DeleteObject(ctx context.Context, key string) error
	Hosts(ctx context.Context, dataCentre string) ([]platform.Host, error)
}

// implementation is an implementation to check, with the functions that set its faults and
// hosts.
type implementation struct {
	platformService
	setFaults func(standin.Faults)
	setHost   func(platform.Host)
}

func implementations(t *testing.T) map[string]implementation {
	direct, remote := standin.New(), standin.New()
	srv := httptest.NewServer(remote.Handler())
	t.Cleanup(srv.Close)
	return map[string]implementation{
		"stand-in": {direct, direct.SetFaults, direct.SetHost},
		"adapter":  {platform.NewClient(srv.URL, srv.Client(), time.Second), remote.SetFaults, remote.SetHost},
	}
}

// runContract runs a case of the contract on each implementation.
func runContract(t *testing.T, fn func(t *testing.T, s implementation)) {
	t.Helper()
	for name, s := range implementations(t) {
		t.Run(name, func(t *testing.T) { fn(t, s) })
	}
}

func put(key, value string) platform.Put {
	return platform.Put{Table: "t", Key: key, Value: json.RawMessage(value)}
}

func atVersion(key string, version int64) platform.Condition {
	return platform.Condition{Table: "t", Key: key, Version: version}
}

func commit(t *testing.T, s platformService, txn platform.Txn) platform.TxnResult {
	t.Helper()
	res, err := s.Commit(t.Context(), txn)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

func TestCommitConditions(t *testing.T) {
	runContract(t, func(t *testing.T, s implementation) {
		first := commit(t, s, platform.Txn{If: []platform.Condition{atVersion("a", 0)}, Put: []platform.Put{put("a", `1`)}})
		if !first.Committed || len(first.Versions) != 1 || first.Versions[0] == 0 {
			t.Fatalf("first write: %+v", first)
		}
		v := first.Versions[0]
		tests := []struct {
			name string
			txn  platform.Txn
			ok   bool
		}{
			{"must be absent", platform.Txn{If: []platform.Condition{atVersion("a", 0)}, Put: []platform.Put{put("a", `2`)}}, false},
			{"wrong version", platform.Txn{If: []platform.Condition{atVersion("a", v+100)}, Put: []platform.Put{put("a", `2`)}}, false},
			{"one of two fails", platform.Txn{If: []platform.Condition{atVersion("a", v), atVersion("b", 7)}, Put: []platform.Put{put("a", `2`), put("b", `2`)}}, false},
			{"both hold", platform.Txn{If: []platform.Condition{atVersion("a", v), atVersion("b", 0)}, Put: []platform.Put{put("a", `3`), put("b", `3`)}}, true},
		}
		for _, tt := range tests {
			res := commit(t, s, tt.txn)
			if res.Committed != tt.ok {
				t.Errorf("%s: %+v", tt.name, res)
			}
			if !tt.ok && len(res.Mismatch) == 0 {
				t.Errorf("%s: the result does not hold the rows that differ", tt.name)
			}
		}
		row, err := s.Get(t.Context(), "t", "a")
		if err != nil || string(row.Value) != "3" || row.Version <= v {
			t.Errorf("have %+v, %v", row, err)
		}
	})
}

func TestListAndDelete(t *testing.T) {
	runContract(t, func(t *testing.T, s implementation) {
		commit(t, s, platform.Txn{Put: []platform.Put{put("x/2", `2`), put("x/1", `1`), put("y/1", `3`)}})
		rows, err := s.List(t.Context(), "t", "x/")
		if err != nil || len(rows) != 2 || rows[0].Key != "x/1" {
			t.Fatalf("have %+v, %v", rows, err)
		}
		commit(t, s, platform.Txn{Delete: []platform.Delete{{Table: "t", Key: "x/1"}, {Table: "t", Key: "none"}}})
		if rows, _ := s.List(t.Context(), "t", "x/"); len(rows) != 1 {
			t.Errorf("have %+v", rows)
		}
		if row, err := s.Get(t.Context(), "t", "x/1"); err != nil || row.Version != 0 {
			t.Errorf("deleted row: %+v, %v", row, err)
		}
	})
}

func TestObjects(t *testing.T) {
	runContract(t, func(t *testing.T, s implementation) {
		if err := s.PutObject(t.Context(), "o.1", []byte("data")); err != nil {
			t.Fatal(err)
		}
		if data, err := s.GetObject(t.Context(), "o.1"); err != nil || string(data) != "data" {
			t.Errorf("have %q, %v", data, err)
		}
		if err := s.DeleteObject(t.Context(), "o.1"); err != nil {
			t.Fatal(err)
		}
		_, err := s.GetObject(t.Context(), "o.1")
		var pe *platform.Error
		if !errors.As(err, &pe) || pe.Kind != platform.KindNotFound {
			t.Errorf("object that does not exist: %v", err)
		}
	})
}

func TestHosts(t *testing.T) {
	runContract(t, func(t *testing.T, s implementation) {
		s.setHost(platform.Host{ID: "w1", DataCentre: "a", Rack: "r", State: platform.HostLeaving})
		s.setHost(platform.Host{ID: "w2", DataCentre: "b"})
		hosts, err := s.Hosts(t.Context(), "a")
		if err != nil || len(hosts) != 1 || hosts[0].State != platform.HostLeaving {
			t.Errorf("have %+v, %v", hosts, err)
		}
	})
}

// TestFaults checks whether a write took effect after a call that failed by each fault. A lost
// reply must leave the write in place, since callers must cope with that case.
func TestFaults(t *testing.T) {
	tests := []struct {
		name       string
		faults     standin.Faults
		tookEffect bool
	}{
		{"down", standin.Faults{Down: true}, false},
		{"write dropped", standin.Faults{DropCommits: 1}, false},
		{"reply lost", standin.Faults{LoseReplies: 1}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runContract(t, func(t *testing.T, s implementation) {
				s.setFaults(tt.faults)
				if _, err := s.Commit(t.Context(), platform.Txn{Put: []platform.Put{put("f", `1`)}}); err == nil {
					t.Error("the call succeeded despite the fault")
				}
				s.setFaults(standin.Faults{})
				row, err := s.Get(t.Context(), "t", "f")
				if err != nil || (row.Version != 0) != tt.tookEffect {
					t.Errorf("have %+v, %v; want the write to have taken effect: %t", row, err, tt.tookEffect)
				}
			})
		})
	}
}
