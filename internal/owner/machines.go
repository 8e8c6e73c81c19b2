// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/conns"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
)

const (
	// minListPause is the least pause between two listings of the machines, and
	// machinesEach and machinesMost what it grows by with each machine, and to: a listing
	// is some 160 bytes a machine, which is 32 kB a second at that pace, and the platform
	// takes 36 to 60 pages of 200 machines a second from all nodes. A crash shows
	// there sooner than by a hold that gets no answer.
	minListPause        = 250 * time.Millisecond
	listPausePerMachine = 5 * time.Millisecond
	maxListPause        = 3 * time.Second
	// initialListPause is the pause after the first few listings of an ownership: a takeover
	// waits for workers that are gone until missingTwice listings lack them. One more
	// makes up for a listing that came before a worker was found silent.
	initialListPause = 120 * time.Millisecond
	initialLists     = minMissingLists + 1
	// minRequestedListPause is the least pause before a listing that is wanted since a worker
	// does not answer, and machinesHaste how many times as soon as usual it may come.
	minRequestedListPause = 150 * time.Millisecond
	requestedListSpeedup  = 3
	// machineListTimeout is by when a listing has to begin to arrive.
	machineListTimeout = 700 * time.Millisecond
	// minMissingLists is how many listings in a row must lack a machine or a worker.
	minMissingLists = 2
)

// watchMachines looks for proof that workers' lives are over: at a pace that the number
// of machines allows, and at once when a worker does not answer.
func (o *Owner) watchMachines(ctx context.Context) error {
	w := machineWatcher{o: o, lastMachine: make(map[string]string), missingCount: make(map[string]int)}
	pause := minListPause
	for n := 0; ctx.Err() == nil; n++ {
		requestedAt := time.Now()
		c, cancel := conns.WithStallTimeout(ctx, machineListTimeout)
		list, err := o.Machines.Machines(c)
		cancel()
		if err == nil {
			w.apply(list, requestedAt)
			pause = min(max(minListPause, time.Duration(len(list))*listPausePerMachine), maxListPause)
		} else if ctx.Err() == nil {
			o.Log.Info("machines not listed", events.MachinesNotRead, zap.Error(err))
		}
		if n < initialLists {
			tables.Sleep(ctx, initialListPause)
		} else {
			o.waitForNextList(ctx, pause)
		}
	}
	return nil
}

// waitForNextList waits until it is time to list the machines again.
func (o *Owner) waitForNextList(ctx context.Context, pause time.Duration) {
	minPause := max(minRequestedListPause, pause/requestedListSpeedup)
	tables.Sleep(ctx, minPause)
	rest := time.NewTimer(pause - minPause)
	defer rest.Stop()
	select {
	case <-ctx.Done():
	case <-rest.C:
	case <-o.wakeMachineList:
	}
}

// machineWatcher compares each listing with what was seen before.
type machineWatcher struct {
	o *Owner
	// lastMachine is the machine on which a worker was seen.
	lastMachine map[string]string
	// missingCount counts the listings in a row that lack a worker.
	missingCount map[string]int
}

// apply takes a listing that was asked for at that time. It tells nothing of lives that have
// become known since.
func (w *machineWatcher) apply(list []cluster.Machine, requestedAt time.Time) {
	machines := make(map[string]cluster.Machine, len(list))
	running := make(map[string]bool, len(list))
	var workerIDs []string
	for _, m := range list {
		machines[m.ID] = m
		if m.Worker != "" && w.o.inShard(m.Service, m.Rack) {
			running[m.Worker] = true
			w.lastMachine[m.Worker] = m.ID
			workerIDs = append(workerIDs, m.Worker)
		}
	}
	w.o.updateShard(func(s *scheduler.Shard, now time.Time) {
		s.ExpectWorkers(workerIDs)
		for _, id := range s.Workers() {
			if s.KnownSince(id).After(requestedAt) {
				delete(w.missingCount, id)
				continue
			}
			if evidence := w.endEvidence(s, id, machines, running); evidence != "" {
				s.WorkerEnded(now, id, evidence)
				delete(w.lastMachine, id)
				delete(w.missingCount, id)
			}
		}
	})
}

// endEvidence returns the evidence that a worker's life is endEvidence, or "".
func (w *machineWatcher) endEvidence(s *scheduler.Shard, id string, machines map[string]cluster.Machine, running map[string]bool) string {
	if running[id] {
		delete(w.missingCount, id)
		return ""
	}
	machine, seen := w.lastMachine[id]
	if m, listed := machines[machine]; seen && listed {
		if m.Up {
			return "its machine has another life"
		}
		return "its machine is down"
	}
	// A machine that was taken away for good is not listed at all, and neither is
	// a worker that was over before this owner's first listing.
	w.missingCount[id]++
	if w.missingCount[id] >= minMissingLists && s.Silent(id) {
		return "no machine has it"
	}
	return ""
}
