package gateway

import (
	"context"
	"errors"
	"slices"
	"strings"

	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/quarantine"
	"github.com/foxtailstack/foxtailstack/route"
	"go.uber.org/zap"
)

// checkCrash passes an attempt that failed with err to the detector of crashes if the
// upstream may have crashed under it. Silence counts only before the first content: an
// upstream that has sent some did not crash when it began to run the request. A lost
// connection counts for the parts of the prompt only before that too.
func (c *call) checkCrash(ctx context.Context, u route.Upstream, err error) {
	attempt := quarantine.Attempt{
		Subject:  c.subject,
		Trial:    c.trial,
		Progress: c.answer,
	}
	switch {
	case errors.Is(err, errSlowRank):
	case ctx.Err() != nil, errors.Is(err, errStalled):
		if attempt.Progress != quarantine.Begun {
			c.gateway.Crashes.Unanswered(attempt, u)
		}
	case errors.Is(err, exchange.ErrBroken), errors.Is(err, errBrokenOff):
		c.gateway.Crashes.ConnectionLost(ctx, attempt, u)
	}
}

// recordBegun records that the upstream has sent a part of the content of its response.
func (c *call) recordBegun() {
	if c.answer == quarantine.Begun {
		return
	}
	c.answer = quarantine.Begun
	c.gateway.Quarantine.Begun(c.subject)
}

// logTrial logs that the attempt tests parts of the prompt.
func (c *call) logTrial() {
	if len(c.trial) == 0 {
		return
	}
	trialsTotal.Inc()
	var parts []exchange.PromptPart
	for _, key := range c.trial {
		parts = append(parts, c.partOf(key))
	}
	c.gateway.Log.Info("suspect parts tested",
		zap.String("request", string(c.requestInfo.ID)),
		zap.String("upstream", string(c.upstream)),
		zap.String("parts", joinParts(parts)))
}

// partOf returns the part of the prompt with a fingerprint, or none.
func (c *call) partOf(key quarantine.Fingerprint) exchange.PromptPart {
	at := slices.Index(c.subject.Parts, key)
	if at < 0 {
		return ""
	}
	return c.requestInfo.SharedParts[at]
}

// newSubject returns what the request may crash an upstream by. The fingerprint of the
// request stays the same when the caller sends it again to any entry; of its header only
// the host and the team count.
func (c *call) newSubject() quarantine.Subject {
	subject := quarantine.Subject{
		Request: quarantine.FingerprintOf(
			[]byte(c.r.Method),
			[]byte(strings.ToLower(c.r.Host)),
			[]byte(c.r.RequestURI),
			[]byte(c.team),
			c.body,
		),
	}
	for _, part := range c.requestInfo.SharedParts {
		subject.Parts = append(subject.Parts, quarantine.FingerprintOf([]byte(c.service), []byte(part)))
	}
	return subject
}
