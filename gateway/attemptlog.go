package gateway

import (
	"time"

	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

// attemptLog is what the log tells of one attempt.
type attemptLog struct {
	// upstream is where the attempt goes.
	upstream route.Upstream
	// number is the number of the attempt among those of the request that were sent, from
	// one; zero if nothing was sent.
	number int
	// transfer is what its connection had done when the header of the response had been read,
	// or the exchange had failed before that, which was after the request was sent.
	transfer exchange.Transfer
	after    time.Duration
	// in is the response; nil if its header did not come.
	in *exchange.IncomingResponse
}

// recordExchange records what came of sending the request on a connection; in is nil if no
// response came. It has to be called before the connection returns to its pool.
func (c *call) recordExchange(conn *exchange.Conn, in *exchange.IncomingResponse) {
	a := &c.current
	a.number = c.sendCount
	a.in = in
	a.transfer = conn.Transfer()
	if in != nil {
		a.transfer = in.Transfer
	}
	a.after = time.Since(a.transfer.Began)
	informationalTotal.Add(a.transfer.Informational)
}

// logAnswer logs that the upstream has begun to answer the current attempt, unless that is
// the first and nothing about it is unusual: the line about the request tells enough then.
func (c *call) logAnswer() {
	t := c.current.transfer
	if c.current.number == 1 && t.Whole && t.Skipped == 0 && t.Informational == 0 {
		return
	}
	c.gateway.Log.Info("attempt answered", c.attemptFields()...)
}

// attemptFields returns the fields of the lines about the current attempt, and about what is
// believed of the request after it.
func (c *call) attemptFields() []zap.Field {
	fields := append(c.transferFields(c.current), c.current.responseFields()...)
	return append(fields,
		zap.Stringer("belief", c.belief()),
		zap.Int("ran", len(c.mayHaveRun)))
}

// transferFields returns the fields that tell where an attempt went and how much of it. If
// nothing was sent, there are none about the connection.
func (c *call) transferFields(a attemptLog) []zap.Field {
	fields := []zap.Field{
		zap.String("request", string(c.requestInfo.ID)),
		zap.String("upstream", string(a.upstream.Name)),
		zap.String("address", string(a.upstream.Address)),
		zap.Int("send", a.number),
	}
	if a.transfer.Conn == 0 {
		return fields
	}
	sent := time.Duration(0)
	if !a.transfer.Began.IsZero() {
		sent = a.transfer.Began.Sub(c.arrived)
	}
	return append(fields,
		zap.Uint64("conn", a.transfer.Conn),
		zap.Bool("kept", a.transfer.Kept),
		zap.Int("carried", a.transfer.Carried),
		zap.Duration("sent", sent),
		zap.Int64("written", a.transfer.Written),
		zap.Bool("whole", a.transfer.Whole),
		zap.Int("skipped", a.transfer.Skipped),
		zap.Int("informational", a.transfer.Informational),
		zap.Duration("after", a.after))
}

// responseFields returns the fields that tell what the upstream said, if it said anything.
func (a *attemptLog) responseFields() []zap.Field {
	if a.in == nil {
		return nil
	}
	return []zap.Field{
		zap.Int("status", a.in.Status),
		zap.String("id", string(a.in.ID)),
		zap.Bool("notrun", a.in.NotRun),
		zap.Bool("proven", a.in.OriginProven),
	}
}

// logAttemptFailure logs why the current attempt failed.
func (c *call) logAttemptFailure(message string, err error) {
	c.gateway.Log.Info(message, append(c.attemptFields(),
		zap.Int64("event", c.stream.lastEventID),
		zap.Stringer("answer", c.answer),
		zap.Stringer("fingerprint", c.subject.Request),
		zap.String("parts", joinParts(c.requestInfo.SharedParts)),
		zap.Error(err))...)
}

// logRefusal logs and counts that the upstream refused the current attempt. err is that of
// reading the body of the refusal, if that failed.
func (c *call) logRefusal(err error) {
	in := c.current.in
	countRefusal(in)
	c.gateway.Log.Info("attempt refused", append(c.attemptFields(),
		zap.String("culprit", string(in.Culprit)),
		zap.Error(err))...)
}

// logAbandoned logs that the connection to an upstream was ended because the caller has left
// or the time of the request is over. It may be called concurrently with the attempt, but not
// after it.
func (c *call) logAbandoned(a attemptLog, conn *exchange.Conn, reset bool) {
	a.transfer = conn.Transfer()
	if !a.transfer.Began.IsZero() {
		a.after = time.Since(a.transfer.Began)
	}
	c.gateway.Log.Info("attempt abandoned", append(c.transferFields(a), zap.Bool("reset", reset))...)
}

// logSkipped logs and counts that a response to another request was skipped.
func (c *call) logSkipped(skipped exchange.SkippedResponse) {
	skippedOtherTotal.Inc()
	c.gateway.Log.Info("response to another request skipped",
		zap.String("request", string(c.requestInfo.ID)),
		zap.String("upstream", string(c.upstream)),
		zap.Int("send", c.sendCount),
		zap.Uint64("conn", skipped.Conn),
		zap.Bool("kept", skipped.Kept),
		zap.Int("carried", skipped.Carried),
		zap.Bool("whole", skipped.Whole),
		zap.Duration("after", time.Since(skipped.Began)),
		zap.String("found", string(skipped.Found)),
		zap.Int("status", skipped.Status))
}
