// SPDX-License-Identifier: Apache-2.0

package cell

import (
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"switchbank.example/switchbank/internal/cluster"
	"switchbank.example/switchbank/internal/events"
	"switchbank.example/switchbank/internal/forecast"
	"switchbank.example/switchbank/internal/owner"
)

// This file carries the summaries of shards from their owners to the nodes that accept jobs, which
// refuse by them what would end too late while a shard is overloaded. The summaries are soft state:
// a node without one accepts jobs.

// ShardForecast is the latest summary of a shard.
type ShardForecast struct {
	Shard cluster.ShardID
	// Summary is nil if nothing is known.
	Summary *forecast.Summary
	// Age is the time since the summary was received, or built if the shard is owned here.
	Age time.Duration
	// Local is set if the shard is owned here.
	Local bool
}

// ShardForecasts returns the latest summaries of shards, in their order. refreshLoads makes the
// owners report new ones.
func (n *Node) ShardForecasts(shards []cluster.ShardID) []ShardForecast {
	list := make([]ShardForecast, 0, len(shards))
	for _, shard := range shards {
		f := ShardForecast{Shard: shard}
		if o := n.local(shard); o != nil {
			f.Local = true
			f.Summary, f.Age = o.Forecast()
		} else {
			rec, _ := n.owner(shard)
			f.Summary, f.Age = n.forecasts.Latest(time.Now(), shard.String(), rec.Epoch)
		}
		list = append(list, f)
	}
	return list
}

// encodeForecast returns the encoded summary of a shard that this node owns, or nil if it is
// unknown or too old.
func (n *Node) encodeForecast(o *owner.Owner) json.RawMessage {
	summary, age := o.Forecast()
	if summary == nil || age > forecast.MaxAge {
		return nil
	}
	data, err := summary.Encode()
	if err != nil {
		n.Log.Warn("forecast summary not encoded", events.ForecastDiscarded, zap.Error(err))
		return nil
	}
	return data
}

// receiveForecasts keeps the summaries of a reply.
func (n *Node) receiveForecasts(reply pingReply) {
	for _, o := range reply.Owns {
		if len(o.Forecast) == 0 {
			continue
		}
		report, err := n.forecasts.Receive(time.Now(), reply.Me.Name, o.Shard.String(), o.Forecast)
		if report {
			n.Log.Warn("forecast summary discarded", events.ForecastDiscarded, zap.String("peer", reply.Me.Name),
				zap.Stringer("shard", o.Shard), zap.Error(err))
		}
	}
}

// forecastQuantiles are the quantiles of the errors that the metrics show.
var forecastQuantiles = []float64{0.5, 0.9}

// writeForecastMetrics writes the errors of the forecasts of each queue, over the shards that run
// here. The gauges are written anew each time, since shards and queues come and go.
func (n *Node) writeForecastMetrics(w io.Writer) {
	errs := make(map[string][]float64)
	for _, o := range n.ownedShards() {
		for queue, list := range o.ForecastErrors() {
			errs[queue] = append(errs[queue], list...)
		}
	}
	for _, queue := range slices.Sorted(maps.Keys(errs)) {
		slices.Sort(errs[queue])
		for _, q := range forecastQuantiles {
			label := "{queue=" + strconv.Quote(queue) + `,quantile="` + strconv.FormatFloat(q, 'g', -1, 64) + `"}`
			metrics.WriteGaugeFloat64(w, "switchbank_forecast_error_ratio"+label, forecast.Quantile(errs[queue], q))
		}
	}
}
