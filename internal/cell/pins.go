// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/admission"
	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
)

const (
	// pinCacheSize is how many jobs' pins a node remembers, at about 100 bytes each: enough
	// for the jobs of two minutes on a large site.
	pinCacheSize = 5000
	// maxRackShardLoad is the load up to which a job goes to the shard of its data's rack
	// rather than to the less loaded of its two candidate shards.
	maxRackShardLoad = 0.9
)

// place splits a new job into its parts, each with the shard on which it runs.
func (n *Node) place(ctx context.Context, job cluster.Job) ([]cluster.Job, bool) {
	layout, ok := n.layout(job.Service)
	if !ok {
		return nil, false
	}
	if layout.Shards > 1 && job.Splittable() {
		return n.setEpochs(job.Split(layout.CandidateShards(job.ID)[0], &layout)), true
	}
	job.Shard = n.chooseShard(ctx, &layout, &job).Index
	return n.setEpochs([]cluster.Job{job}), true
}

// setEpochs sets in the parts of a job the epoch of the owner for which each is accepted.
func (n *Node) setEpochs(parts []cluster.Job) []cluster.Job {
	for i := range parts {
		rec, _ := n.owner(parts[i].ShardID())
		parts[i].Epoch = rec.Epoch
	}
	return parts
}

// chooseShard returns the shard for a job: the first one that may get it, or in an overload the
// one in which it ends earlier.
func (n *Node) chooseShard(ctx context.Context, layout *cluster.Layout, job *cluster.Job) cluster.ShardID {
	r, shards := admission.NewRequest(job), n.placementShards(ctx, layout, job)
	return n.choosePlacement(r, shards, n.viewsFor(&r, shards))
}

// placementShards returns the shards that may get a job: that of its data's rack unless it is
// full, otherwise two that depend on the job's ID, the less loaded one first. Loads may be a few
// tenths of a second old; two choices keep the nodes from all choosing the same shard.
func (n *Node) placementShards(ctx context.Context, layout *cluster.Layout, job *cluster.Job) []cluster.ShardID {
	ids := layout.IDs()
	var shards []cluster.ShardID
	for _, i := range layout.CandidateShards(job.ID) {
		shards = append(shards, ids[i])
	}
	rack := job.DataRack()
	rackShard := ids[layout.ShardOf(rack)]
	if rack != "" {
		shards = append(shards, rackShard)
	}
	n.refreshLoads(ctx, shards)
	if rack != "" && n.shardLoad(rackShard) < maxRackShardLoad {
		return []cluster.ShardID{rackShard}
	}
	return n.candidatesByLoad(layout, job.ID)
}

// candidatesByLoad returns a job's candidate shards, the less loaded one first.
func (n *Node) candidatesByLoad(layout *cluster.Layout, id string) []cluster.ShardID {
	ids := layout.IDs()
	var list []cluster.ShardID
	for _, i := range layout.CandidateShards(id) {
		list = append(list, ids[i])
	}
	if len(list) > 1 && n.shardLoad(list[1]) < n.shardLoad(list[0]) {
		slices.Reverse(list)
	}
	return list
}

// minLoadGain is how much lower the load of another shard has to be for a job to move there.
const minLoadGain = 0.15

// BetterShard returns the least loaded other shard, if a waiting job gains enough by moving
// there. A job that can't run on its shard at all moves to the next one in turn.
func (n *Node) BetterShard(from cluster.ShardID, load float64, m scheduler.Move) (cluster.ShardID, bool) {
	layout, ok := n.layout(from.Service)
	if !ok || layout.Shards <= 1 {
		return from, false
	}
	ids := layout.IDs()
	n.refreshLoads(n.ctx, ids)
	if m.Unfit {
		return ids[(from.Index+1)%len(ids)], true
	}
	best, least := from, load-minLoadGain
	for _, id := range ids {
		if l := n.shardLoad(id); id != from && l < least {
			best, least = id, l
		}
	}
	return best, best != from
}

// JobMoved records the new shards of a job's parts.
func (n *Node) JobMoved(parts []cluster.Job) { n.pins.Add(parts[0].ID, pinOf(parts)) }

// pinOf returns the pin of a job, given as its parts.
func pinOf(parts []cluster.Job) owner.Pin {
	return owner.Pin{Shards: shardsOf(parts), Team: parts[0].Team, Moves: parts[0].Moves}
}

// shardsOf returns the shards of a job's parts.
func shardsOf(parts []cluster.Job) []cluster.ShardID {
	var shards []cluster.ShardID
	for _, j := range parts {
		shards = append(shards, j.ShardID())
	}
	return shards
}

// likelyShards returns the shards whose owners are asked first about a job of a queue that has
// the service now.
func (n *Node) likelyShards(service, id string) []cluster.ShardID {
	if pin, ok := n.pins.Get(id); ok {
		return pin.Shards[:1]
	}
	layout, ok := n.layout(service)
	if !ok {
		return nil
	}
	// The less loaded shard is more likely to have the job.
	return n.candidatesByLoad(&layout, id)
}

// lookUpPin reads a job's pin from the store: the row that names the shards of its parts and
// its team. A job that the viewer may not see doesn't exist for it.
func (n *Node) lookUpPin(ctx context.Context, v Viewer, id string) (owner.Pin, tables.Row, Answer) {
	row, found, err := tables.Get(ctx, n.store, owner.TablePins, owner.JobPart(id), id)
	if err != nil {
		return owner.Pin{}, row, AnswerRefused
	}
	if !found {
		return owner.Pin{}, row, AnswerNoJob
	}
	pin, err := owner.ParsePin(row)
	if err != nil {
		n.Log.Warn("pin row skipped", events.RowSkipped, zap.String("job", id), zap.Error(err))
		return owner.Pin{}, row, AnswerRefused
	}
	if pin.Tombstone || !v.sees(pin.Team) {
		return owner.Pin{}, row, AnswerNoJob
	}
	n.pins.Add(id, pin)
	return pin, row, AnswerOK
}
