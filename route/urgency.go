package route

import (
	"maps"
	"slices"

	"github.com/foxtailstack/foxtailstack"
)

// urgencyBase is the number of urgencies that a route may have beside each of a team.
const urgencyBase = 10

// CombinedUrgency returns the urgency of the route's requests of a team. That of the team,
// if it has one, goes before that of the route, which orders the requests of equally urgent
// teams.
func (r *Route) CombinedUrgency(team Team) int {
	first := r.Urgency
	if team.HasUrgency {
		first = team.Urgency
	}
	return first*urgencyBase + min(max(r.Urgency, 0), urgencyBase-1)
}

// UrgencyRank returns how many combined urgencies of the configuration are more urgent than
// a given one.
func (c *Config) UrgencyRank(urgency int) int {
	rank, _ := slices.BinarySearch(c.urgencies, urgency)
	return rank
}

// RankServices sets Ranked of all services. It must be called once the routes, the services
// and the teams of a Config are set, and before it is shared.
func (c *Config) RankServices() {
	all := make(map[int]bool)
	byService := make(map[foxtailstack.ServiceName]map[int]bool, len(c.Services))
	teams := c.teamUrgencies()
	for _, list := range c.routesByHost {
		for _, r := range list {
			for _, share := range r.Shares {
				service := getOrMake(byService, share.Service)
				for _, team := range teams {
					urgency := r.CombinedUrgency(team)
					service[urgency] = true
					all[urgency] = true
				}
			}
		}
	}
	c.urgencies = slices.Sorted(maps.Keys(all))
	for name, service := range c.Services {
		service.Ranked = len(byService[name]) > 1
		c.Services[name] = service
	}
}

// getOrMake returns the set of a service, and adds an empty one if there is none.
func getOrMake(sets map[foxtailstack.ServiceName]map[int]bool, service foxtailstack.ServiceName) map[int]bool {
	set, ok := sets[service]
	if !ok {
		set = make(map[int]bool)
		sets[service] = set
	}
	return set
}

// teamUrgency is the urgency of a team, if it has one.
type teamUrgency struct {
	urgency int
	has     bool
}

// teamUrgencies returns one team of each urgency, among them one without if there is such a
// team or no team at all.
func (c *Config) teamUrgencies() []Team {
	if len(c.Teams) == 0 {
		return []Team{{}}
	}
	byUrgency := make(map[teamUrgency]Team)
	for _, team := range c.Teams {
		key := teamUrgency{
			urgency: team.Urgency,
			has:     team.HasUrgency,
		}
		byUrgency[key] = team
	}
	return slices.Collect(maps.Values(byUrgency))
}
