// SPDX-License-Identifier: Apache-2.0

package forecast_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"switchbank.example/switchbank/internal/forecast"
)

func encode(t *testing.T, s *forecast.Summary) json.RawMessage {
	t.Helper()
	data, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against summaries that use up the links between nodes, which ask for them several times a
// second.
func TestSizeOfSummary(t *testing.T) {
	s := &forecast.Summary{Version: forecast.SummaryVersion, Epoch: 1234, CapacityMilli: 5_600_000, FreeMilli: 1_234_567}
	for i := range forecast.MaxLanes {
		l := forecast.Lane{
			Priority: i, Running: 12_345_678, NotReady: 12_345_678, LatestMS: 34_567, DueMS: 23_456, ArrivalMilli: 1_234_567,
		}
		for range len(forecast.DueBounds) + 1 {
			l.Waiting = append(l.Waiting, 123_456_789)
		}
		s.Lanes = append(s.Lanes, l)
	}
	for i := range forecast.MaxQueues {
		s.Queues = append(s.Queues, forecast.QueueStats{
			Queue: fmt.Sprintf("r-%d", i), Ratio: 1.23, Approved: 0.56, StartDelayMS: 1234, Bias: 1.12, Low: 0.87, ErrorP50: 0.12, ErrorP90: 0.45,
		})
	}
	data := encode(t, s)
	got, err := forecast.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes with %d priorities and %d queues", len(data), len(got.Lanes), len(got.Queues))
	if len(data) > forecast.MaxEncoded || len(got.Lanes) != forecast.MaxLanes || len(got.Queues) != forecast.MaxQueues {
		t.Errorf("%d bytes with %d priorities and %d queues, want all of them in %d bytes", len(data), len(got.Lanes), len(got.Queues), forecast.MaxEncoded)
	}
	// Names that are too long leave less room, and never more bytes.
	for i := range s.Queues {
		s.Queues[i].Queue = strings.Repeat("q", 250)
	}
	if data := encode(t, s); len(data) > forecast.MaxEncoded {
		t.Errorf("long names: %d bytes, want %d at most", len(data), forecast.MaxEncoded)
	}
}

// Guards against a node that decides by a summary of another version, or by absurd figures, and
// against one that floods its log with them.
func TestInvalidIsDiscarded(t *testing.T) {
	var r forecast.Received
	now := time.Unix(1_000, 0)
	if _, err := r.Receive(now, "n1", "svc/0", encode(t, validSummary())); err != nil {
		t.Fatal(err)
	}
	absurd := validSummary()
	absurd.CapacityMilli = 0
	invalid := map[string]json.RawMessage{
		"unknown version":                       json.RawMessage(`{"v":2,"epoch":"another type"}`),
		"not a summary":                         json.RawMessage(`[1]`),
		"a number beyond the range of its type": json.RawMessage(`{"v":1,"capacity":1e400}`),
		"no capacity":                           encode(t, absurd),
	}
	reports := 0
	for name, data := range invalid {
		report, err := r.Receive(now, "n1", "svc/0", data)
		var e *forecast.Error
		if !errors.As(err, &e) {
			t.Errorf("%s: error %v, want one of this package", name, err)
		}
		if report {
			reports++
		}
	}
	if reports != 1 {
		t.Errorf("%d reports of one owner in a minute, want 1", reports)
	}
	if report, _ := r.Receive(now, "n2", "svc/1", invalid["no capacity"]); !report {
		t.Error("no report of another owner")
	}
	if report, _ := r.Receive(now.Add(time.Minute), "n1", "svc/0", invalid["no capacity"]); !report {
		t.Error("no report a minute later")
	}
	if s, age := r.Latest(now.Add(time.Second), "svc/0", 0); s == nil || s.Epoch != 3 || age != time.Second {
		t.Errorf("the valid summary is %+v of %v ago", s, age)
	}
	if s, _ := r.Latest(now, "svc/1", 0); s != nil {
		t.Errorf("a shard without a valid summary: %+v", s)
	}
}

// Guards against a decision by the summary of an owner that was replaced: it may go on for some
// seconds without knowing.
func TestEarlierEpochIsIgnored(t *testing.T) {
	var r forecast.Received
	now := time.Unix(1_000, 0)
	receive := func(epoch, capacity int64) {
		s := validSummary()
		s.Epoch, s.CapacityMilli = epoch, capacity
		if _, err := r.Receive(now, "n", "svc/0", encode(t, s)); err != nil {
			t.Fatal(err)
		}
	}
	receive(3, 1)
	receive(2, 2)
	if s, _ := r.Latest(now, "svc/0", 3); s == nil || s.CapacityMilli != 1 {
		t.Errorf("after one of an earlier epoch: %+v, want the one of epoch 3", s)
	}
	if s, _ := r.Latest(now, "svc/0", 4); s != nil {
		t.Errorf("the shard has an owner of epoch 4: %+v, want none", s)
	}
	receive(4, 4)
	if s, _ := r.Latest(now, "svc/0", 4); s == nil || s.CapacityMilli != 4 {
		t.Errorf("after one of epoch 4: %+v", s)
	}
	// The same epoch: the latest counts, although the shard has shrunk.
	receive(4, 1)
	if s, age := r.Latest(now.Add(3*time.Second), "svc/0", 4); s == nil || s.CapacityMilli != 1 || s.Estimate(job(2), age).Known {
		t.Errorf("3 s after the last one: %+v, %v, want it to be too old", s, age)
	}
}

// FuzzDecode checks that no message of a peer makes a forecast panic, negative or not ordered.
func FuzzDecode(f *testing.F) {
	data, err := validSummary().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(data), 2, int64(10_000))
	f.Add([]byte(`{"v":1,"epoch":1,"capacity":1}`), 0, int64(0))
	f.Fuzz(func(t *testing.T, data []byte, priority int, dueMS int64) {
		s, err := forecast.Decode(data)
		if err != nil {
			return
		}
		j := job(priority)
		j.Due = time.Duration(dueMS%1e9) * time.Millisecond
		if e := s.Estimate(j, time.Second); !e.Known || e.Start < 0 || e.End < e.Start || e.EndLow < 0 || e.EndLow > e.End {
			t.Errorf("%s: %+v", data, e)
		}
	})
}
