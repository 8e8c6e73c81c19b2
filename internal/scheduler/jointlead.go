// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
)

// What the lead of a gang that several shards run together decides.

// GangPolls returns what the lead of gangs should ask now.
func (s *Shard) GangPolls(now time.Time) (rounds []GangPoll) {
	for _, j := range s.active {
		if !j.isJoint() || j.isGuest() || j.moving {
			continue
		}
		for st := range j.steps() {
			if st.spec.Gang && st.done < len(st.tasks) && st.ready(now) {
				rounds = append(rounds, s.gangRound(now, st))
			}
		}
	}
	return rounds
}

// gangRound returns the questions about one gang, and takes the one to its own shard.
func (s *Shard) gangRound(now time.Time, st *step) GangPoll {
	round, share := GangPoll{Step: st.id}, st.job.spec.Share
	for i := range share.Of {
		ask := GangQuery{Step: st.id, Epoch: s.p.Epoch, Run: st.gangRun, Stop: st.joint.stop, StartsInMS: st.joint.startsIn.Milliseconds()}
		if i < len(st.joint.asks) {
			ask.Members = st.joint.asks[i]
		}
		if i == 0 {
			s.takeAsk(now, st, ask)
			continue
		}
		round.Queries = append(round.Queries, ShardMessage[GangQuery]{st.job.partShard(i), ask})
	}
	return round
}

// partShard returns the shard that has the i-th part of a job that this one speaks for.
func (j *job) partShard(i int) cluster.ShardID {
	return cluster.ShardID{Service: j.spec.Service, Index: (j.spec.Shard + i) % j.spec.Share.Of}
}

// GangStatesReceived takes the answers of all other shards to a round; nil is one without an
// answer. It returns the starts that are to be ordered elsewhere; those of this shard are
// ordered already.
func (s *Shard) GangStatesReceived(now time.Time, id StepID, answers []*GangState) []ShardMessage[GangStart] {
	st := s.jointStep(id)
	if st == nil || st.done == len(st.tasks) {
		return nil
	}
	all := append([]GangState{s.gangState(now, st)}, known(answers)...)
	if s.gangEnded(now, st, all) || len(all) <= len(answers) {
		return nil
	}
	sum := sumGang(all)
	st.gangRun = max(st.gangRun, sum.run)
	st.joint.stop = sum.busy && sum.running != len(st.tasks)
	if sum.busy || !sum.settled {
		return nil
	}
	if sum.ready >= len(st.tasks) {
		return s.startGang(now, st, all)
	}
	st.joint.plan(len(st.tasks), all)
	s.noteGangWaits(now, st, all)
	return nil
}

// gangToldEvery is how often the log tells what a gang waits for.
const gangToldEvery = 2 * time.Second

// noteGangWaits tells for how many members there is room now, and soon.
func (s *Shard) noteGangWaits(now time.Time, st *step, all []GangState) {
	if now.Sub(st.joint.toldAt) < gangToldEvery {
		return
	}
	st.joint.toldAt = now
	ready, soon := make([]int, len(all)), make([]int, len(all))
	for i, g := range all {
		ready[i], soon[i] = g.Ready, g.ReadySoon
	}
	s.log.Info("gang waits for room in several shards", events.GangWaiting, zap.String("job", st.id.Job), zap.Int("step", st.id.Step),
		zap.Int("members", len(st.tasks)), zap.Ints("ready", ready), zap.Ints("soon", soon), zap.Ints("kept", st.joint.asks),
		zap.Duration("starts_in", st.joint.startsIn))
}

// known returns the answers that are there.
func known(answers []*GangState) (list []GangState) {
	for _, a := range answers {
		if a != nil {
			list = append(list, *a)
		}
	}
	return list
}

// gangEnded takes what others have seen end: a member that succeeded stands for all, and a
// run that failed counts wherever it did. It reports whether the gang has ended.
func (s *Shard) gangEnded(now time.Time, st *step, all []GangState) bool {
	for _, g := range all {
		if g.Done {
			s.log.Info("gang has succeeded in another shard", events.JointGang, zap.String("job", st.id.Job), zap.Int("step", st.id.Step))
			for _, t := range st.tasks {
				s.succeed(now, t)
			}
			return true
		}
		for _, n := range g.Failed {
			if t := st.tasks[0]; !slices.Contains(t.failed, n) {
				t.failed = append(t.failed, n)
				s.touch(st.job)
			}
		}
	}
	return s.failIfHopeless(now, st.tasks[0])
}

// gangSum is what the states of all shards come to.
type gangSum struct {
	run            int64
	running, ready int
	busy, settled  bool
}

func sumGang(all []GangState) gangSum {
	sum := gangSum{settled: true}
	for _, g := range all {
		sum.run = max(sum.run, g.Run)
		sum.busy = sum.busy || g.Busy
		sum.settled = sum.settled && g.AllKnown
		sum.ready += g.Ready
	}
	for _, g := range all {
		if g.Run == sum.run {
			sum.running += g.Running
		}
	}
	return sum
}

// plan divides a gang among the shards by the room that comes free there in time. Without
// room for all of it none is kept: work beside it would wait for nothing.
func (jt *joint) plan(members int, all []GangState) {
	soon, in := 0, int64(0)
	for _, g := range all {
		soon += g.ReadySoon
		in = max(in, g.ReadyInMS)
	}
	jt.asks = make([]int, len(all))
	jt.startsIn = time.Duration(in) * time.Millisecond
	if soon < members {
		return
	}
	left := members
	for i, g := range all {
		jt.asks[i] = min(members*g.ReadySoon/soon, left)
		left -= jt.asks[i]
	}
	for i, g := range all {
		more := min(left, g.ReadySoon-jt.asks[i])
		jt.asks[i] += more
		left -= more
	}
}

// startGang divides a gang among the shards that are ready, those that can take the most
// first, starts the members of this one and returns the starts of the others.
func (s *Shard) startGang(now time.Time, st *step, all []GangState) (starts []ShardMessage[GangStart]) {
	run, checkpoint := st.gangRun+1, ""
	order := make([]int, len(all))
	for i := range all {
		order[i] = i
		checkpoint = cmp.Or(checkpoint, all[i].Checkpoint)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(all[b].Ready, all[a].Ready) })
	next, own, ownTo := 0, 0, 0
	for _, i := range order {
		to := min(next+all[i].Ready, len(st.tasks))
		if to == next {
			continue
		}
		if i == 0 {
			own, ownTo = next, to
		} else {
			starts = append(starts, ShardMessage[GangStart]{st.job.partShard(i), GangStart{
				Step: st.id, Epoch: s.p.Epoch, OwnerEpoch: all[i].Epoch, Run: run, From: next, To: to, Checkpoint: checkpoint,
			}})
		}
		next = to
	}
	if !s.startSome(now, st, own, ownTo, run, checkpoint) {
		return nil
	}
	st.waitingSince = time.Time{}
	s.log.Info("gang starts in several shards", events.JointGang, zap.String("job", st.id.Job), zap.Int("step", st.id.Step),
		zap.Int64("run", run), zap.Int("members", len(st.tasks)), zap.Int("here", ownTo-own), zap.Int("others", len(starts)))
	return starts
}

// GangNotStarted notes that another shard has not started its members of a run, or may not have.
func (s *Shard) GangNotStarted(now time.Time, id StepID, run int64) {
	st := s.jointStep(id)
	if st == nil || st.gangRun != run {
		return
	}
	s.log.Info("gang not started by all shards", events.JointGang, zap.String("job", id.Job), zap.Int("step", id.Step), zap.Int64("run", run))
	st.joint.stop = true
	s.breakGangRun(now, st, run, "not started by all shards")
}

// SetJoint notes that all shards run the job's gangs together from now on; this one speaks for it.
func (s *Shard) SetJoint(spec cluster.Job) {
	j := s.jobs[spec.ID]
	if j == nil || !j.moving {
		return
	}
	j.spec.Share, j.spec.Moves, j.moving = spec.Share, spec.Moves, false
	s.touch(j)
}
