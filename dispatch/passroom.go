package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// roomPasses is the number of passes from which a passRoom learns, and minRoomPasses
	// the number from which it sets a limit.
	roomPasses    = 256
	minRoomPasses = 16
	// maxPassFactor is the factor of the allowed gap from which a pass is left out: it was
	// long for other reasons than the number of requests.
	maxPassFactor = 2
	// roomSteps is the number of limits that are compared.
	roomSteps = 16
	// roomMargin is the fraction of the allowed gap between events that a pass may take. The
	// mean of requests is kept, so that less is left than for a slotLimit.
	roomMargin = 0.97
	// lateLoss is what a late response to a request of the least urgency loses; a refused one
	// loses all. urgentLateLoss is the same for more urgent requests, which are not to be late
	// for others.
	lateLoss       = 0.5
	urgentLateLoss = 2.0
)

// passSample is one pass: how long it took, and how many requests a rank had on average.
type passSample struct {
	duration time.Duration
	running  float64
}

// roomDemand is what requests need of a group.
type roomDemand struct {
	// urgent and least are the numbers of requests that each rank would have if none had to
	// wait: of those of the least urgency, and of all others.
	urgent, least float64
	// hold is the time that a request has its slot.
	hold time.Duration
}

// passRoom limits how many requests each rank has while the least urgent ones are sent. Its
// load is a burst of requests that may wait: if they fill all slots, the urgent streams that
// run beside them are late, since each request makes every pass longer, and more so after a
// shift of demand. It compares what is lost with each limit: the requests beyond it, which
// are refused or wait until they are, and the streams that meet a pass longer than the gap
// between events that callers allow. Where the requests need fewer slots than a limit leaves,
// neither is lost, so that it sets none: also if passes are long for other reasons, such as
// switches of the expert map. Unlike a slotLimit, which holds for all requests, it learns from
// passes with few requests what those with more will take. The zero value sets no limit.
type passRoom struct {
	passes []passSample
	demand roomDemand
	// limit is the number of requests at each rank with which least is lost; zero if it is
	// not known.
	limit float64
	// binds is set if the limit left the least urgent less than the free slots of ranks.
	binds bool
}

// observe records the duration of a pass with a mean number of requests at each of the
// ranks, of which each has the given number of slots.
func (p *passRoom) observe(d time.Duration, running float64, bounds PassBounds, slots int) {
	stalled := bounds.MaxEventGap > 0 && d > maxPassFactor*bounds.MaxEventGap
	if stalled || running < minSlotFraction*float64(slots) || running <= 0 {
		return
	}
	p.passes = append(p.passes, passSample{
		duration: d,
		running:  running,
	})
	if len(p.passes) > roomPasses {
		p.passes = p.passes[1:]
	}
}

// setDemand records what the requests need, and sets the limit anew.
func (p *passRoom) setDemand(demand roomDemand, bounds PassBounds, slots int) {
	p.demand = demand
	p.limit = 0
	all := demand.urgent + demand.least
	if len(p.passes) < minRoomPasses || bounds.MaxEventGap <= 0 || all <= 0 {
		return
	}
	p.limit = p.bestLimit(bounds, slots)
}

// bestLimit returns the number of requests at each rank with which least is lost.
func (p *passRoom) bestLimit(bounds PassBounds, slots int) float64 {
	all := p.demand.urgent + p.demand.least
	fixed := p.fixedTime(bounds)
	maxPass := time.Duration(roomMargin * float64(bounds.MaxEventGap))
	streamPasses := p.streamPasses()
	best, leastLoss := 0.0, math.Inf(1)
	for step := range roomSteps + 1 {
		fraction := minSlotFraction + (1-minSlotFraction)*float64(step)/roomSteps
		limit := fraction * float64(slots)
		running := min(limit, all)
		late := p.lateFraction(running, fixed, maxPass, streamPasses)
		urgent := min(running, p.demand.urgent)
		loss := all - running + late*(urgent*urgentLateLoss+(running-urgent)*lateLoss)
		if loss <= leastLoss {
			best, leastLoss = limit, loss
		}
	}
	return best
}

// lateFraction returns the fraction of streams of a number of passes that would have met one
// longer than maxPass among the last passes, had each rank had some requests.
func (p *passRoom) lateFraction(running float64, fixed, maxPass time.Duration, streamPasses int) float64 {
	late := 0
	reach := 0 // the number of further passes at which streams begin that meet a long one
	for i := len(p.passes) - 1; i >= 0; i-- {
		pass := p.passes[i]
		perRequest := float64(max(0, pass.duration-fixed)) / pass.running
		if fixed+time.Duration(running*perRequest) > maxPass {
			reach = streamPasses
		}
		if reach > 0 {
			reach--
			late++
		}
	}
	return float64(late) / float64(len(p.passes))
}

// streamPasses returns the number of passes that a stream takes.
func (p *passRoom) streamPasses() int {
	sum := time.Duration(0)
	for _, pass := range p.passes {
		sum += pass.duration
	}
	return int(p.demand.hold * time.Duration(len(p.passes)) / max(1, sum))
}

// fixedTime returns the part of a pass that does not grow with the number of requests: its
// base, and what the usual pass takes beyond that and the known time of its requests, which
// is the time to read prompts.
func (p *passRoom) fixedTime(bounds PassBounds) time.Duration {
	rest := make([]time.Duration, len(p.passes))
	for i, pass := range p.passes {
		rest[i] = pass.duration - bounds.Base - time.Duration(pass.running*float64(bounds.PerRequest))
	}
	slices.Sort(rest)
	return bounds.Base + max(0, rest[len(rest)/2])
}

// requests returns how many requests a rank with a number of slots may have while the least
// urgent ones are sent.
func (p *passRoom) requests(slots float64) float64 {
	if p.limit <= 0 {
		return slots
	}
	return min(slots, p.limit)
}

// left returns how many requests some ranks with a number of slots, which have some requests
// together, may get of the least urgent ones. Unlike the slots of a rank, it counts what
// others have too much: the length of a pass follows the requests of all ranks.
func (p *passRoom) left(slots, ranks, requests int) float64 {
	return max(0, p.requests(float64(slots))*float64(ranks)-float64(requests))
}
