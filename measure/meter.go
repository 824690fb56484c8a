package measure

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// headerBytes is the size of the headers of IP and UDP.
	headerBytes = 28
	// packetBuffer is the size of the largest packet that a meter carries.
	packetBuffer = 2 << 10
)

// meter forwards the packets to and from one process and counts their bytes,
// the headers of IP and UDP included.
type meter struct {
	front  *net.UDPConn
	target *net.UDPAddr
	bytes  atomic.Int64

	mu      sync.Mutex
	clients map[string]*net.UDPConn
}

// newMeter returns a meter in front of the process that listens on target.
func newMeter(target net.Addr) (*meter, error) {
	to, err := net.ResolveUDPAddr("udp", target.String())
	if err != nil {
		return nil, err
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	m := &meter{
		front:   front,
		target:  to,
		clients: map[string]*net.UDPConn{},
	}
	go m.forward()
	return m, nil
}

// address returns the address that stands for the process.
func (m *meter) address() foxtailstack.Address {
	return foxtailstack.Address(m.front.LocalAddr().String())
}

// forward carries packets to the process.
func (m *meter) forward() {
	buffer := make([]byte, packetBuffer)
	for {
		n, from, err := m.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		m.bytes.Add(int64(n + headerBytes))
		conn, err := m.client(from)
		if err == nil {
			_, _ = conn.Write(buffer[:n]) // a packet may be lost
		}
	}
}

// client returns the connection that stands for the sender of a packet.
func (m *meter) client(from *net.UDPAddr) (*net.UDPConn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	conn := m.clients[from.String()]
	if conn != nil {
		return conn, nil
	}
	conn, err := net.DialUDP("udp", nil, m.target)
	if err != nil {
		return nil, err
	}
	m.clients[from.String()] = conn
	go m.back(conn, from)
	return conn, nil
}

// back carries packets from the process to one client.
func (m *meter) back(conn *net.UDPConn, to *net.UDPAddr) {
	buffer := make([]byte, packetBuffer)
	for {
		n, err := conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			m.bytes.Add(int64(n + headerBytes))
			_, _ = m.front.WriteToUDP(buffer[:n], to) // a packet may be lost
		}
	}
}

// close ends the meter.
func (m *meter) close() {
	_ = m.front.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, conn := range m.clients {
		_ = conn.Close()
	}
}
