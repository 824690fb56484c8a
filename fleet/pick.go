package fleet

import (
	"cmp"
	"slices"

	"github.com/foxtailstack/foxtailstack"
	"github.com/zeebo/xxh3"
)

const (
	// pollers is the number of entries of a data centre that read the table.
	pollers = 3
	// askedPeers is the number of relays that a starting process asks.
	askedPeers = 3
	// minCapacity is the highest number of followers of a relay where there are
	// enough relays for that; each takes some 300 bytes a second.
	minCapacity = 32
	// spares is the number of further processes that a starting one asks.
	spares = 2
)

// pickKey is the prefix of the key that picks the pollers of a data centre.
const pickKey = "config/"

// plan says where a process gets the configuration from.
type plan struct {
	// poll is set if the process reads the table.
	poll bool
	// unknown is set if no list of instances could be had.
	unknown bool
	// root is set if the process is one of the pollers of its data centre.
	root bool
	// sources are the relays of the process in the order to be tried.
	sources []foxtailstack.Address
	// peers are the processes to ask at the start.
	peers []foxtailstack.Address
	// roots are the other pollers of all data centres.
	roots []foxtailstack.Instance
	// capacity is the highest number of followers.
	capacity int64
	// listed is the number of processes that are to stay.
	listed int
}

// newPlan returns the plan of a process by the list of instances. Plans that
// differ between processes do no harm.
func newPlan(self foxtailstack.Instance, list []foxtailstack.Instance) plan {
	var p plan
	byCentre := map[foxtailstack.DataCentre][]foxtailstack.Instance{}
	var entries, others []foxtailstack.Instance
	around := 0
	for _, instance := range list {
		if instance.Leaving {
			continue
		}
		p.listed++
		if instance.Centre == self.Centre {
			around++
		}
		switch {
		case instance.Role == foxtailstack.RoleEntry:
			byCentre[instance.Centre] = append(byCentre[instance.Centre], instance)
			entries = append(entries, instance)
		case instance.Name != self.Name:
			others = append(others, instance)
		}
	}
	for centre, local := range byCentre {
		for _, instance := range rank(pickKey+string(centre), local, pollers) {
			if instance.Name == self.Name {
				p.root = true
			} else {
				p.roots = append(p.roots, instance)
			}
		}
	}
	local := byCentre[self.Centre]
	if len(local) == 0 {
		local = entries
	}
	p.capacity = max(minCapacity, int64(2*around/max(1, len(local))))
	relays := local
	if self.Role == foxtailstack.RoleEntry {
		relays = rank(pickKey+string(self.Centre), local, pollers)
	}
	p.sources = addresses(self.Name, rank(string(self.Name), relays, len(relays)))
	p.poll = p.root || len(p.sources) == 0
	p.peers = addresses(self.Name, rank(string(self.Name), local, askedPeers+1))
	p.peers = append(p.peers, addresses(self.Name, rank(string(self.Name), others, spares))...)
	return p
}

// rank returns at most n instances in the order of their rendezvous hashes
// with key, the highest first.
func rank(key string, instances []foxtailstack.Instance, n int) []foxtailstack.Instance {
	type scored struct {
		instance foxtailstack.Instance
		score    uint64
	}
	all := make([]scored, 0, len(instances))
	for _, instance := range instances {
		all = append(all, scored{
			instance: instance,
			score:    xxh3.HashString(key + "\x00" + string(instance.Name)),
		})
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	var first []foxtailstack.Instance
	for _, s := range all[:min(n, len(all))] {
		first = append(first, s.instance)
	}
	return first
}

// addresses returns the addresses of instances other than self.
func addresses(self foxtailstack.InstanceName, instances []foxtailstack.Instance) []foxtailstack.Address {
	var all []foxtailstack.Address
	for _, instance := range instances {
		if instance.Name != self {
			all = append(all, instance.Address)
		}
	}
	return all
}
