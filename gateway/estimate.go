package gateway

import (
	"time"

	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/route"
)

// Figures of estimates.
const (
	// minTimeToFirstEvent is the typical time from sending a request to the first
	// event of its stream. Estimates are never below it.
	minTimeToFirstEvent = 180 * time.Millisecond
	// passesToFirstEvent is the typical number of passes from sending a request to
	// the first event of its stream. It is used in estimates only.
	passesToFirstEvent = 2
	// minPassTime is the lower bound of the pass time in estimates of the service
	// time; a measured pass can be shorter. It does not apply to the time to the
	// first event.
	minPassTime = 40 * time.Millisecond
	// maxOpeningTime bounds how much later than usual a first event is expected when a group
	// opens.
	maxOpeningTime = 500 * time.Millisecond
	// lengthHintFactor scales the expected output length, which is the caller's
	// estimate or else its limit. Such estimates are often too high.
	lengthHintFactor = 0.7
)

// estimateTimes sets the time estimates of a request to a group. An event of a
// stream takes a pass; events that the caller has are not made again. A stream whose
// events come further apart than the route allows misses its target whenever it
// starts. Its soft deadline is therefore the time of arrival, so that it counts as late
// from the start and the queue serves requests that can still be on time before it.
func (c *call) estimateTimes(request *dispatch.Request, group *route.Group) {
	passTime := c.gateway.Scheduler.PassTime(c.service)
	request.PassBounds = dispatch.PassBounds{
		Base:        time.Duration(group.TokenStepsPerPass) * group.TokenStepTime,
		PerRequest:  time.Duration(group.TokenStepsPerPass) * group.TokenStepTimePerSequence,
		MaxEventGap: c.route.MaxEventGap,
	}
	request.SoftDeadline = c.arrived.Add(c.route.TargetLatency - minTimeToFirstEvent)
	if c.route.MaxEventGap > 0 && passTime > c.route.MaxEventGap {
		request.SoftDeadline = c.arrived
	}
	tokens := c.requestInfo.ExpectedOutputTokens
	if tokens == 0 || c.requestInfo.MaxOutputTokens > 0 && tokens > c.requestInfo.MaxOutputTokens {
		tokens = c.requestInfo.MaxOutputTokens
	}
	request.TimeToFirstEvent = max(minTimeToFirstEvent, passesToFirstEvent*passTime)
	if c.gateway.Scheduler.Broken(c.service) {
		request.TimeToFirstEvent += c.openingTime(group)
	}
	if c.route.Kind == route.Stream && !c.stream.headerSent {
		request.AbandonAt = c.arrived.Add(c.route.AbandonTimeout())
	}
	events := int64(tokens)/int64(max(group.TokenStepsPerPass, 1)) - c.receivedEvents()
	request.MinServiceTime = request.TimeToFirstEvent + time.Duration(lengthHintFactor*float64(max(events, 0)))*max(passTime, minPassTime)
	c.minServiceTime = request.MinServiceTime
	c.abandonAt = request.AbandonAt
}

// openingTime returns by how much the first event of a request that is sent when a group opens
// is later than usual: all slots of the rank are filled at once, and the rank reads all
// prompts before it begins to answer. The others are taken to be as long as this one.
func (c *call) openingTime(group *route.Group) time.Duration {
	if group.PromptTokensPerSecond <= 0 {
		return 0
	}
	tokens := float64(group.Slots) * float64(c.requestInfo.PromptTokens)
	return min(time.Duration(tokens/group.PromptTokensPerSecond*float64(time.Second)), maxOpeningTime)
}
