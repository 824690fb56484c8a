package node

import (
	"net"

	"github.com/foxtailstack/foxtailstack/fleet"
)

// newAPI returns the resource API of an entry. Without the hash of an admin's
// token it is open on a plain loopback listener, and closed to all but the
// operators of teams elsewhere.
func (e *Entry) newAPI() *fleet.API {
	hash := e.settings.Operators.TokenHash
	return &fleet.API{
		Store:   fleet.Store{Table: e.table},
		Replica: e.replica,
		Status:  e.spreader.Status,
		Ready:   e.spreader.Ready,
		Hash:    hash,
		Open:    hash == "" && e.settings.TLS.Plaintext && loopback(e.listener.Addr()),
	}
}

// loopback reports whether only processes of the same machine reach an address.
func loopback(addr net.Addr) bool {
	tcp, ok := addr.(*net.TCPAddr)
	return ok && tcp.IP.IsLoopback()
}
