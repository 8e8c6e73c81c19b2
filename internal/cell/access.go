// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"math"
	"sync/atomic"
	"time"

	"switchbank.example/switchbank/internal/cluster"
)

// A token is refused for good only by a node that knows the newest configuration: a caller gives
// up on such an answer. A node that may be behind refuses an unknown token for now, since the
// token may be new. Whether it goes on serving the tokens that it knows, some of which may have
// been withdrawn meanwhile, is for the operators to decide (settings.Tokens).

// Viewer is whose jobs a call may see: those of a team and those that came without a token.
type Viewer struct {
	Team string
	// all is set for the node's own calls.
	all bool
}

// AllTeams sees the jobs of all teams.
var AllTeams = Viewer{all: true}

// sees reports whether the viewer may see a job of a team.
func (v Viewer) sees(team string) bool { return v.all || team == "" || team == v.Team }

// maxConfigAge is the age up to which a node counts as knowing the newest configuration: a call
// of the configuration's feed takes up to configFeedWait, and one that fails is repeated.
const maxConfigAge = 2500 * time.Millisecond

// Authenticate returns as whom a call on a queue acts, by its token: AnswerNoToken refuses it for
// good and AnswerRefused for now.
func (n *Node) Authenticate(cfg *cluster.Config, queue *cluster.Queue, token string) (Viewer, Answer) {
	if !cfg.TokensRequired || (queue.Public && token == "") {
		return Viewer{}, AnswerOK
	}
	age := n.configConfirmed.age()
	if n.cfg.Tokens.Strict && age > n.cfg.Tokens.MaxAge() {
		return Viewer{}, AnswerRefused
	}
	if t, ok := cfg.TeamIndex().ByToken(token); ok {
		return Viewer{Team: t.Name}, AnswerOK
	}
	switch {
	case queue.Public:
		return Viewer{}, AnswerOK
	case token == "" || (age <= maxConfigAge && !n.configLag.known(cfg.Version)):
		return Viewer{}, AnswerNoToken
	}
	return Viewer{}, AnswerRefused
}

// confirmation records when the configuration in force was last known to be the newest.
type confirmation struct{ at atomic.Pointer[time.Time] }

// note records that it is the newest now.
func (c *confirmation) note() { c.noteAt(time.Now()) }

// noteAt records that it was the newest at a time.
func (c *confirmation) noteAt(at time.Time) {
	for {
		known := c.at.Load()
		if known != nil && !at.After(*known) {
			return
		}
		if c.at.CompareAndSwap(known, &at) {
			return
		}
	}
}

// age returns for how long nothing has shown that it is the newest.
func (c *confirmation) age() time.Duration {
	at := c.at.Load()
	if at == nil {
		return math.MaxInt64
	}
	return time.Since(*at)
}
