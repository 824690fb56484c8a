package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the making of a connection.
	dialTimeout = 400 * time.Millisecond
	// defaultIdle is how long a connection is kept if the upstream does not say.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the time that the upstream says, since both ends
	// count from different moments.
	idleMargin = 700 * time.Millisecond
	// readBuffer and writeBuffer are the sizes of the buffers of a connection in bytes.
	readBuffer  = 2 << 10
	writeBuffer = 2 << 10
	// maxIdleConns is the number of idle connections kept to one upstream.
	maxIdleConns = 32
)

// ErrDial means that no connection could be made, so that nothing was sent.
var ErrDial = errors.New("upstream cannot be reached")

// Pool keeps idle connections by upstream. The zero value is ready to use.
type Pool struct {
	mu   sync.Mutex
	idle map[foxtailstack.UpstreamName][]*Conn
	// dials counts the connections made.
	dials uint64
}

// Get returns an idle connection to an upstream, or makes one.
func (p *Pool) Get(
	ctx context.Context,
	name foxtailstack.UpstreamName,
	address foxtailstack.Address,
) (*Conn, error) {
	for {
		conn := p.take(name)
		if conn == nil {
			break
		}
		if conn.usable(time.Now()) {
			return conn, nil
		}
		conn.Close()
	}
	dialer := net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: -1,
	}
	raw, err := dialer.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDial, err)
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	in := &input{raw: raw}
	return &Conn{
		raw: raw,
		in:  in,
		r:   bufio.NewReaderSize(in, readBuffer),
		w:   bufio.NewWriterSize(raw, writeBuffer),
	}, nil
}

// Put keeps a connection for the next request, for at most the time that the
// upstream said.
func (p *Pool) Put(name foxtailstack.UpstreamName, conn *Conn, keep time.Duration) {
	if keep == 0 {
		keep = defaultIdle
	}
	conn.expires = time.Now().Add(keep - idleMargin)
	conn.in.unwatch()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[foxtailstack.UpstreamName][]*Conn)
	}
	if len(p.idle[name]) >= maxIdleConns {
		conn.Close()
		return
	}
	p.idle[name] = append(p.idle[name], conn)
}

// take returns the connection that was used last, or nil.
func (p *Pool) take(name foxtailstack.UpstreamName) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[name]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	p.idle[name] = conns[:len(conns)-1]
	return conn
}

// Dials returns the number of connections made so far.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Sweep closes the idle connections that have expired.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, conns := range p.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if now.Before(conn.expires) {
				kept = append(kept, conn)
				continue
			}
			conn.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, name)
			continue
		}
		p.idle[name] = kept
	}
}

// Conn is a connection to an upstream.
type Conn struct {
	raw     net.Conn
	in      *input
	r       *bufio.Reader
	w       *bufio.Writer
	expires time.Time
}

// Close ends the connection. It may be called while others use it.
func (c *Conn) Close() {
	_ = c.raw.Close() // nothing is owed to the peer
}

// Abort ends a connection whose request was given up. If bytes of the request are
// still on the way it resets the connection, so that they are lost and do not arrive
// later. If all have arrived it closes it: a close is sent again until the peer has
// it, a reset is not. It may be called while others use the connection.
func (c *Conn) Abort() {
	tcp, ok := c.raw.(*net.TCPConn)
	if ok && c.unacknowledged(tcp) {
		_ = tcp.SetLinger(0) // it may be closed already
	}
	c.Close()
}

// unacknowledged reports whether the peer has not yet acknowledged all that was
// sent, or whether that cannot be told.
func (c *Conn) unacknowledged(tcp *net.TCPConn) bool {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	left := 1
	err = raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if err == nil {
			left = n
		}
	})
	return err != nil || left > 0
}

// usable reports whether an idle connection can carry another request: it has
// not expired, the peer has not closed it and has sent nothing unasked.
func (c *Conn) usable(now time.Time) bool {
	if !now.Before(c.expires) || c.r.Buffered() > 0 {
		return false
	}
	sys, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(errno, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
