// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"cmp"
	"io"
	"slices"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"switchbank.example/switchbank/internal/scheduler"
)

// maxTeamMetrics bounds the teams that the metrics show, those with the greatest use first.
const maxTeamMetrics = 50

// writeTeamMetrics writes what the teams use of their limits in the shards that run here. The
// gauges are written anew each time, since shards and teams come and go.
func (n *Node) writeTeamMetrics(w io.Writer) {
	uses := n.teamUses()
	slices.SortFunc(uses, func(a, b scheduler.TeamUse) int {
		return cmp.Or(cmp.Compare(b.Used.CPUMilli, a.Used.CPUMilli), cmp.Compare(a.Team, b.Team))
	})
	const thousandths = 1000
	for _, u := range uses[:min(len(uses), maxTeamMetrics)] {
		label := "{team=" + strconv.Quote(u.Team) + "}"
		metrics.WriteGaugeFloat64(w, "switchbank_team_cores"+label, float64(u.Used.CPUMilli)/thousandths)
		metrics.WriteGaugeFloat64(w, "switchbank_team_blocked_cores"+label, float64(u.Blocked.CPUMilli)/thousandths)
		metrics.WriteGaugeUint64(w, "switchbank_team_jobs_waiting"+label, uint64(u.Waiting))
	}
}

// teamUses returns the use of each team, summed over the shards that run here.
func (n *Node) teamUses() (list []scheduler.TeamUse) {
	at := make(map[string]int)
	for _, o := range n.ownedShards() {
		for _, u := range o.TeamUses() {
			i, ok := at[u.Team]
			if !ok {
				at[u.Team] = len(list)
				list = append(list, u)
				continue
			}
			list[i].Used, list[i].Blocked = list[i].Used.Add(u.Used), list[i].Blocked.Add(u.Blocked)
			list[i].Waiting += u.Waiting
		}
	}
	return list
}
