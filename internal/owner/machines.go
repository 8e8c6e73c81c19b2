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
	// minListPause is the shortest pause between two listings of the machines. It grows by
	// listPausePerMachine for each machine, up to maxListPause: a listing has some 160 bytes
	// per machine, which is 32 kB a second at that pace, and the platform serves all nodes
	// together 36 to 60 pages of 200 machines a second. A crash shows in a listing before a
	// hold times out.
	minListPause        = 250 * time.Millisecond
	listPausePerMachine = 5 * time.Millisecond
	maxListPause        = 3 * time.Second
	// initialListPause is the pause after the first listings of an ownership: a takeover waits
	// for lost workers until minMissingLists listings lack them. One more makes up for a
	// listing that came before a worker was found silent.
	initialListPause = 120 * time.Millisecond
	initialLists     = minMissingLists + 1
	// minRequestedListPause is the shortest pause before a listing that is requested because a
	// worker does not answer. Such a listing comes up to requestedListSpeedup times as early as
	// usual.
	minRequestedListPause = 150 * time.Millisecond
	requestedListSpeedup  = 3
	// machineListTimeout is the time within which a listing has to begin to arrive: enough for a
	// try through another node, of 0.7 s, and a direct one.
	machineListTimeout = 1500 * time.Millisecond
	// minMissingLists is how many listings in a row must lack a machine or worker.
	minMissingLists = 2
)

// watchMachines looks for evidence that workers have ended: periodically, at a pace that
// depends on the number of machines, and at once when a worker does not answer.
func (o *Owner) watchMachines(ctx context.Context) error {
	w := machineWatcher{o: o, lastMachine: make(map[string]string), missingCount: make(map[string]int)}
	pause := minListPause
	for n := 0; ctx.Err() == nil; n++ {
		c, cancel := conns.WithStallTimeout(ctx, machineListTimeout)
		list, age, err := o.Machines.Machines(c)
		cancel()
		if err == nil {
			w.apply(list, time.Now().Add(-age))
			pause = min(max(minListPause, time.Duration(len(list))*listPausePerMachine), maxListPause)
		} else if ctx.Err() == nil {
			o.Log.Info("listing machines failed", events.MachinesNotRead, zap.Error(err))
		}
		if n < initialLists {
			tables.Sleep(ctx, initialListPause)
		} else {
			o.waitForNextList(ctx, pause)
		}
	}
	return nil
}

// waitForNextList waits until the machines are to be listed again.
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

// machineWatcher compares each listing with the earlier ones.
type machineWatcher struct {
	o *Owner
	// lastMachine is the machine on which each worker was last seen.
	lastMachine map[string]string
	// missingCount counts the listings in a row that lack a worker.
	missingCount map[string]int
}

// apply evaluates a listing of the machines as they were at the given time or later. The listing says nothing about
// incarnations that have become known since.
func (w *machineWatcher) apply(list []cluster.Machine, asOf time.Time) {
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
			if s.WorkerKnownSince(id).After(asOf) {
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

// endEvidence returns the evidence that a worker has ended, or "".
func (w *machineWatcher) endEvidence(s *scheduler.Shard, id string, machines map[string]cluster.Machine, running map[string]bool) scheduler.EndEvidence {
	if running[id] {
		delete(w.missingCount, id)
		return ""
	}
	machine, seen := w.lastMachine[id]
	if m, listed := machines[machine]; seen && listed {
		if m.Up {
			return scheduler.EvidenceMachineUp
		}
		return scheduler.EvidenceMachineDown
	}
	// A machine that was removed for good is not listed at all, and neither is a worker that
	// ended before this owner's first listing.
	w.missingCount[id]++
	switch {
	case w.missingCount[id] < minMissingLists || !s.WorkerSilent(id):
		return ""
	case !seen:
		return scheduler.EvidenceNeverListed
	}
	return scheduler.EvidenceNoMachine
}
