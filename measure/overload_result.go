package measure

import (
	"slices"
	"strconv"
	"time"
)

// recovery returns the seconds after the overload until service is normal.
func (o *overload) recovery() int {
	last := int((overloadTime - overloadEnds - overloadDeadline) / time.Second)
	for second := last; second >= 0; second-- {
		waits := o.waits[second]
		slow := 0
		for _, wait := range waits {
			if wait < 0 || wait > normalWait {
				slow++
			}
		}
		if slow*20 > len(waits) {
			return second + 1
		}
	}
	return 0
}

// returns returns the seconds after the overload for which callers that come
// back keep the load above the capacity.
func (o *overload) returns() int {
	second := 0
	for float64(o.arrivals[second]) > o.capacity() {
		second++
	}
	return second
}

// results returns the line of the run.
func (o *overload) results(policy string) Line {
	length := (overloadEnds - overloadBegins - settling).Seconds()
	slices.Sort(o.told)
	told := time.Duration(0)
	if len(o.told) > 0 {
		told = o.told[len(o.told)*99/100]
	}
	return Line{
		{
			Key:   "policy",
			Value: policy,
		},
		{
			Key:   "load",
			Value: strconv.FormatFloat(o.load, 'g', -1, 64),
		},
		{
			Key:   "goodput",
			Value: float64(o.good) / length / o.capacity(),
		},
		{
			Key:   "small",
			Value: float64(o.smallGood) / float64(max(o.smallAsked, 1)),
		},
		{
			Key:   "refused",
			Value: float64(o.refusals) / float64(max(o.asked, 1)),
		},
		{
			Key:   "told",
			Value: told.Round(time.Millisecond / 10),
		},
		{
			Key:   "retries",
			Value: float64(o.retries) / float64(max(o.successes, 1)),
		},
		{
			Key:   "returns",
			Value: time.Duration(o.returns()) * time.Second,
		},
		{
			Key:   "recover",
			Value: time.Duration(max(0, o.recovery()-o.returns())) * time.Second,
		},
	}
}
