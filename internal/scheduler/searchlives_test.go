// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

const (
	// firstBorn is the start of the first lives of a play.
	firstBorn = 1_764_742_000_000
	// startsAgain is how likely a worker starts again in a tick.
	startsAgain = 0.02
	// beatWithin is by when the entry of a new life is read.
	beatWithin = 1500 * time.Millisecond
	// mostLives are the plays with MODEL=full.
	mostLives = 4000
)

// TestSearchWorkersStartAgain plays the searches of TestSearchTasksStart with workers that
// start again under their IDs, their hosts' clocks set back or ahead, before the calm time:
// whichever of entry, list and order comes first, no task runs twice, and all that has room
// runs at the end.
//
// SEARCH_SEED=n plays one seed and prints its story, MODEL=full 4,000.
func TestSearchWorkersStartAgain(t *testing.T) {
	if one := os.Getenv("SEARCH_SEED"); one != "" {
		seed, err := strconv.ParseUint(one, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		wrong, story := newLivesPlay(t, seed, true).playOut()
		if t.Logf("%s\nseed %d: %s", story, seed, wrong); wrong != "" {
			t.Fail()
		}
		return
	}
	plays := int64(fewPlays)
	if os.Getenv("MODEL") == "full" {
		plays = mostLives
	}
	var next, failed atomic.Int64
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for seed := next.Add(1) - 1; seed < plays; seed = next.Add(1) - 1 {
				if wrong, _ := newLivesPlay(t, uint64(seed), false).playOut(); wrong != "" {
					failed.Add(1)
					t.Errorf("SEARCH_SEED=%d: %s", seed, wrong)
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d of %d plays failed", failed.Load(), plays)
}

// newLivesPlay draws a play in which workers start again.
func newLivesPlay(t *testing.T, seed uint64, told bool) *play {
	p := newPlay(t, seed, told)
	p.lives = rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // Each play must repeat.
	return p
}

// startAgain lets some workers start again under their IDs.
func (p *play) startAgain() {
	if p.lives == nil {
		return
	}
	for _, id := range p.names() {
		m := p.machines[id]
		switch {
		case !m.tellAt.IsZero() && !p.now.Before(m.tellAt):
			m.tellAt = time.Time{}
			p.tell(id)
		case m.info.Started == 0:
			m.info.Started = firstBorn
			p.tell(id)
		case !p.calm() && m.leaves.IsZero() && p.lives.Float64() < startsAgain:
			p.beginLife(id)
		}
	}
}

// beginLife begins another life of a worker under its ID.
func (p *play) beginLife(id string) {
	m, f := p.machines[id], p.workers[id]
	for _, e := range f.running {
		p.ranUntil(e.Task)
	}
	*f = fake{mute: f.mute}
	m.info.Started += p.lives.Int64N(7_000) - 3_000
	m.over = make(map[cluster.TaskID]int64)
	m.deadline, m.clockFrom = 0, p.now
	p.tellStory("%s starts again, started %d", id, m.info.Started)
	if p.lives.IntN(2) == 0 {
		p.tell(id)
		return
	}
	m.tellAt = p.now.Add(time.Duration(p.lives.Float64() * float64(beatWithin)))
}
