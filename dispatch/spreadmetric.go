package dispatch

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/route"
)

// loadSpread is how unevenly the ranks of a group were loaded at one moment.
type loadSpread struct {
	// busiest is the number of requests at the busiest rank, mean that at a rank on average.
	busiest int
	mean    float64
	// idle is the number of free slots, waiting that of requests that waited at a rank all
	// of whose slots were taken.
	idle    int
	waiting int
}

// spreadOf returns the spread of loads over ranks with a number of slots each; slots is zero
// if that is not known.
func spreadOf(loads []exchange.Load, slots int) loadSpread {
	var spread loadSpread
	sum := 0
	for _, load := range loads {
		all := load.Running + load.Waiting
		sum += all
		spread.busiest = max(spread.busiest, all)
		if slots > 0 {
			spread.idle += max(0, slots-all)
			spread.waiting += max(0, all-slots)
		}
	}
	if len(loads) > 0 {
		spread.mean = float64(sum) / float64(len(loads))
	}
	return spread
}

// wasted returns the number of slots that were idle although a request waited for each, at a
// rank or, as many as queued, at this entry.
func (s *loadSpread) wasted(queued int) int {
	return min(s.idle, s.waiting+queued)
}

// recordSpread updates the metrics of the spread over the ranks of a group by the loads in
// its status. The caller holds mu.
func (s *Scheduler) recordSpread(service foxtailstack.ServiceName, ready []route.Upstream, ranks map[foxtailstack.Address]RankLoad) {
	loads := make([]exchange.Load, 0, len(ranks))
	slots := 0
	for _, u := range ready {
		rank, ok := ranks[u.Address]
		if ok {
			loads = append(loads, rank.Load)
			slots = u.Slots
		}
	}
	spread := spreadOf(loads, slots)
	if spread.mean == 0 {
		return
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf("foxtailstack_dispatch_busiest_over_mean{service=%q}", service)).
		Update(float64(spread.busiest) / spread.mean)
	metrics.GetOrCreateHistogram(fmt.Sprintf("foxtailstack_dispatch_idle_slots_while_waiting{service=%q}", service)).
		Update(float64(spread.wasted(len(s.queue(service).waiters))))
}
