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

// takeShard makes c's node the new owner of a shard, as a takeover does, and opens its
// journal. It returns the records found there.
func takeShard(t *testing.T, p *standin.Platform, c *journal.Committer, key string) (*journal.Stream, []string) {
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
	return s, recordTexts(t, rec)
}

// recordTexts returns the recovered state: that of the snapshot and the records after it.
func recordTexts(t *testing.T, rec journal.Recovered) []string {
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

// startCommitter runs a Committer until the test ends.
func startCommitter(t *testing.T, p *standin.Platform) *journal.Committer {
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

// TestReplyLost checks that records are stored once and in order when the reply to a write
// is lost or the write itself is dropped.
func TestReplyLost(t *testing.T) {
	for name, faults := range map[string]standin.Faults{
		"reply lost": {LoseReplies: 2}, "write dropped": {DropCommits: 2}, "both": {LoseReplies: 1, DropCommits: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := standin.New()
				c := startCommitter(t, p)
				s, _ := takeShard(t, p, c, shardKey)
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
				if _, got := takeShard(t, p, c, shardKey); fmt.Sprint(got) != "[0 1 2 3 4]" {
					t.Errorf("journal holds %v, want [0 1 2 3 4]", got)
				}
			})
		})
	}
}

// TestFenced checks that after a takeover the old owner's append fails, while an append of
// another shard in the same write succeeds.
func TestFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New()
		old, other := startCommitter(t, p), startCommitter(t, p)
		s, _ := takeShard(t, p, old, shardKey)
		otherStream, _ := takeShard(t, p, old, "job/001")
		newStream, _ := takeShard(t, p, other, shardKey)
		lost, err := old.Append(s, record("late"))
		if err != nil {
			t.Fatal(err)
		}
		kept, err := old.Append(otherStream, record("kept"))
		if err != nil {
			t.Fatal(err)
		}
		if err := lost.Wait(t.Context()); !journal.IsKind(err, journal.KindFenced) {
			t.Errorf("append of the fenced shard: %v", err)
		}
		if err := kept.Wait(t.Context()); err != nil {
			t.Errorf("append of the other shard: %v", err)
		}
		if _, err := old.Append(s, record("later")); !journal.IsKind(err, journal.KindFenced) {
			t.Errorf("append after the fence: %v", err)
		}
		appended, err := other.Append(newStream, record("new"))
		if err != nil || appended.Wait(t.Context()) != nil {
			t.Error("the new owner can't append")
		}
	})
}

// TestAppendAfterOutageAndFence guards against a Committer that stays down after an outage.
// The first write that the store answers again is fenced as a whole; this answer must end
// the outage, or appends of other shards would be refused for ever.
func TestAppendAfterOutageAndFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New()
		old, other := startCommitter(t, p), startCommitter(t, p)
		s, _ := takeShard(t, p, old, shardKey)
		otherStream, _ := takeShard(t, p, old, "job/001")
		p.SetFaults(standin.Faults{Down: true})
		lost, err := old.Append(s, record("late"))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if !old.Down() {
			t.Fatal("the outage was not detected")
		}
		if _, err := old.Append(otherStream, record("x")); !journal.IsKind(err, journal.KindUnavailable) {
			t.Errorf("append during the outage: %v", err)
		}
		p.SetFaults(standin.Faults{})
		takeShard(t, p, other, shardKey)
		if err := lost.Wait(t.Context()); !journal.IsKind(err, journal.KindFenced) {
			t.Errorf("append of the fenced shard: %v", err)
		}
		kept, err := old.Append(otherStream, record("y"))
		if err != nil {
			t.Fatalf("append after the outage: %v", err)
		}
		if err := kept.Wait(t.Context()); err != nil {
			t.Error(err)
		}
	})
}

// TestSnapshotDuringAppends stores snapshots while appends continue. Later appends may
// share a batch with the last record that a snapshot covers; they must not be trimmed.
func TestSnapshotDuringAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New()
		c := startCommitter(t, p)
		s, _ := takeShard(t, p, c, shardKey)
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
			// A failed snapshot leaves the journal unchanged, so its error doesn't matter.
			_ = c.Snapshot(t.Context(), s, data, at)
			p.SetFaults(standin.Faults{})
			if err := last.Wait(t.Context()); err != nil {
				t.Fatal(err)
			}
			if got := readJournal(t, p, c); fmt.Sprint(got) != fmt.Sprint(state) {
				t.Fatalf("round %d: journal holds %v, want %v", round, got, state)
			}
		}
		if rows, _ := p.List(t.Context(), journal.TableJournal, shardKey); len(rows) > 6 {
			t.Errorf("%d batches remain after the snapshots", len(rows))
		}
	})
}

// readJournal reads the journal as a new owner would, but without a takeover.
func readJournal(t *testing.T, p *standin.Platform, c *journal.Committer) []string {
	t.Helper()
	row, _ := p.Get(t.Context(), "shards", shardKey)
	_, rec, err := c.Open(t.Context(), shardKey, 1, row.Version)
	if err != nil {
		t.Fatal(err)
	}
	return recordTexts(t, rec)
}

// TestAppendUnderRandomFaults appends under random faults and takeovers. Every record that
// was acknowledged, by either owner, must be stored once and in order.
func TestAppendUnderRandomFaults(t *testing.T) {
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(3))
	props.Property("an acknowledged record is stored once and in order", prop.ForAll(func(ops []int) bool {
		ok := true
		synctest.Test(t, func(t *testing.T) { ok = runOps(t, ops) })
		return ok
	}, gen.SliceOfN(30, gen.IntRange(0, 9))))
	props.TestingRun(t)
}

// runOps runs a sequence of appends, faults and takeovers and reports whether the journal
// holds what it must.
func runOps(t *testing.T, ops []int) bool {
	p := standin.New()
	cs := []*journal.Committer{startCommitter(t, p), startCommitter(t, p)}
	owner := 0
	s, _ := takeShard(t, p, cs[owner], shardKey)
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
			s, _ = takeShard(t, p, cs[owner], shardKey)
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
	got := readJournal(t, p, cs[owner])
	at := 0
	for i, ap := range pending {
		select {
		case <-ap.Done():
		default:
			t.Logf("append of %s neither succeeded nor failed", names[i])
			return false
		}
		if ap.Err() != nil {
			continue
		}
		for at < len(got) && got[at] != names[i] {
			at++
		}
		if at == len(got) {
			t.Logf("%s was acknowledged, but the journal holds %v", names[i], got)
			return false
		}
		at++
	}
	seen := make(map[string]bool)
	for _, g := range got {
		if seen[g] {
			t.Logf("%s is stored twice: %v", g, got)
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
