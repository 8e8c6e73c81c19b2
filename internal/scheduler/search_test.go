// SPDX-License-Identifier: Apache-2.0

package scheduler_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/resource"
	"switchbank.example/switchbank/internal/scheduler"
)

var errNoAdvice = errors.New("no advice")

const (
	// runsWhenFull is runsAgain where the workers are full of work that is less urgent.
	runsWhenFull = 12 * time.Second
	// manyPlays are played with MODEL=full, and fewPlays by default.
	manyPlays = 40_000
	// calmTime is how long nothing fails but tasks that last, by themselves; then they
	// don't either.
	calmTime = 25 * time.Second
	// finishTime is by when all that workers could run has ended once nothing fails, beside
	// twice the time that it takes one job after the other.
	finishTime = 30 * time.Second
	// mostBacklog is up to which backlog more jobs are handed in.
	mostBacklog = 8 * time.Second
	// clearTime is by when no worker is set aside any more once sound tasks run on each.
	clearTime = 40 * time.Second
)

// play is a seeded play of a shard with workers and jobs to which things happen.
type play struct {
	*rig
	seed  uint64
	rng   *rand.Rand
	began time.Time
	// calmFrom and finalFrom are when the calm times begin: that in which only tasks that
	// last fail, and that in which nothing does.
	calmFrom, finalFrom time.Time
	// nobodyUntil is until when the shard has no owner, and takeoverAt when it loses its first one.
	nobodyUntil, takeoverAt time.Time

	joined, racks int
	cores         int64
	// troubles are what befalls workers, troubled how likely it is in a tick, and
	// rejecting how likely a start or a call goes wrong.
	troubles            []trouble
	troubled, rejecting float64
	busyness            float64

	machines map[string]*machine
	jobs     []*playJob
	byID     map[string]*playJob
	rows     map[string]scheduler.Record
	calls    []call
	runs     map[playKey]*playRun
	// where is the worker on which each task runs.
	where map[cluster.TaskID]string
	// roomFrom is since when a task that lasts is away and has room, and fullFrom since
	// when it would have if others made way.
	roomFrom, fullFrom map[cluster.TaskID]time.Time

	// lives draws which workers start again under their IDs; nil: none does.
	lives *rand.Rand

	wrong string
	story *bytes.Buffer
}

// TestSearchTasksStart searches, in plays drawn by their seeds, for tasks whose turn has
// come and that don't start though there is room. Workers fail what they start, let nothing
// come on, crawl, are silent, drain or die; starts and advice are rejected; the owner is
// replaced. Then comes a calm time in which only tasks that last fail, by themselves.
//
// Where only workers that were set aside came back, 56 of the first 3000 plays failed, and
// 257 of the first 400 where they didn't. A place that came free went to the first of the
// step's waiting tasks by its number, so that the last ones stayed away (seed 138):
//
//	34.9 run ended task=j3.0.0.1 worker=w3 outcome=failed
//	35.6 run ended task=j3.0.0.0 worker=w1 outcome=failed
//	36.6 starting run task=j3.0.0.0 worker=w3
//	39.9 starting run task=j3.0.0.0 worker=w0
//	41.0 j3.0.0.1 has been away for 6.1s
//
// And while a step asked for advice no room was set aside for it; where room was, none was
// made by stopping less urgent work for up to 4 s, which is longer than tickets hold
// (91, once tasks of a step go by how long they have waited).
//
// SEARCH_SEED=n plays one seed and prints its story, SEARCH_PLAYS=n the first n of them,
// and MODEL=full many.
func TestSearchTasksStart(t *testing.T) {
	if one := os.Getenv("SEARCH_SEED"); one != "" {
		seed, err := strconv.ParseUint(one, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		wrong, story := playSeed(t, seed, true)
		t.Logf("%s\nseed %d: %s", story, seed, wrong)
		if wrong != "" {
			t.Fail()
		}
		return
	}
	plays := fewPlays
	if n, err := strconv.Atoi(os.Getenv("SEARCH_PLAYS")); err == nil {
		plays = n
	} else if os.Getenv("MODEL") == "full" {
		plays = manyPlays
	}
	failed := 0
	const mostShown = 20
	for seed, wrong := range playAll(t, plays) {
		if wrong == "" {
			continue
		}
		if failed++; failed <= mostShown {
			t.Errorf("SEARCH_SEED=%d: %s", seed, wrong)
		}
		if failed == 1 {
			_, story := playSeed(t, uint64(seed), true)
			t.Log(lastLines(story))
		}
	}
	t.Logf("%d of %d plays failed", failed, plays)
}

// TestSearchSeedsThatFailed plays the seeds again that failed once, each by a task that
// lasts and was away for over 6 s beside room for it.
func TestSearchSeedsThatFailed(t *testing.T) {
	for seed, cause := range map[uint64]string{
		138: "a place that came free went to the first of the waiting tasks by its number",
		91:  "no room was set aside while the step asked for advice",
		667: "a step that found no room was not looked at for half a second, and a gang took what came free",
		878: "as 667",
		// Not traced to its end; it passes since room is looked for in each round.
		24019: "twelve tasks share six workers, and places stay empty while advice is asked anew",
	} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			if wrong, story := playSeed(t, seed, true); wrong != "" {
				t.Errorf("%s\n%s; last time: %s", lastLines(story), wrong, cause)
			}
		})
	}
}

// playAll plays as many seeds, and returns what was wrong with each.
func playAll(t *testing.T, plays int) []string {
	wrong := make([]string, plays)
	var wg sync.WaitGroup
	var next atomic.Int64
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for n := int(next.Add(1)) - 1; n < plays; n = int(next.Add(1)) - 1 {
				wrong[n], _ = playSeed(t, uint64(n), false)
			}
		})
	}
	wg.Wait()
	return wrong
}

// lastLines returns the end of a story.
func lastLines(story string) string {
	const most = 60
	lines := strings.Split(story, "\n")
	return strings.Join(lines[max(0, len(lines)-most):], "\n")
}

// playSeed plays a seed, and returns what was wrong, or "", and its story if it is told.
func playSeed(t *testing.T, seed uint64, told bool) (wrong, story string) {
	return newPlay(t, seed, told).playOut()
}

// playOut plays to the end.
func (p *play) playOut() (wrong, story string) {
	for p.wrong == "" && !p.final() {
		p.next()
	}
	for bound := p.finishBound(); p.wrong == "" && p.openJob() != nil; {
		if p.now.Sub(p.finalFrom) > bound {
			p.fail("%s", p.describe(p.openJob()))
		}
		p.next()
	}
	p.clearAll()
	if p.story != nil {
		story = p.story.String()
	}
	return p.wrong, story
}

// newPlay draws a play.
func newPlay(t *testing.T, seed uint64, told bool) *play {
	p := &play{
		rig:  &rig{t: t, now: time.Unix(1_000, 0), workers: make(map[string]*fake), lasts: make(map[string]bool), log: zap.NewNop()},
		seed: seed, rng: rand.New(rand.NewPCG(seed, 0)), //nolint:gosec // Each play must repeat.
		machines: make(map[string]*machine), byID: make(map[string]*playJob), rows: make(map[string]scheduler.Record),
		runs: make(map[playKey]*playRun), where: make(map[cluster.TaskID]string),
		roomFrom: make(map[cluster.TaskID]time.Time), fullFrom: make(map[cluster.TaskID]time.Time),
	}
	p.began = p.now
	if told {
		p.story = &bytes.Buffer{}
		enc := zapcore.EncoderConfig{MessageKey: "m", LevelKey: "l", EncodeLevel: zapcore.LowercaseLevelEncoder, EncodeDuration: zapcore.StringDurationEncoder}
		p.log = zap.New(zapcore.NewCore(zapcore.NewConsoleEncoder(enc), zapcore.AddSync(storyWriter{p}), zapcore.InfoLevel))
	}
	p.calmFrom = p.now.Add(p.between(8*time.Second, 25*time.Second))
	p.finalFrom = p.calmFrom.Add(calmTime)
	if p.chance(0.3) {
		p.takeoverAt = p.now.Add(p.between(3*time.Second, p.calmFrom.Sub(p.now)))
	}
	p.racks, p.cores = 1+p.rng.IntN(4), []int64{4000, 8000}[p.rng.IntN(2)]
	for k := failsAll; k < numberTroubles; k++ {
		if p.chance(0.4) {
			p.troubles = append(p.troubles, k)
		}
	}
	if len(p.troubles) == 0 {
		p.troubles = []trouble{failsAll}
	}
	p.troubled, p.rejecting, p.busyness = 0.05*p.rng.Float64(), 0.05*p.rng.Float64(), 0.3*p.rng.Float64()
	p.takeOver()
	for range 1 + p.rng.IntN(12) {
		p.join()
	}
	p.drawLasting()
	return p
}

// storyWriter puts the shard's log into a play's story, with the time.
type storyWriter struct{ p *play }

func (w storyWriter) Write(line []byte) (int, error) {
	w.p.tellStory("  %s", strings.TrimSpace(string(line)))
	return len(line), nil
}

// tellStory notes what happens in a play.
func (p *play) tellStory(format string, args ...any) {
	if p.story != nil {
		fmt.Fprintf(p.story, "%6.1f %s\n", p.now.Sub(p.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// fail notes what is wrong first.
func (p *play) fail(format string, args ...any) {
	if p.wrong == "" {
		p.wrong = fmt.Sprintf("at %.1f s (calm from %.1f s): ", p.now.Sub(p.began).Seconds(), p.calmFrom.Sub(p.began).Seconds()) + fmt.Sprintf(format, args...)
		p.tellStory("WRONG: %s", p.wrong)
	}
}

func (p *play) calm() bool  { return !p.now.Before(p.calmFrom) }
func (p *play) final() bool { return !p.now.Before(p.finalFrom) }

// owned reports whether the shard has an owner.
func (p *play) owned() bool { return !p.now.Before(p.nobodyUntil) }

// next plays a tick.
func (p *play) next() {
	wasOwned := p.owned()
	p.now = p.now.Add(tick)
	if !wasOwned && p.owned() {
		p.succeedOwner()
	}
	if !p.takeoverAt.IsZero() && p.now.After(p.takeoverAt) {
		p.takeoverAt = time.Time{}
		p.nobodyUntil = p.now.Add(p.between(tick, 4*time.Second))
		if p.nobodyUntil.After(p.calmFrom) {
			p.calmFrom, p.finalFrom = p.nobodyUntil, p.nobodyUntil.Add(calmTime)
		}
		p.calls = nil
		p.tellStory("the owner is gone")
	}
	p.befall()
	p.startAgain()
	p.arrive()
	p.workOn()
	if p.owned() {
		p.decide()
	}
	if p.calm() {
		p.checkLasting()
	}
}

// decide lets the owner take a round of decisions.
func (p *play) decide() {
	p.answerCalls()
	p.report()
	p.carryOut(p.shard.Schedule(p.now))
	p.persist(p.rows)
	p.noteEnds()
}

// succeedOwner begins with another owner, which reads the jobs and what was persisted of them.
func (p *play) succeedOwner() {
	p.tellStory("another owner begins")
	p.takeOver()
	for _, id := range p.names() {
		p.tell(id)
	}
	for _, j := range p.jobs {
		if !j.taken {
			continue
		}
		var progress *scheduler.Progress
		if row, ok := p.rows[j.spec.ID]; ok {
			var err error
			if progress, err = scheduler.ParseProgress(row.Value, 1); err != nil {
				p.t.Fatal(err)
			}
		}
		p.shard.AddJob(p.now, j.spec, progress, true)
	}
}

// arrive hands jobs in, and those that came while there was no owner.
func (p *play) arrive() {
	if !p.final() && p.now.Sub(p.calmFrom) < calmTime*2/3 && p.chance(p.busyness) && p.backlog() < mostBacklog {
		p.drawBatch()
	}
	if !p.owned() {
		return
	}
	for _, j := range p.jobs {
		if !j.taken {
			j.taken = true
			p.shard.AddJob(p.now, j.spec, nil, false)
		}
	}
}

// add notes a job that is handed in.
func (p *play) add(j *playJob) {
	j.spec.ID = fmt.Sprintf("j%d", len(p.jobs))
	j.spec.Queue, j.spec.Service, j.spec.Epoch = fmt.Sprintf("q%d", p.rng.IntN(3)), "svc", p.epoch
	j.spec.AcceptedMS = p.now.UnixMilli()
	if p.chance(0.5) {
		j.share = 0.35 + 0.65*p.rng.Float64()
		j.spec.Policy.Advice = &cluster.AdviceCost{BaseMS: 100 + p.rng.Float64()*800, PerWorkerMS: 5 * p.rng.Float64(), ValidMS: 1500 + p.rng.Int64N(3000)}
	}
	p.jobs = append(p.jobs, j)
	p.byID[j.spec.ID] = j
	st := j.step()
	p.tellStory("%s comes: %+v, takes %s, share %.2f, fails %t", j.spec.ID, *st, j.takes, j.share, j.fails)
}

// drawLasting hands in the jobs whose tasks last; together they take up to 45% of the room.
func (p *play) drawLasting() {
	room := int64(len(p.workers)) * p.cores * 45 / 100
	for range 1 + p.rng.IntN(5) {
		cpu := 250 * (1 + p.rng.Int64N(6))
		n := int64(1 + p.rng.IntN(max(1, len(p.workers))))
		if room -= n * cpu; room < 0 {
			return
		}
		st := cluster.Step{Count: int(n), Need: resource.Amount{CPUMilli: cpu, MemoryMB: 100}, LongRunning: true}
		if p.chance(0.6) {
			st.MaxPerWorker = 1 + p.rng.IntN(2)
		}
		p.add(&playJob{spec: cluster.Job{Policy: cluster.Policy{Priority: p.rng.IntN(3), MaxAttempts: 2, Stretch: 2}, Steps: []cluster.Step{st}}, fails: p.chance(0.7)})
	}
}

// drawBatch hands in a job that ends, some of them gangs.
func (p *play) drawBatch() {
	n := 1 + p.rng.IntN(2*len(p.workers)+1)
	st := cluster.Step{Count: n, Need: resource.Amount{CPUMilli: min(250*(1+p.rng.Int64N(16)), p.cores), MemoryMB: 100}}
	takes := p.between(200*time.Millisecond, 6*time.Second)
	st.EstimateMS = int64(float64(takes.Milliseconds()) * (0.5 + p.rng.Float64()))
	if p.chance(0.25) {
		st.Gang, st.OneRack = true, p.chance(0.3)
	}
	if p.chance(0.2) {
		st.MaxPerWorker = 1 + p.rng.IntN(3)
	}
	p.add(&playJob{
		spec:  cluster.Job{Policy: cluster.Policy{Priority: p.rng.IntN(3), MaxAttempts: 2 + p.rng.IntN(3), Stretch: 1.5 + p.rng.Float64(), TargetMS: 1000}, Steps: []cluster.Step{st}},
		takes: takes, fails: p.chance(0.05),
	})
}

// checkLasting checks that tasks that last and are away run again in time.
func (p *play) checkLasting() {
	for _, j := range p.jobs {
		if !j.step().LongRunning {
			continue
		}
		for x := range j.step().Count {
			task := cluster.TaskID{Job: j.spec.ID, Index: x}
			twice := p.awayWith(p.roomFrom, task, j, 2)
			once := p.awayWith(p.fullFrom, task, j, 1)
			if p.now.Sub(p.calmFrom) < testLease {
				continue
			}
			if twice > runsAgain {
				p.fail("%v has been away for %s with room for it twice over beside what lasts", task, twice)
			}
			if once > runsWhenFull {
				p.fail("%v has been away for %s with room for it beside what lasts", task, once)
			}
		}
	}
}

// awayWith returns for how long a task has been away while there was room for it so often
// on a worker beside what lasts.
func (p *play) awayWith(from map[cluster.TaskID]time.Time, task cluster.TaskID, j *playJob, times int64) time.Duration {
	_, runs := p.where[task]
	if runs || !p.hasRoom(j, times) {
		delete(from, task)
		return 0
	}
	if _, ok := from[task]; !ok {
		from[task] = p.now
	}
	return p.now.Sub(from[task])
}

// hasRoom reports whether some worker that a job may use has room for a task of it so often
// beside what lasts.
func (p *play) hasRoom(j *playJob, times int64) bool {
	return slices.ContainsFunc(p.names(), func(id string) bool { return p.fits(id, j, true) >= times })
}

// fits returns how many tasks of a job a worker that it may use would hold.
func (p *play) fits(id string, j *playJob, spread bool) int64 {
	m, st := p.machines[id], j.step()
	if m.trouble != healthy || !m.leaves.IsZero() || !p.allows(j, id) {
		return 0
	}
	free := m.info.Capacity.Sub(p.used(id, true))
	n := min(free.CPUMilli/st.Need.CPUMilli, free.MemoryMB/max(1, st.Need.MemoryMB))
	if !spread || st.MaxPerWorker == 0 {
		return n
	}
	has := 0
	for _, e := range p.workers[id].running {
		if e.Task.Job == j.spec.ID {
			has++
		}
	}
	if has >= st.MaxPerWorker {
		return 0
	}
	return n
}

// openJob returns a job that has not ended though the workers could run it, or nil.
func (p *play) openJob() *playJob {
	for _, j := range p.jobs {
		if !j.step().LongRunning && !j.ended && p.couldRun(j) {
			return j
		}
	}
	return nil
}

// finishBound returns by when what is open ends at the latest.
func (p *play) finishBound() time.Duration {
	sum := finishTime
	for _, j := range p.jobs {
		if room := p.room(j); !j.step().LongRunning && !j.ended && p.couldRun(j) {
			waves := 1 + (int64(j.step().Count)-1)/room
			sum += 2 * time.Duration(waves*int64(j.spec.Policy.MaxAttempts)) * j.takes
		}
	}
	return sum
}

// backlog returns for how long what is open would keep all workers busy.
func (p *play) backlog() time.Duration {
	sum := time.Duration(0)
	for _, j := range p.jobs {
		if st := j.step(); !st.LongRunning && !j.ended {
			sum += time.Duration(int64(st.Count)*st.Need.CPUMilli) * j.takes
		}
	}
	return sum / time.Duration(int64(len(p.workers))*p.cores)
}

// noteEnds notes which jobs have ended, and that none was lost.
func (p *play) noteEnds() {
	for _, j := range p.jobs {
		if j.ended || !j.taken {
			continue
		}
		state, ok := p.shard.Job(j.spec.ID)
		if j.ended = state.Finished(); !ok || (j.ended && j.step().LongRunning) {
			p.fail("%s is %q (known: %t)", j.spec.ID, state, ok)
		}
	}
}

// couldRun reports whether the workers could run a job if only what lasts were there.
func (p *play) couldRun(j *playJob) bool {
	if st := j.step(); st.Gang {
		return p.room(j) >= int64(st.Count)
	}
	return p.room(j) > 0
}

// room returns how many tasks of a job the workers hold if only what lasts is there.
func (p *play) room(j *playJob) (room int64) {
	for _, id := range p.names() {
		n := p.fits(id, j, false)
		if limit := int64(j.step().MaxPerWorker); limit > 0 {
			n = min(n, limit)
		}
		room += n
	}
	return room
}

// describe says of a job that it is open.
func (p *play) describe(j *playJob) string {
	state, ok := p.shard.Job(j.spec.ID)
	n := 0
	for task := range p.where {
		if task.Job == j.spec.ID {
			n++
		}
	}
	return fmt.Sprintf("%s is %q (known: %t), %d of %d tasks run, %+v", j.spec.ID, state, ok, n, j.step().Count, *j.step())
}

// clearAll lets sound tasks run on each worker, and checks that none is set aside any more.
func (p *play) clearAll() {
	const every = 4 * time.Second
	probe := resource.Amount{CPUMilli: 50, MemoryMB: 1}
	for end := p.now.Add(clearTime); p.wrong == "" && p.shard.Aside() > p.full(probe); {
		if p.now.After(end) {
			p.fail("%d workers are set aside, of which %d are full", p.shard.Aside(), p.full(probe))
			return
		}
		st := cluster.Step{Count: len(p.workers), Need: probe, EstimateMS: 1000, MaxPerWorker: 1}
		p.add(&playJob{spec: cluster.Job{Policy: cluster.Policy{MaxAttempts: 3, Stretch: 2}, Steps: []cluster.Step{st}}, takes: time.Second})
		p.jobs[len(p.jobs)-1].spec.Policy.Advice = nil
		for next := p.now.Add(every); p.now.Before(next); {
			p.next()
		}
	}
}

// full returns how many workers have no room for some more beside what lasts.
func (p *play) full(need resource.Amount) int {
	n := 0
	for _, id := range p.names() {
		if !p.machines[id].info.Capacity.Sub(p.used(id, true)).Fits(need) {
			n++
		}
	}
	return n
}
