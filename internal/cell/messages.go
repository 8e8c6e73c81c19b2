// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"encoding/json"
	"time"

	"switchbank.example/switchbank/internal/admission"
	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/scheduler"
	"switchbank.example/switchbank/internal/tables"
)

// The paths of the API for peers.
const (
	pathPing       = "/peer/v2/ping"
	pathJob        = "/peer/v2/job"
	pathCancel     = "/peer/v2/cancel"
	pathState      = "/peer/v2/state"
	pathUnresolved = "/peer/v2/unresolved"
	pathWaiting    = "/peer/v2/waiting"
	pathAdvise     = "/peer/v2/advise"
	pathWorkers    = "/peer/v2/workers"
	pathMachines   = "/peer/v2/machines"
	pathTake       = "/peer/v2/take"
	pathGang       = "/peer/v2/gang"
	pathMembers    = "/peer/v2/members"
	pathTeams      = "/peer/v2/teams"
	pathConfig     = "/peer/v2/config"
	pathConfigFeed = "/peer/v2/config/feed"
	pathDirectory  = "/peer/v2/directory"
	pathCommit     = "/peer/v2/store/commit"
	pathList       = "/peer/v2/store/list"
	pathFeed       = "/peer/v2/store/feed"
)

// member describes a node to its peers.
type member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Incarnation is a random value chosen at each start, so that peers notice a restart.
	Incarnation string `json:"life"`
	DataCentre  string `json:"data_centre"`
	// CPUMilli is the CPU that the node may use, in thousandths of a core.
	CPUMilli int64 `json:"cpu_milli,omitempty"`
	// Stopped is set in the node's row once its ownerships have ended since it stops.
	Stopped bool `json:"stopped,omitempty"`
}

// ownerRecord is the value of the row that names a shard's owner.
type ownerRecord struct {
	// Owner is empty after the shard was released.
	Owner member `json:"owner"`
	// Epoch increases with each change of ownership and is the fence of the owner's orders.
	Epoch int64 `json:"epoch"`
	// Unsettled are earlier owners that were not known to have ended when the row was written; one
	// without a name is unknown.
	Unsettled []member `json:"unsettled,omitempty"`
}

// pingRequest asks a node whether it is alive, and introduces the sender.
type pingRequest struct {
	From member `json:"from"`
	// Knows is the number of other nodes that the sender knows.
	Knows int `json:"knows"`
	// PartsAway is how many parts of the store don't answer the sender.
	PartsAway int `json:"parts_away,omitempty"`
	// About names a node that the receiver should ping; empty for none.
	About string `json:"about,omitempty"`
	// Owns are the shards that the sender owns.
	Owns []ownerEpoch `json:"owns,omitempty"`
	// Refused are refused jobs that the receiver may not know, and RefusedAfter is
	// pingReply.RefusedLast of its last reply.
	Refused      []admission.Record `json:"refused,omitempty"`
	RefusedAfter int64              `json:"refused_after,omitempty"`
}

// pingReply describes the node that answers, and what it knows of others.
type pingReply struct {
	Me        member `json:"me"`
	Draining  bool   `json:"draining,omitempty"`
	StoreGood bool   `json:"store_good,omitempty"`
	// PartsAway is how many parts of the store don't answer the node.
	PartsAway     int   `json:"parts_away,omitempty"`
	ConfigVersion int64 `json:"config_version"`
	// Owns lists the shards that the node owns.
	Owns    []ownedShard `json:"owns,omitempty"`
	Members []member     `json:"members,omitempty"`
	// Owners are the latest owners that the node knows of the shards that the sender owns, and
	// Knows is the number of other nodes that it knows.
	Owners []ownerEpoch `json:"owners,omitempty"`
	Knows  int          `json:"knows,omitempty"`
	// Evacuations are the operators' orders that the node knows.
	Evacuations []cluster.EvacuationOrder `json:"evacuations,omitempty"`
	// AboutAnswers tells whether the node named in About answered the ping.
	AboutAnswers bool `json:"about_answers,omitempty"`
	// AboutHeardMS is how long ago that node last answered, in milliseconds; 0: it never did.
	AboutHeardMS int64 `json:"about_heard_ms,omitempty"`
	// Refused are refused jobs that the sender may not know, and RefusedLast is the number of the
	// last change among those that the node knows.
	Refused     []admission.Record `json:"refused,omitempty"`
	RefusedLast int64              `json:"refused_last,omitempty"`
}

// ownedShard is a shard that the node owns, with its load.
type ownedShard struct {
	Shard cluster.ShardID `json:"shard"`
	// Load is the share of the shard's capacity that is in use or requested; 1 is a full
	// shard.
	Load float64 `json:"load"`
	// Forecast is the encoded summary of the shard, if it is known. It is decoded apart from the
	// reply, so that a summary of another version does not make the owner seem to be down.
	Forecast json.RawMessage `json:"forecast,omitempty"`
}

type jobMessage struct {
	Job cluster.Job `json:"job"`
	// Version is the version of the transaction that accepted the job.
	Version int64 `json:"version"`
}

type jobQuery struct {
	Shard cluster.ShardID `json:"shard"`
	ID    string          `json:"id"`
}

type stateReply struct {
	// Known is false if the owner doesn't know the job.
	Known bool          `json:"known"`
	State cluster.State `json:"state,omitempty"`
	// Team is the team to which the job belongs.
	Team string `json:"team,omitempty"`
	// Unresolved tells whether a node got no answer when it submitted the job, so that it may
	// be accepted although the owner doesn't know it.
	Unresolved bool `json:"unresolved,omitempty"`
}

type waitingQuery struct {
	Shard cluster.ShardID `json:"shard"`
	Queue string          `json:"queue"`
}

type waitingReply struct {
	Waiting int `json:"waiting"`
}

type adviseRequest struct {
	Step    scheduler.StepID `json:"step"`
	Workers []string         `json:"workers"`
}

type adviseReply struct {
	Tickets []cluster.Ticket `json:"tickets"`
	ValidMS int64            `json:"valid_ms"`
}

// shardMessage carries a query or an order of one shard's owner to that of another.
type shardMessage[T any] struct {
	Shard cluster.ShardID `json:"shard"`
	What  T               `json:"what"`
}

type takeRequest struct {
	Shard cluster.ShardID `json:"shard"`
	// Version is the version of the owner's row that is to be replaced.
	Version int64 `json:"version"`
}

// empty is a request or reply without fields.
type empty struct{}

// storeReply carries a reply of the table service, or the reason why there is none.
type storeReply[T any] struct {
	Result T           `json:"result"`
	Failed tables.Kind `json:"failed,omitempty"`
	Detail string      `json:"detail,omitempty"`
}

// peerTimeout bounds a call that the peer answers without calls of its own: nodes are a
// millisecond apart, and a busy one answers within a few tens of milliseconds.
const peerTimeout = 300 * time.Millisecond
