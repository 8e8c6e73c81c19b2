// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"context"
	"slices"

	lru "github.com/hashicorp/golang-lru/v2"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/owner"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
)

const (
	// pinCacheSize is how many jobs' shards a node remembers, at some 100 bytes each:
	// those of two minutes on the users' largest site.
	pinCacheSize = 5000
	// maxRackShardLoad is the load up to which a job goes to the shard of its data's rack,
	// rather than to the less loaded one of its two choices.
	maxRackShardLoad = 0.9
)

func newPins() *lru.Cache[string, []cluster.ShardID] {
	c, err := lru.New[string, []cluster.ShardID](pinCacheSize)
	if err != nil {
		panic("cell: the cache of pins has no size: " + err.Error())
	}
	return c
}

// place returns a new job as its parts, each with the shard that it should run on.
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

// setEpochs notes in the parts of a job which owner each is accepted for.
func (n *Node) setEpochs(parts []cluster.Job) []cluster.Job {
	for i := range parts {
		rec, _ := n.owner(parts[i].ShardID())
		parts[i].Epoch = rec.Epoch
	}
	return parts
}

// chooseShard returns the shard that a job should run on: that of its data's rack
// unless it is full, else the less loaded of two that depend on its ID. Loads may
// be some tenths of a second old; two choices keep the nodes from all choosing the same one.
func (n *Node) chooseShard(ctx context.Context, layout *cluster.Layout, job *cluster.Job) cluster.ShardID {
	ids := layout.IDs()
	var asked []cluster.ShardID
	for _, i := range layout.CandidateShards(job.ID) {
		asked = append(asked, ids[i])
	}
	rack := job.DataRack()
	rackShard := ids[layout.ShardOf(rack)]
	if rack != "" {
		asked = append(asked, rackShard)
	}
	n.refreshLoads(ctx, asked)
	if rack != "" && n.shardLoad(rackShard) < maxRackShardLoad {
		return rackShard
	}
	return n.candidatesByLoad(layout, job.ID)[0]
}

// candidatesByLoad returns the shards among which a job is placed by their load, the less
// loaded one first.
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

// minLoadGain is how much lower another shard's load must be for a job to move there.
const minLoadGain = 0.15

// BetterShard returns the least loaded other shard, if it is less loaded by so much that
// a waiting job should move there; a job that can't run where it is goes on in turn.
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

// JobMoved notes the new shards of a job's parts.
func (n *Node) JobMoved(parts []cluster.Job) { n.pins.Add(parts[0].ID, shardsOf(parts)) }

// shardsOf returns the shards of a job's parts.
func shardsOf(parts []cluster.Job) []cluster.ShardID {
	var shards []cluster.ShardID
	for _, j := range parts {
		shards = append(shards, j.ShardID())
	}
	return shards
}

// likelyShards returns the shards whose owners are asked first about a job.
func (n *Node) likelyShards(service, id string) []cluster.ShardID {
	if shards, ok := n.pins.Get(id); ok && shards[0].Service == service {
		return shards[:1]
	}
	layout, ok := n.layout(service)
	if !ok {
		return nil
	}
	// The less loaded one is more likely to have the job.
	return n.candidatesByLoad(&layout, id)
}

// lookUpPin reads the shards of a job's parts, and the row that names them, from the store.
func (n *Node) lookUpPin(ctx context.Context, service, id string) ([]cluster.ShardID, tables.Row, Answer) {
	row, found, err := tables.Get(ctx, n.store, owner.TablePins, owner.JobPart(service, id), id)
	if err != nil {
		return nil, row, AnswerRefused
	}
	if !found {
		return nil, row, AnswerNoJob
	}
	shards, err := owner.ParsePin(service, row)
	if err != nil {
		n.Log.Warn("pin skipped", events.RowSkipped, zap.String("job", id), zap.Error(err))
		return nil, row, AnswerRefused
	}
	n.pins.Add(id, shards)
	return shards, row, AnswerOK
}
