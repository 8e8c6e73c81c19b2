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

// This file holds the decisions of the lead of a joint gang.

// GangPolls returns the queries that this shard should send now for the joint gangs that
// it leads.
func (s *Shard) GangPolls(now time.Time) (polls []GangPoll) {
	for _, j := range s.active {
		if !j.isJoint() || j.isParticipant() || j.moving {
			continue
		}
		for st := range j.steps() {
			if st.spec.Gang && st.done < st.spec.Count && st.ready(now) {
				polls = append(polls, s.gangPoll(now, st))
			}
		}
	}
	return polls
}

// gangPoll returns the queries about one gang, and applies the one to its own shard.
func (s *Shard) gangPoll(now time.Time, st *step) GangPoll {
	poll, share := GangPoll{Step: st.id}, st.job.spec.Share
	for i := range share.Of {
		q := GangQuery{Step: st.id, Epoch: s.params.Epoch, Run: st.lastGangRun, Stop: st.joint.stopRuns, StartsInMS: st.joint.startsIn.Milliseconds()}
		if i < len(st.joint.memberPlan) {
			q.Members = st.joint.memberPlan[i]
		}
		if i == 0 {
			s.applyGangQuery(now, st, q)
			continue
		}
		poll.Queries = append(poll.Queries, ShardMessage[GangQuery]{st.job.participantShard(i), q})
	}
	return poll
}

// participantShard returns the shard that has the i-th part of a job that this shard
// leads.
func (j *job) participantShard(i int) cluster.ShardID {
	return cluster.ShardID{Service: j.spec.Service, Index: (j.spec.Shard + i) % j.spec.Share.Of}
}

// GangStatesReceived processes the answers of all participants to a poll; nil is one
// without an answer. It returns the starts to send to them; the members of this shard
// have been started by then.
func (s *Shard) GangStatesReceived(now time.Time, id StepID, answers []*GangState) []ShardMessage[GangStart] {
	st := s.jointGang(id)
	if st == nil || st.done == st.spec.Count {
		return nil
	}
	all := append([]GangState{s.gangState(now, st)}, receivedStates(answers)...)
	if s.applyGangEnds(now, st, all) || len(all) <= len(answers) {
		return nil
	}
	sum := sumGangStates(all)
	st.lastGangRun = max(st.lastGangRun, sum.run)
	st.joint.stopRuns = sum.busy && sum.running != st.spec.Count
	if sum.busy || !sum.allKnown {
		return nil
	}
	if sum.ready >= st.spec.Count {
		return s.startGang(now, st, all)
	}
	st.joint.planMembers(st.spec.Count, all)
	s.logGangWaiting(now, st, all)
	return nil
}

// gangWaitLogInterval is how often the wait of a gang is logged.
const gangWaitLogInterval = 2 * time.Second

// logGangWaiting logs for how many members each shard has room now, and soon.
func (s *Shard) logGangWaiting(now time.Time, st *step, all []GangState) {
	if now.Sub(st.joint.loggedAt) < gangWaitLogInterval {
		return
	}
	st.joint.loggedAt = now
	ready, soon := make([]int, len(all)), make([]int, len(all))
	for i, g := range all {
		ready[i], soon[i] = g.Ready, g.ReadySoon
	}
	s.log.Info("gang waits for room in several shards", events.GangWaiting, zap.String("job", st.id.Job), zap.Int("step", st.id.Step),
		zap.Int("members", st.spec.Count), zap.Ints("ready", ready), zap.Ints("soon", soon), zap.Ints("kept", st.joint.memberPlan),
		zap.Duration("starts_in", st.joint.startsIn))
}

// receivedStates returns the answers that have arrived.
func receivedStates(answers []*GangState) (list []GangState) {
	for _, a := range answers {
		if a != nil {
			list = append(list, *a)
		}
	}
	return list
}

// applyGangEnds processes the ends that the shards report: the success of one member
// counts for all, and a run that failed counts wherever it did. It reports whether the
// gang has ended.
func (s *Shard) applyGangEnds(now time.Time, st *step, all []GangState) bool {
	for _, g := range all {
		if g.Done {
			s.log.Info("gang has succeeded in another shard", events.JointGang, zap.String("job", st.id.Job), zap.Int("step", st.id.Step))
			for _, t := range st.tasks {
				s.markTaskDone(now, t)
			}
			return true
		}
		for _, n := range g.Failed {
			if t := st.tasks[0]; !slices.Contains(t.failed, n) {
				t.failed = append(t.failed, n)
				s.markChanged(st.job)
			}
		}
	}
	for _, g := range all[1:] {
		s.applyCrashedRuns(now, st, g.Crashed)
	}
	return st.job.state.Finished() || s.failJobIfOutOfAttempts(now, st.tasks[0])
}

// jointCrashChance is the chance that a worker crashes by itself under a certain member of a
// joint gang, which takes most of the room of all shards and so is isolated as it is.
const jointCrashChance = 0.005

// applyCrashedRuns records crashes under members of a joint gang that ran in other shards.
func (s *Shard) applyCrashedRuns(now time.Time, st *step, crashed []CrashedRun) {
	for _, c := range crashed {
		if c.Index < 0 || c.Index >= st.spec.Count {
			continue
		}
		age := time.Duration(c.AgeMS) * time.Millisecond
		s.addCrash(now, st.tasks[c.Index], crash{run: c.Run, worker: c.Worker, age: age, chance: jointCrashChance})
	}
}

// gangTotals is the state of a gang over all shards.
type gangTotals struct {
	run            int64
	running, ready int
	busy, allKnown bool
}

// sumGangStates combines the states of a gang in all shards.
func sumGangStates(all []GangState) gangTotals {
	sum := gangTotals{allKnown: true}
	for _, g := range all {
		sum.run = max(sum.run, g.Run)
		sum.busy = sum.busy || g.Busy
		sum.allKnown = sum.allKnown && g.AllKnown
		sum.ready += g.Ready
	}
	for _, g := range all {
		if g.Run == sum.run {
			sum.running += g.Running
		}
	}
	return sum
}

// planMembers divides a gang among the shards in proportion to the room that comes free
// there in time. Unless there is room for all members, none is reserved: other work would
// wait for nothing.
func (jt *jointState) planMembers(members int, all []GangState) {
	total, longestMS := 0, int64(0)
	for _, g := range all {
		total += g.ReadySoon
		longestMS = max(longestMS, g.ReadyInMS)
	}
	jt.memberPlan = make([]int, len(all))
	jt.startsIn = time.Duration(longestMS) * time.Millisecond
	if total < members {
		return
	}
	left := members
	for i, g := range all {
		jt.memberPlan[i] = min(members*g.ReadySoon/total, left)
		left -= jt.memberPlan[i]
	}
	for i, g := range all {
		more := min(left, g.ReadySoon-jt.memberPlan[i])
		jt.memberPlan[i] += more
		left -= more
	}
}

// startGang divides a gang among the shards that have room, those with the most first,
// starts the members of this one and returns the starts of the others.
func (s *Shard) startGang(now time.Time, st *step, all []GangState) (starts []ShardMessage[GangStart]) {
	run, checkpoint := st.lastGangRun+1, ""
	order := make([]int, len(all))
	for i := range all {
		order[i] = i
		checkpoint = cmp.Or(checkpoint, all[i].Checkpoint)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(all[b].Ready, all[a].Ready) })
	next, own, ownTo := 0, 0, 0
	for _, i := range order {
		to := min(next+all[i].Ready, st.spec.Count)
		if to == next {
			continue
		}
		if i == 0 {
			own, ownTo = next, to
		} else {
			starts = append(starts, ShardMessage[GangStart]{st.job.participantShard(i), GangStart{
				Step: st.id, Epoch: s.params.Epoch, OwnerEpoch: all[i].Epoch, Run: run, From: next, To: to, Checkpoint: checkpoint,
			}})
		}
		next = to
	}
	if !s.startMembersHere(now, st, own, ownTo, run, checkpoint) {
		return nil
	}
	st.waitingSince = time.Time{}
	s.log.Info("gang starts in several shards", events.JointGang, zap.String("job", st.id.Job), zap.Int("step", st.id.Step),
		zap.Int64("run", run), zap.Int("members", st.spec.Count), zap.Int("here", ownTo-own), zap.Int("others", len(starts)))
	return starts
}

// GangNotStarted records that a participant has not started its members of a run, or may
// not have.
func (s *Shard) GangNotStarted(now time.Time, id StepID, run int64) {
	st := s.jointGang(id)
	if st == nil || st.lastGangRun != run {
		return
	}
	s.log.Info("gang not started by all shards", events.JointGang, zap.String("job", id.Job), zap.Int("step", id.Step), zap.Int64("run", run))
	st.joint.stopRuns = true
	s.stopGangRun(now, st, run, "not started by all shards")
}

// SetJoint records that all shards run the job's gangs together from now on, and that
// this shard leads the job.
func (s *Shard) SetJoint(spec cluster.Job) {
	j := s.jobs[spec.ID]
	if j == nil || !j.moving || j.spec.Moves >= spec.Moves {
		return
	}
	j.spec.Share, j.spec.Moves, j.moving = spec.Share, spec.Moves, false
	s.markChanged(j)
}
