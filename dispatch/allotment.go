package dispatch

import "time"

// minYieldingSlots is the number of slots of a rank that requests may use at least, however
// much room more urgent ones need, so that no kind of request is shut out.
const minYieldingSlots = 1

// allotment is what requests of an urgency may use of one rank.
type allotment struct {
	// slots is the number of slots; zero if it is not known. quota is the number of requests
	// by which this process may exceed those of its own that the last report counted.
	slots int
	quota int
	// share is the fraction of the slots that this process may take while the load of the
	// rank is not known.
	share float64
	// begun is set for requests that have begun, for which no quota holds.
	begun bool
}

// tier is the place of an urgency among those in use at a service.
type tier struct {
	// yields is set if there are more urgent requests, and least if there are no less urgent
	// ones besides.
	yields bool
	least  bool
	// reserved is the number of slots of each rank to leave free for the more urgent ones.
	reserved float64
	// begun is set for requests that have begun, whatever their urgency.
	begun bool
}

// tier returns the place of an urgency.
func (q *queue) tier(urgency int, now time.Time) tier {
	share := q.entryShare()
	var t tier
	t.yields, t.least = q.room.yields(urgency, share, now)
	if t.yields {
		t.reserved = q.room.reserved(urgency, share, now) / float64(max(1, q.ranks))
	}
	return t
}

// lastTier returns the place of the least urgent requests.
func (q *queue) lastTier(now time.Time) tier {
	return q.tier(q.room.leastUrgency(now), now)
}

// setRoomDemand sets how far the least urgent requests fill the ranks of a group, by what all
// requests need.
func (q *queue) setRoomDemand(name GroupName, now time.Time) {
	group := q.group(name)
	need := q.room.need(q.ranks, q.entryShare(), now)
	group.passRoom.setDemand(need, group.slotLimit.bounds, group.maxSlots)
}

// entryShare returns the fraction of the requests of all entries that come to this process,
// as the average over the groups.
func (q *queue) entryShare() float64 {
	sum, n := 0.0, 0
	for name, group := range q.groups {
		if name == "" {
			continue
		}
		share := &group.loadShare
		fraction := share.initial()
		if share.known {
			fraction = max(share.fraction, share.least())
		}
		sum += fraction
		n++
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// slots returns how many slots of a rank with a given state requests of the tier may use.
// Those that yield leave free what late requests leave free too, so that those of the urgent
// ones that are late are not behind them, and what is reserved. The least urgent ones also
// keep the passes short.
func (t tier) slots(state *upstreamState, passes *passRoom) int {
	if !t.yields {
		return state.slots
	}
	all := float64(state.slots)
	room := min(all*(1-lateReserve), all-t.reserved)
	if t.least {
		room = min(room, passes.requests(all))
	}
	return min(state.slots, max(minYieldingSlots, int(room+state.phase)))
}

// roomState describes the room of a request of the tier that a group has held back.
func (q *queue) roomState(t tier, now time.Time) RoomState {
	state := RoomState{
		Reserved: t.reserved,
		Share:    q.entryShare(),
	}
	if t.least {
		for _, group := range q.groups {
			state.Passes = max(state.Passes, group.passRoom.limit)
		}
	}
	if q.room.shared != nil {
		state.Age = now.Sub(q.room.sharedAt)
	}
	return state
}

// allotment returns what requests of the tier may use of a rank with a given state, of whose
// group this process may take a share. all is the number of its slots: requests that have
// begun may use those too which others leave free to keep passes short.
func (t tier) allotment(state *upstreamState, passes *passRoom, share float64, all int) allotment {
	if t.begun {
		return allotment{
			slots: all,
			begun: true,
		}
	}
	a := allotment{
		slots: t.slots(state, passes),
		quota: state.slotQuota,
		share: share,
	}
	if t.least {
		a.quota = state.yieldQuota // not the lesser one: each is rounded up at other ranks
	}
	return a
}
