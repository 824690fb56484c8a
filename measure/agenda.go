package measure

import (
	queue "container/heap"
	"time"
)

// agenda runs functions in virtual time, those of the same time in the order in
// which they were added. The zero value begins at the zero time.
type agenda struct {
	now    time.Time
	order  uint64
	events eventHeap
}

// event is a function to be run at a time.
type event struct {
	at    time.Time
	order uint64
	do    func()
}

// in runs do after a time.
func (a *agenda) in(d time.Duration, do func()) {
	queue.Push(&a.events, event{
		at:    a.now.Add(d),
		order: a.order,
		do:    do,
	})
	a.order++
}

// every runs do again and again, a period apart.
func (a *agenda) every(period time.Duration, do func()) {
	a.in(period, func() {
		do()
		a.every(period, do)
	})
}

// run runs what is due within a time.
func (a *agenda) run(d time.Duration) {
	end := a.now.Add(d)
	for len(a.events) > 0 && !a.events[0].at.After(end) {
		next, _ := queue.Pop(&a.events).(event)
		a.now = next.at
		next.do()
	}
	a.now = end
}

// eventHeap is a heap of events by time and order.
type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

// Push adds an event.
func (h *eventHeap) Push(x any) {
	e, _ := x.(event)
	*h = append(*h, e)
}

// Pop takes the last event.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
