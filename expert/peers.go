package expert

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/wire"
)

// StreamExpert is the kind of the streams that carry messages of a group.
const StreamExpert wire.Kind = "expert"

const (
	// peerQueue is the number of messages that wait for a peer.
	peerQueue = 64
	// openTimeout bounds the time to open a stream to a peer.
	openTimeout = 2 * time.Second
	// peerIdle is how long a stream to a peer is kept without messages.
	peerIdle = 30 * time.Second
)

// envelope names the group that a message is for.
type envelope struct {
	Group   string  `cbor:"1,keyasint"`
	Message Message `cbor:"2,keyasint"`
}

// PeerTransport is a Transport over one stream to each peer that there is something to
// send to. What cannot be sent is dropped; members send it again.
type PeerTransport struct {
	Client *wire.Client
	Group  string
	// Address returns the address of a rank, or none.
	Address func(foxtailstack.Rank) (foxtailstack.Address, bool)
	// Context ends all sending.
	Context context.Context

	mu     sync.Mutex
	queues map[foxtailstack.Rank]chan Message
}

// Send queues a message for its rank. It drops it if too many wait.
func (p *PeerTransport) Send(msg Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	queue, ok := p.queues[msg.To]
	if !ok {
		if p.queues == nil {
			p.queues = map[foxtailstack.Rank]chan Message{}
		}
		queue = make(chan Message, peerQueue)
		p.queues[msg.To] = queue
		go p.run(msg.To, queue)
	}
	select {
	case queue <- msg:
	default:
	}
}

// run sends what is queued for a rank, until there has been nothing for a while.
func (p *PeerTransport) run(rank foxtailstack.Rank, queue chan Message) {
	var stream *wire.Stream
	defer func() {
		if stream != nil {
			stream.Cancel()
		}
	}()
	idle := time.NewTimer(peerIdle)
	defer idle.Stop()
	for {
		select {
		case <-p.Context.Done():
			return
		case <-idle.C:
			if p.forget(rank, queue) {
				return
			}
			idle.Reset(peerIdle)
		case msg := <-queue:
			idle.Reset(peerIdle)
			stream = p.write(rank, stream, msg)
		}
	}
}

// forget removes an empty queue and reports whether it did.
func (p *PeerTransport) forget(rank foxtailstack.Rank, queue chan Message) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(p.queues, rank)
	return true
}

// write sends one message and returns the stream to use next, or nil after a
// failure.
func (p *PeerTransport) write(rank foxtailstack.Rank, stream *wire.Stream, msg Message) *wire.Stream {
	if stream == nil {
		address, ok := p.Address(rank)
		if !ok {
			return nil
		}
		ctx, cancel := context.WithTimeout(p.Context, openTimeout)
		defer cancel()
		opened, err := p.Client.Open(ctx, address, StreamExpert)
		if err != nil {
			return nil
		}
		stream = opened
	}
	err := stream.Send(envelope{
		Group:   p.Group,
		Message: msg,
	})
	if err != nil {
		stream.Cancel()
		return nil
	}
	return stream
}

// Inbox hands the messages of streams to the agent of their group. The zero
// value drops all.
type Inbox struct {
	mu    sync.Mutex
	group string
	agent *Agent
}

// SetAgent names the agent that takes the messages of a group.
func (i *Inbox) SetAgent(group string, agent *Agent) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.group = group
	i.agent = agent
}

// Serve is the handler of StreamExpert.
func (i *Inbox) Serve(_ context.Context, stream *wire.Stream) {
	for {
		var e envelope
		err := stream.Receive(&e)
		if err != nil {
			return
		}
		i.mu.Lock()
		agent := i.agent
		if e.Group != i.group {
			agent = nil
		}
		i.mu.Unlock()
		if agent != nil && e.Message.valid() {
			agent.Receive(e.Message)
		}
	}
}

// valid reports whether an attempt in a message is the one that it names.
func (m Message) valid() bool {
	if m.Vote != nil && m.Vote.Attempt != nil && m.Vote.Attempt.ID() != m.Vote.ID {
		return false
	}
	if m.Answer == nil {
		return true
	}
	for _, h := range m.Answer.State.Held {
		if h.Attempt == nil || h.Attempt.ID() != h.ID {
			return false
		}
	}
	return true
}
