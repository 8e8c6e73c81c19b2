// SPDX-License-Identifier: Apache-2.0

package journal_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/journal"
	"switchbank.example/switchbank/internal/platform"
	standin "switchbank.example/switchbank/standin/platform"
)

const shardKey = "job/000"

// own makes the next owner of the shard and opens its journal.
func own(t *testing.T, p *standin.Platform, c *journal.Committer, key string) (*journal.Stream, []string) {
	t.Helper()
	row, err := p.Get(t.Context(), "shards", key)
	if err != nil {
		t.Fatal(err)
	}
	res, err := p.Commit(t.Context(), platform.Txn{
		If:  []platform.Condition{{Table: "shards", Key: key, Version: row.Version}},
		Put: []platform.Put{{Table: "shards", Key: key, Value: json.RawMessage(`{}`)}},
	})
	if err != nil || !res.Committed {
		t.Fatal(res, err)
	}
	s, rec, err := c.Open(t.Context(), key, 1, res.Versions[0])
	if err != nil {
		t.Fatal(err)
	}
	return s, texts(t, rec)
}

func texts(t *testing.T, rec journal.Recovered) []string {
	t.Helper()
	var all []string
	if rec.Snapshot != nil {
		if err := json.Unmarshal(rec.Snapshot, &all); err != nil {
			t.Fatal(err)
		}
	}
	for _, raw := range rec.Records {
		var s string
		if err := json.Unmarshal(raw, &s); err != nil {
			t.Fatal(err)
		}
		all = append(all, s)
	}
	return all
}

func record(s string) json.RawMessage {
	raw, _ := json.Marshal(s)
	return raw
}

func start(t *testing.T, p *standin.Platform) *journal.Committer {
	t.Helper()
	c := journal.New(p, p, journal.Options{MinWriteInterval: 10 * time.Millisecond, DownAfter: time.Second}, zap.NewNop())
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	t.Cleanup(func() { stop(); <-done })
	return c
}

// TestReplyLost loses the reply of a write that took effect: the records are
// kept once, in order.
func TestReplyLost(t *testing.T) {
	for name, faults := range map[string]standin.Faults{
		"reply lost": {LoseReplies: 2}, "write dropped": {DropCommits: 2}, "both": {LoseReplies: 1, DropCommits: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := standin.New()
				c := start(t, p)
				s, _ := own(t, p, c, shardKey)
				p.SetFaults(faults)
				var last *journal.Pending
				for i := range 5 {
					var err error
					if last, err = c.Append(s, record(fmt.Sprint(i))); err != nil {
						t.Fatal(err)
					}
				}
				if err := last.Wait(t.Context()); err != nil {
					t.Fatal(err)
				}
				if _, got := own(t, p, c, shardKey); fmt.Sprint(got) != "[0 1 2 3 4]" {
					t.Errorf("kept %v", got)
				}
			})
		})
	}
}

// TestFenced takes the shard away: the old owner's append fails, and another
// shard of the same write is kept.
func TestFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New()
		old, other := start(t, p), start(t, p)
		s, _ := own(t, p, old, shardKey)
		mine, _ := own(t, p, old, "job/001")
		s2, _ := own(t, p, other, shardKey)
		lost, err := old.Append(s, record("late"))
		if err != nil {
			t.Fatal(err)
		}
		kept, err := old.Append(mine, record("kept"))
		if err != nil {
			t.Fatal(err)
		}
		if err := lost.Wait(t.Context()); !journal.IsKind(err, journal.KindFenced) {
			t.Errorf("the fenced append: %v", err)
		}
		if err := kept.Wait(t.Context()); err != nil {
			t.Errorf("the other shard's append: %v", err)
		}
		if _, err := old.Append(s, record("later")); !journal.IsKind(err, journal.KindFenced) {
			t.Errorf("an append after the fence: %v", err)
		}
		own2, err := other.Append(s2, record("new"))
		if err != nil || own2.Wait(t.Context()) != nil {
			t.Error("the new owner can't append")
		}
	})
}

// TestAnswersAfterFencedBatch lets a write fail and then be fenced as a whole:
// the store answers again, so that appends of other shards must be taken.
func TestAnswersAfterFencedBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New()
		old, other := start(t, p), start(t, p)
		s, _ := own(t, p, old, shardKey)
		mine, _ := own(t, p, old, "job/001")
		p.SetFaults(standin.Faults{Down: true})
		lost, err := old.Append(s, record("late"))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if !old.Down() {
			t.Fatal("the outage is not seen")
		}
		if _, err := old.Append(mine, record("x")); !journal.IsKind(err, journal.KindUnavailable) {
			t.Errorf("an append in the outage: %v", err)
		}
		p.SetFaults(standin.Faults{})
		own(t, p, other, shardKey)
		if err := lost.Wait(t.Context()); !journal.IsKind(err, journal.KindFenced) {
			t.Errorf("the fenced append: %v", err)
		}
		kept, err := old.Append(mine, record("y"))
		if err != nil {
			t.Fatalf("an append after the outage: %v", err)
		}
		if err := kept.Wait(t.Context()); err != nil {
			t.Error(err)
		}
	})
}

// TestSnapshotHoldsWhatWasAppended stores a snapshot while appends go on, which
// may share a batch with its last record.
func TestSnapshotHoldsWhatWasAppended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New()
		c := start(t, p)
		s, _ := own(t, p, c, shardKey)
		var state []string
		var last *journal.Pending
		add := func(n int) {
			for range n {
				r := fmt.Sprint(len(state))
				state = append(state, r)
				var err error
				if last, err = c.Append(s, record(r)); err != nil {
					t.Fatal(err)
				}
			}
		}
		for round := range 4 {
			add(3)
			data, _ := json.Marshal(state)
			at := last
			add(2)
			if round%2 == 1 {
				p.SetFaults(standin.Faults{LoseReplies: 1})
			}
			// A snapshot that fails leaves the journal as it was.
			_ = c.Snapshot(t.Context(), s, data, at)
			p.SetFaults(standin.Faults{})
			if err := last.Wait(t.Context()); err != nil {
				t.Fatal(err)
			}
			if got := peek(t, p, c); fmt.Sprint(got) != fmt.Sprint(state) {
				t.Fatalf("round %d: kept %v, want %v", round, got, state)
			}
		}
		if rows, _ := p.List(t.Context(), journal.TableJournal, shardKey); len(rows) > 6 {
			t.Errorf("%d batches are left after snapshots", len(rows))
		}
	})
}

// peek reads the journal as a new owner would, without taking the shard.
func peek(t *testing.T, p *standin.Platform, c *journal.Committer) []string {
	t.Helper()
	row, _ := p.Get(t.Context(), "shards", shardKey)
	_, rec, err := c.Open(t.Context(), shardKey, 1, row.Version)
	if err != nil {
		t.Fatal(err)
	}
	return texts(t, rec)
}

// TestRandomFaults appends under random faults and takeovers: what was told to
// be kept is kept once and in order, by whichever owner.
func TestRandomFaults(t *testing.T) {
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(3))
	props.Property("kept means kept", prop.ForAll(func(ops []int) bool {
		ok := true
		synctest.Test(t, func(t *testing.T) { ok = runOps(t, ops) })
		return ok
	}, gen.SliceOfN(30, gen.IntRange(0, 9))))
	props.TestingRun(t)
}

func runOps(t *testing.T, ops []int) bool {
	p := standin.New()
	cs := []*journal.Committer{start(t, p), start(t, p)}
	owner := 0
	s, _ := own(t, p, cs[owner], shardKey)
	var pending []*journal.Pending
	var names []string
	for i, op := range ops {
		switch op {
		case 0:
			p.SetFaults(standin.Faults{LoseReplies: 1})
		case 1:
			p.SetFaults(standin.Faults{DropCommits: 1})
		case 2:
			p.SetFaults(standin.Faults{})
			owner = 1 - owner
			s, _ = own(t, p, cs[owner], shardKey)
		case 3:
			time.Sleep(20 * time.Millisecond)
		default:
			name := fmt.Sprint(i)
			if ap, err := cs[owner].Append(s, record(name)); err == nil {
				pending, names = append(pending, ap), append(names, name)
			}
		}
	}
	p.SetFaults(standin.Faults{})
	time.Sleep(10 * time.Second)
	got := peek(t, p, cs[owner])
	at := 0
	for i, ap := range pending {
		select {
		case <-ap.Done():
		default:
			t.Logf("%s has no end", names[i])
			return false
		}
		if ap.Err() != nil {
			continue
		}
		for at < len(got) && got[at] != names[i] {
			at++
		}
		if at == len(got) {
			t.Logf("%s was told to be kept; the journal holds %v", names[i], got)
			return false
		}
		at++
	}
	seen := make(map[string]bool)
	for _, g := range got {
		if seen[g] {
			t.Logf("%s is kept twice: %v", g, got)
			return false
		}
		seen[g] = true
	}
	return true
}

func BenchmarkAppend(b *testing.B) {
	p := standin.New()
	ctx, stop := context.WithCancel(b.Context())
	defer stop()
	c := journal.New(p, p, journal.Options{MinWriteInterval: time.Millisecond, DownAfter: time.Second}, zap.NewNop())
	go func() { _ = c.Run(ctx) }()
	res, err := p.Commit(ctx, platform.Txn{Put: []platform.Put{{Table: "shards", Key: shardKey, Value: json.RawMessage(`{}`)}}})
	if err != nil {
		b.Fatal(err)
	}
	s, _, err := c.Open(ctx, shardKey, 1, res.Versions[0])
	if err != nil {
		b.Fatal(err)
	}
	r := record("a record of about the size that a placement has, which is some two hundred bytes of JSON; this one is shorter")
	const perWait = 1000
	b.ReportAllocs()
	for b.Loop() {
		var last *journal.Pending
		for range perWait {
			if last, err = c.Append(s, r); err != nil {
				b.Fatal(err)
			}
		}
		if err := last.Wait(ctx); err != nil {
			b.Fatal(err)
		}
	}
	n := c.Counts()
	b.ReportMetric(float64(n.Records)/float64(n.Writes), "records/write")
}

func FuzzReplay(f *testing.F) {
	f.Add([]byte(`{"epoch":1,"token":"x","records":["a"]}`), []byte(`{"next":1,"skip":1,"object":"o"}`))
	f.Fuzz(func(t *testing.T, batch, snapshot []byte) {
		if !json.Valid(batch) || !json.Valid(snapshot) {
			return
		}
		p := standin.New()
		c := journal.New(p, p, journal.Options{}, zap.NewNop())
		_, err := p.Commit(t.Context(), platform.Txn{Put: []platform.Put{
			{Table: journal.TableJournal, Key: shardKey + "/000000000001", Value: batch},
			{Table: journal.TableSnapshots, Key: shardKey, Value: snapshot},
		}})
		if err != nil {
			t.Fatal(err)
		}
		_ = p.PutObject(t.Context(), "o", []byte("{}"))
		_, _, _ = c.Open(t.Context(), shardKey, 1, 1)
	})
}
