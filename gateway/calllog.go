package gateway

import (
	"errors"
	"strings"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/exchange"
	"go.uber.org/zap"
)

// logMove logs to which upstream a request goes that was sent before, or why to none.
func (c *call) logMove(reservation *dispatch.Reservation, err error, waited time.Duration) {
	if len(c.mayHaveRun) == 0 {
		return
	}
	to := foxtailstack.UpstreamName("")
	if reservation != nil {
		to = reservation.Upstream.Name
	}
	c.gateway.Log.Info("request moved",
		zap.String("request", string(c.requestInfo.ID)),
		zap.String("upstream", string(c.upstream)),
		zap.String("to", string(to)),
		zap.Int64("event", c.stream.lastEventID),
		zap.Duration("waited", waited),
		zap.Error(err))
}

// logHeld logs what held the request back while ranks had free slots, if anything did.
func (c *call) logHeld(reservation *dispatch.Reservation, err error, waited time.Duration) {
	var held dispatch.RoomState
	var overload *dispatch.OverloadError
	switch {
	case reservation != nil:
		held = reservation.Held
	case errors.As(err, &overload):
		held = overload.Held
	}
	if held.Cause == dispatch.NotHeld {
		return
	}
	countHeldBack(held.Cause)
	c.gateway.Log.Info("request held back",
		zap.String("request", string(c.requestInfo.ID)),
		zap.Int("urgency", c.urgency),
		zap.Duration("waited", waited),
		zap.Stringer("cause", held.Cause),
		zap.Int("free", held.Free),
		zap.Float64("passes", held.Passes),
		zap.Float64("reserved", held.Reserved),
		zap.Float64("share", held.Share),
		zap.Duration("age", held.Age))
}

// logOverload logs the estimates from which the scheduler concluded that the request
// cannot be served in time, if that is what err says.
func (c *call) logOverload(err error) {
	var overload *dispatch.OverloadError
	if !errors.As(err, &overload) {
		return
	}
	untilAbandon := time.Duration(0)
	if !c.abandonAt.IsZero() {
		untilAbandon = time.Until(c.abandonAt)
	}
	c.gateway.Log.Info("request cannot be served in time",
		zap.String("request", string(c.requestInfo.ID)),
		zap.Int("urgency", c.urgency),
		zap.Int("queued", overload.Queued),
		zap.Int("ahead", overload.Ahead),
		zap.Duration("wait", overload.Wait),
		zap.Duration("pass", overload.PassTime),
		zap.Duration("needs", c.minServiceTime),
		zap.Duration("left", time.Until(c.deadline)),
		zap.Duration("patience", untilAbandon))
}

// finish logs the end of the request and updates the metrics.
func (c *call) finish(status int, reason endReason) {
	countRequest(status, reason, c.timeToFirstByte, time.Since(c.arrived))
	queueSeconds.Update(c.queueTime.Seconds())
	c.endOnce(status)
	if refuses(status) && !c.idempotent() {
		countPromise(c.belief())
	}
	name := ""
	target, allowedGap := time.Duration(0), time.Duration(0)
	if c.route != nil {
		name = c.route.Name
		target = c.route.TargetLatency
		allowedGap = c.route.MaxEventGap
	}
	config := uint64(0)
	if c.cfg != nil {
		config = uint64(c.cfg.Version)
	}
	c.gateway.Log.Info("request",
		zap.String("request", string(c.requestInfo.ID)),
		zap.String("route", name),
		zap.String("team", string(c.team)),
		zap.Int("urgency", c.urgency),
		zap.String("service", string(c.service)),
		zap.String("upstream", string(c.upstream)),
		zap.Int("status", status),
		zap.String("reason", string(reason)),
		zap.Bool("idempotent", c.idempotent()),
		zap.Stringer("belief", c.belief()),
		zap.Int("ran", len(c.mayHaveRun)),
		zap.Int("refusals", c.refusals),
		zap.Int("sends", c.sendCount),
		zap.Uint64("conn", c.current.transfer.Conn),
		zap.Stringer("fingerprint", c.subject.Request),
		zap.String("parts", joinParts(c.requestInfo.SharedParts)),
		zap.Int64("events", c.stream.lastEventID),
		zap.Duration("waited", c.queueTime),
		zap.Duration("first", c.timeToFirstByte),
		zap.Duration("target", target),
		zap.Duration("gap", c.stream.longestGap),
		zap.Duration("allowed", allowedGap),
		zap.Duration("took", time.Since(c.arrived)),
		zap.Duration("given", c.allowedTime()),
		zap.Int64("held", int64(c.heldAtMost())),
		zap.Uint64("config", config),
		zap.Duration("age", c.gateway.View.ConfigAge(c.gateway.Now())))
}

// joinParts returns the parts of a prompt in one field of the log.
func joinParts(parts []exchange.PromptPart) string {
	var b strings.Builder
	for i, part := range parts {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(string(part))
	}
	return b.String()
}
