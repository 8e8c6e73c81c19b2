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
	// machinesEvery is the least pause between two listings of the machines, and
	// machinesEach and machinesMost what it grows by with each machine, and to: a listing
	// is some 160 bytes a machine, which is 32 kB a second at that pace, and the platform
	// takes 36 to 60 pages of 200 machines a second from all nodes. A crash shows
	// there sooner than by a hold that gets no answer.
	machinesEvery = 250 * time.Millisecond
	machinesEach  = 5 * time.Millisecond
	machinesMost  = 3 * time.Second
	// machinesSoon is the pause after the first few listings of an ownership: a takeover
	// waits for workers that are gone until missingTwice listings lack them. One more
	// makes up for a listing that came before a worker was found silent.
	machinesSoon  = 120 * time.Millisecond
	machinesFirst = missingTwice + 1
	// machinesAsked is the least pause before a listing that is wanted since a worker
	// does not answer, and machinesHaste how many times as soon as usual it may come.
	machinesAsked = 150 * time.Millisecond
	machinesHaste = 3
	// machinesTimeout is by when a listing has to begin to arrive.
	machinesTimeout = 700 * time.Millisecond
	// missingTwice is how many listings in a row must lack a machine or a worker.
	missingTwice = 2
)

// watchMachines looks for proof that workers' lives are over: at a pace that the number
// of machines allows, and at once when a worker does not answer.
func (o *Owner) watchMachines(ctx context.Context) error {
	w := machineWatch{o: o, onMachine: make(map[string]string), missing: make(map[string]int)}
	pause := machinesEvery
	for n := 0; ctx.Err() == nil; n++ {
		asked := time.Now()
		c, cancel := conns.WithLimit(ctx, machinesTimeout)
		list, err := o.Machines.Machines(c)
		cancel()
		if err == nil {
			w.apply(list, asked)
			pause = min(max(machinesEvery, time.Duration(len(list))*machinesEach), machinesMost)
		} else if ctx.Err() == nil {
			o.Log.Info("machines not listed", events.MachinesNotRead, zap.Error(err))
		}
		if n < machinesFirst {
			tables.Sleep(ctx, machinesSoon)
		} else {
			o.awaitListing(ctx, pause)
		}
	}
	return nil
}

// awaitListing waits until it is time to list the machines again.
func (o *Owner) awaitListing(ctx context.Context, pause time.Duration) {
	least := max(machinesAsked, pause/machinesHaste)
	tables.Sleep(ctx, least)
	rest := time.NewTimer(pause - least)
	defer rest.Stop()
	select {
	case <-ctx.Done():
	case <-rest.C:
	case <-o.listMachines:
	}
}

// machineWatch compares each listing with what was seen before.
type machineWatch struct {
	o *Owner
	// onMachine is the machine on which a worker was seen.
	onMachine map[string]string
	// missing counts the listings in a row that lack a worker.
	missing map[string]int
}

// apply takes a listing that was asked for at that time. It tells nothing of lives that have
// become known since.
func (w *machineWatch) apply(list []cluster.Machine, asked time.Time) {
	current := make(map[string]cluster.Machine, len(list))
	alive := make(map[string]bool, len(list))
	var lives []string
	for _, m := range list {
		current[m.ID] = m
		if m.Worker != "" && w.o.mine(m.Service, m.Rack) {
			alive[m.Worker] = true
			w.onMachine[m.Worker] = m.ID
			lives = append(lives, m.Worker)
		}
	}
	w.o.do(func(s *scheduler.Shard, now time.Time) {
		s.ExpectWorkers(lives)
		for _, id := range s.Workers() {
			if s.KnownSince(id).After(asked) {
				delete(w.missing, id)
				continue
			}
			if evidence := w.over(s, id, current, alive); evidence != "" {
				s.WorkerOver(now, id, evidence)
				delete(w.onMachine, id)
				delete(w.missing, id)
			}
		}
	})
}

// over returns the evidence that a worker's life is over, or "".
func (w *machineWatch) over(s *scheduler.Shard, id string, current map[string]cluster.Machine, alive map[string]bool) string {
	if alive[id] {
		delete(w.missing, id)
		return ""
	}
	machine, seen := w.onMachine[id]
	if m, listed := current[machine]; seen && listed {
		if m.Up {
			return "its machine has another life"
		}
		return "its machine is down"
	}
	// A machine that was taken away for good is not listed at all, and neither is
	// a worker that was over before this owner's first listing.
	w.missing[id]++
	if w.missing[id] >= missingTwice && s.Silent(id) {
		return "no machine has it"
	}
	return ""
}
