package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout limits the time to establish a connection.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// does not report its own limit.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the idle timeout, because the two ends start
	// to count at different times.
	idleMargin = 700 * time.Millisecond
	// readBuffer and writeBuffer are the sizes of the buffers of a connection in
	// bytes.
	readBuffer  = 2 << 10
	writeBuffer = 2 << 10
	// maxIdleConns is the largest number of idle connections to one upstream.
	maxIdleConns = 32
)

// ErrDial means that no connection could be established. Nothing was sent.
var ErrDial = errors.New("upstream cannot be reached")

// Pool keeps idle connections by upstream. The zero value is ready to use.
type Pool struct {
	// Dial establishes connections. If it is nil, they are TCP connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu   sync.Mutex
	idle map[foxtailstack.UpstreamName][]*Conn
	// dials counts the connections established.
	dials uint64
}

// Get returns an idle connection to an upstream that has not carried a request with an ID,
// or establishes one: a response on it to an earlier request with that ID could not be told
// from the one to the next.
func (p *Pool) Get(
	ctx context.Context,
	name foxtailstack.UpstreamName,
	address foxtailstack.Address,
	id RequestID,
) (*Conn, error) {
	for {
		conn := p.takeIdle(name, id)
		if conn == nil {
			break
		}
		if conn.usable(time.Now()) {
			conn.transfers.take()
			return conn, nil
		}
		conn.Close()
	}
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDial, err)
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	checked := &checkedReader{raw: raw}
	transfers := newTransferLog(raw)
	return &Conn{
		raw:       raw,
		checked:   checked,
		transfers: transfers,
		r:         bufio.NewReaderSize(checked, readBuffer),
		w:         bufio.NewWriterSize(transfers, writeBuffer),
	}, nil
}

// dial establishes a connection.
func (p *Pool) dial(ctx context.Context, address foxtailstack.Address) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if p.Dial != nil {
		return p.Dial(ctx, "tcp", string(address))
	}
	dialer := net.Dialer{
		KeepAlive: -1, // sends no TCP keep-alive probes
	}
	return dialer.DialContext(ctx, "tcp", string(address))
}

// Refuses reports whether an upstream refuses connections. An idle connection that is
// still open shows that it does not; otherwise Refuses dials, and keeps the connection
// for later requests. Errors other than a refusal, such as a timeout, count as none.
func (p *Pool) Refuses(ctx context.Context, name foxtailstack.UpstreamName, address foxtailstack.Address) bool {
	conn, err := p.Get(ctx, name, address, "")
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.PutUnused(name, conn)
	return false
}

// PutUnused returns a connection to the pool on which nothing was sent since Get returned
// it.
func (p *Pool) PutUnused(name foxtailstack.UpstreamName, conn *Conn) {
	if conn.expires.IsZero() {
		p.Put(name, conn, 0) // a new connection
		return
	}
	p.addIdle(name, conn)
}

// Put returns a connection to the pool for reuse, or closes it if it has carried as many
// requests as it may or if maxIdleConns to the upstream are idle already. idleTimeout is the
// idle timeout that the upstream reported; zero means defaultIdleTimeout. The connection
// expires idleMargin earlier.
func (p *Pool) Put(name foxtailstack.UpstreamName, conn *Conn, idleTimeout time.Duration) {
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout
	}
	conn.expires = time.Now().Add(idleTimeout - idleMargin)
	conn.checked.clearCheck()
	if conn.carried.full() {
		conn.Close()
		return
	}
	p.addIdle(name, conn)
}

// addIdle adds an idle connection to the pool, or closes it if maxIdleConns to the
// upstream are idle already.
func (p *Pool) addIdle(name foxtailstack.UpstreamName, conn *Conn) {
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

// takeIdle removes and returns the most recently used idle connection that has not carried a
// request with an ID, or nil if there is none.
func (p *Pool) takeIdle(name foxtailstack.UpstreamName, id RequestID) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[name]
	for i, conn := range slices.Backward(conns) {
		if conn.carried.has(id) {
			continue
		}
		p.idle[name] = slices.Delete(conns, i, i+1)
		return conn
	}
	return nil
}

// Dials returns the number of connections established so far.
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
	raw       net.Conn
	checked   *checkedReader
	transfers *transferLog
	carried   carriedIDs
	r         *bufio.Reader
	w         *bufio.Writer
	expires   time.Time
}

// Close closes the connection. It may be called concurrently with any other
// method.
func (c *Conn) Close() {
	_ = c.raw.Close() // no pending data have to reach the peer
}

// Abort ends the connection of an abandoned request. If the peer has not
// acknowledged all bytes of the request, Abort resets the connection, so that the
// rest is dropped and cannot arrive later. Otherwise Abort closes it: the kernel
// retransmits a close until the peer has received it, but does not retransmit a
// reset. Abort reports whether it resets the connection. It may be called concurrently with
// any other method.
func (c *Conn) Abort() bool {
	tcp, ok := c.raw.(*net.TCPConn)
	reset := ok && c.unacknowledged(tcp)
	if reset {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
	c.Close()
	return reset
}

// unacknowledged reports whether the peer has not acknowledged all sent bytes. It
// returns true if that cannot be determined.
func (c *Conn) unacknowledged(tcp *net.TCPConn) bool {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	pendingBytes := 1
	err = raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if err == nil {
			pendingBytes = n
		}
	})
	return err != nil || pendingBytes > 0
}

// usable reports whether an idle connection can carry another request: it has not
// expired, and the peer has neither closed it nor sent unsolicited data. Whether
// the peer has done so is not checked if the connection is no syscall.Conn.
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
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(errno, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}
