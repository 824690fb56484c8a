package gateway

import (
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/memory"
)

// answerHolding returns a Holding of Memory for the response of an upstream.
func (g *Gateway) answerHolding(upstream foxtailstack.UpstreamName) *memory.Holding {
	g.answersOnce.Do(func() {
		g.answers.Account = &g.Memory
		g.answers.Bound = g.AnswerShare
	})
	return g.answers.Holding(string(upstream))
}

// releaseMemory ends all that is held for the request.
func (c *call) releaseMemory() {
	c.holding.Release()
	for _, h := range c.earlier {
		h.Release()
	}
}

// heldAtMost returns the largest number of bytes that were held for the body of the request
// and a response that was buffered.
func (c *call) heldAtMost() foxtailstack.Bytes {
	most := foxtailstack.Bytes(0)
	for _, h := range c.earlier {
		most = max(most, h.Peak())
	}
	return c.holding.Peak() + most
}
