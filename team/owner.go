package team

import (
	"github.com/foxtailstack/foxtailstack"
	"github.com/zeebo/xxh3"
)

// ownerOf returns the entry that owns a team, by rendezvous hashing, or false
// if there are no entries.
func ownerOf(name foxtailstack.TeamName, entries []foxtailstack.Instance) (foxtailstack.Instance, bool) {
	var owner foxtailstack.Instance
	var highest uint64
	found := false
	for _, entry := range entries {
		weight := xxh3.HashString(string(entry.Name) + "/" + string(name))
		if !found || weight > highest {
			owner, highest, found = entry, weight, true
		}
	}
	return owner, found
}

// entriesOf returns the entries in a list of instances, without those that are
// leaving.
func entriesOf(instances []foxtailstack.Instance) []foxtailstack.Instance {
	var entries []foxtailstack.Instance
	for _, instance := range instances {
		if instance.Role == foxtailstack.RoleEntry && !instance.Leaving {
			entries = append(entries, instance)
		}
	}
	return entries
}
