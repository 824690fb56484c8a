package expert

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/wire"
)

// StreamExpert is the kind of the streams that carry messages between the
// members of a group.
const StreamExpert wire.Kind = "expert"

const (
	// peerQueueSize is the number of messages that may wait to be sent to a
	// peer.
	peerQueueSize = 64
	// openTimeout limits the time to open a stream to a peer.
	openTimeout = 2 * time.Second
	// peerIdleTimeout is how long a stream without messages to send is kept
	// open.
	peerIdleTimeout = 30 * time.Second
)

// envelope is a message with the group that it is for.
type envelope struct {
	Group   string  `cbor:"1,keyasint"`
	Message Message `cbor:"2,keyasint"`
}

// PeerTransport is a Transport over one stream to each peer, opened when the
// first message for the peer is sent. It drops messages that it cannot send;
// members resend them.
type PeerTransport struct {
	Client *wire.Client
	Group  string
	// Address returns the address of a rank, or false if it is not known.
	Address func(foxtailstack.Rank) (foxtailstack.Address, bool)
	// Context ends all sending when it is done.
	Context context.Context

	mu     sync.Mutex
	queues map[foxtailstack.Rank]chan Message
}

// Send queues a message for its rank. It drops the message if the queue is full.
func (p *PeerTransport) Send(msg Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	queue, ok := p.queues[msg.To]
	if !ok {
		if p.queues == nil {
			p.queues = map[foxtailstack.Rank]chan Message{}
		}
		queue = make(chan Message, peerQueueSize)
		p.queues[msg.To] = queue
		go p.sendQueued(msg.To, queue)
	}
	select {
	case queue <- msg:
	default:
	}
}

// sendQueued sends the messages queued for a rank, until there has been none for
// peerIdleTimeout.
func (p *PeerTransport) sendQueued(rank foxtailstack.Rank, queue chan Message) {
	var stream *wire.Stream
	defer func() {
		if stream != nil {
			stream.Cancel()
		}
	}()
	idle := time.NewTimer(peerIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-p.Context.Done():
			return
		case <-idle.C:
			if p.removeIfEmpty(rank, queue) {
				return
			}
			idle.Reset(peerIdleTimeout)
		case msg := <-queue:
			idle.Reset(peerIdleTimeout)
			stream = p.sendMessage(rank, stream, msg)
		}
	}
}

// removeIfEmpty removes the queue of a rank if it is empty and reports whether
// it did.
func (p *PeerTransport) removeIfEmpty(rank foxtailstack.Rank, queue chan Message) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(p.queues, rank)
	return true
}

// sendMessage sends one message and returns the stream to use for the next one,
// or nil after a failure.
func (p *PeerTransport) sendMessage(rank foxtailstack.Rank, stream *wire.Stream, msg Message) *wire.Stream {
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

// Inbox passes messages received from streams to the agent of one group. The
// zero value drops all messages.
type Inbox struct {
	mu    sync.Mutex
	group string
	agent *Agent
}

// SetAgent sets the agent that receives the messages of a group. Messages for
// other groups are dropped.
func (i *Inbox) SetAgent(group string, agent *Agent) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.group = group
	i.agent = agent
}

// Serve is the stream handler for StreamExpert. It drops messages with an attempt
// that does not have the hash in its AttemptID.
func (i *Inbox) Serve(_ context.Context, stream *wire.Stream) {
	for {
		var received envelope
		err := stream.Receive(&received)
		if err != nil {
			return
		}
		i.mu.Lock()
		agent := i.agent
		if received.Group != i.group {
			agent = nil
		}
		i.mu.Unlock()
		if agent != nil && received.Message.attemptIDsMatch() {
			agent.Receive(received.Message)
		}
	}
}

// attemptIDsMatch reports whether each attempt in m has the hash under which m
// names it. Members take attempts with the same AttemptID for the same attempt and
// do not compare their contents.
func (m Message) attemptIDsMatch() bool {
	if m.Votes != nil && m.Votes.Attempt != nil && m.Votes.Attempt.ID() != m.Votes.ID {
		return false
	}
	if m.StateResponse == nil {
		return true
	}
	for _, record := range m.StateResponse.State.Undecided {
		if record.Attempt == nil || record.Attempt.ID() != record.ID {
			return false
		}
	}
	return true
}
