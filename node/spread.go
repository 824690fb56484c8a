package node

import (
	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/fleet"
)

// newSpreader returns what keeps the configuration of a process up to date, and
// lets other processes follow it. It must be called before listenPeers.
func (b *base) newSpreader(role foxtailstack.Role, replica *fleet.Replica) *fleet.Spreader {
	spreader := &fleet.Spreader{
		Store:   fleet.Store{Table: b.table},
		Replica: replica,
		Self: foxtailstack.Instance{
			Name:    b.settings.Name,
			Role:    role,
			Address: b.settings.Listen.Peers,
			Centre:  b.settings.Centre,
			Region:  b.settings.Region,
		},
		Dialer: fleet.WireDialer{Client: b.client},
		Log:    b.log,
		List:   b.instances,
	}
	b.mux.Handle(fleet.StreamConfig, spreader.ServeConfig)
	b.mux.Handle(fleet.StreamSummary, spreader.ServeSummary)
	return spreader
}
