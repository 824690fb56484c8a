package scenario

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rogpeppe/go-internal/testscript"
)

// maxPacket is the size of the largest UDP packet in bytes.
const maxPacket = 64 << 10

// link forwards the packets between other processes and one of them, until it
// is cut.
type link struct {
	front  *net.UDPConn
	target *net.UDPAddr
	cut    atomic.Bool

	mu      sync.Mutex
	clients map[string]*net.UDPConn
}

// newLink returns a link to the process that listens on target.
func newLink(target string) (*link, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	l := &link{
		front:   front,
		target:  to,
		clients: map[string]*net.UDPConn{},
	}
	go l.forward()
	return l, nil
}

// address returns the address of the link.
func (l *link) address() string {
	return l.front.LocalAddr().String()
}

// forward carries packets to the process.
func (l *link) forward() {
	buffer := make([]byte, maxPacket)
	for {
		n, from, err := l.front.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || l.cut.Load() {
			continue
		}
		conn, err := l.client(from)
		if err == nil {
			_, _ = conn.Write(buffer[:n]) // a packet may be lost
		}
	}
}

// client returns the connection that stands for the sender of a packet.
func (l *link) client(from *net.UDPAddr) (*net.UDPConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn := l.clients[from.String()]
	if conn != nil {
		return conn, nil
	}
	conn, err := net.DialUDP("udp", nil, l.target)
	if err != nil {
		return nil, err
	}
	l.clients[from.String()] = conn
	go l.back(conn, from)
	return conn, nil
}

// back carries packets from the process to one client.
func (l *link) back(conn *net.UDPConn, to *net.UDPAddr) {
	buffer := make([]byte, maxPacket)
	for {
		n, err := conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && !l.cut.Load() {
			_, _ = l.front.WriteToUDP(buffer[:n], to) // a packet may be lost
		}
	}
}

// close ends the link.
func (l *link) close() {
	_ = l.front.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.clients {
		_ = conn.Close()
	}
}

// linkTo returns the link to a process, which a script's configuration names in
// place of its own address.
func (s *system) linkTo(name string) (*link, error) {
	if l := s.links[name]; l != nil {
		return l, nil
	}
	l, err := newLink(s.peerAddress(name))
	if err == nil {
		s.links[name] = l
	}
	return l, err
}

// cut drops all packets to and from a process.
func (s *system) cut(_ *testscript.TestScript, args []string) error {
	return s.setCut(args, true)
}

// heal lets packets pass again.
func (s *system) heal(_ *testscript.TestScript, args []string) error {
	return s.setCut(args, false)
}

func (s *system) setCut(args []string, cut bool) error {
	if len(args) != 1 || s.links[args[0]] == nil {
		return errUsage
	}
	s.links[args[0]].cut.Store(cut)
	return nil
}
