package route

import (
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// Version numbers the configurations of operators; a higher one is newer.
type Version uint64

// Kind says how often a request may run.
type Kind uint8

const (
	// Booking requests run at most once.
	Booking Kind = iota
	// Lookup requests are idempotent.
	Lookup
	// Stream requests answer with server-sent events. They run at most once
	// unless the route is resumable.
	Stream
)

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service foxtailstack.ServiceName
	// Weight is relative to the weights of the other shares.
	Weight int
}

// Route tells what happens to the requests under one prefix of one host.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the final answer; zero means no limit.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full value.
	TargetLatency time.Duration
	// MaxEventGap is the longest pause between the events of a stream that is on time.
	MaxEventGap time.Duration
	// Urgency ranks requests; zero is served first.
	Urgency int
	Shares  []Share
	// MaxAttempts is the number of upstreams that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another upstream.
	Resumable bool
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Lookup || r.Kind == Stream && r.Resumable
}

const (
	// leastPatience is how long callers wait for the next event of a stream at
	// least; some wait a number of objectives or of longest gaps if that is more.
	leastPatience      = 2 * time.Second
	patienceObjectives = 4
	patienceGaps       = 8
)

// AbandonTimeout returns how long a caller waits for the first and for the next event
// of a stream before it leaves.
func (r *Route) AbandonTimeout() time.Duration {
	return max(leastPatience, patienceObjectives*r.TargetLatency, patienceGaps*r.MaxEventGap)
}

// Pick draws the service of one request by the weights of the shares.
func (r *Route) Pick() foxtailstack.ServiceName {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	n := rand.IntN(total)
	for _, share := range r.Shares {
		n -= share.Weight
		if n < 0 {
			return share.Service
		}
	}
	return ""
}

// Service is a set of upstreams that are alike.
type Service struct {
	Name foxtailstack.ServiceName
	// MaxConnections is what one upstream accepts from all callers together.
	MaxConnections int
	// Group describes the model group behind the service; nil for others.
	Group *Group
}

// Limits bound what a caller may send.
type Limits struct {
	Header foxtailstack.Bytes
	Body   foxtailstack.Bytes
	// HeaderTimeout is the time that a caller has to send a header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay without a request.
	IdleTimeout time.Duration
}

// Team is the holder of a key.
type Team struct {
	Name foxtailstack.TeamName
	// Urgency replaces the one of the route if HasUrgency is set.
	Urgency    int
	HasUrgency bool
}

// Config is one version of the configuration.
type Config struct {
	Version  Version
	Services map[foxtailstack.ServiceName]Service
	Limits   Limits
	// KeyRequired tells that requests need the key of a team.
	KeyRequired bool
	Teams       map[string]Team // by key
	hosts       map[string][]*Route
}

// SetRoutes indexes the routes of a Config that is being built.
func (c *Config) SetRoutes(routes []Route) {
	c.hosts = make(map[string][]*Route)
	for i := range routes {
		r := &routes[i]
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, list := range c.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
}

// MaxEventGap returns the shortest of the longest pauses between events that the routes
// to a service allow, or zero if none says.
func (c *Config) MaxEventGap(service foxtailstack.ServiceName) time.Duration {
	least := time.Duration(0)
	for _, list := range c.hosts {
		for _, r := range list {
			if r.MaxEventGap > 0 && r.leadsTo(service) && (least == 0 || r.MaxEventGap < least) {
				least = r.MaxEventGap
			}
		}
	}
	return least
}

// leadsTo reports whether a share of the route's requests goes to a service.
func (r *Route) leadsTo(service foxtailstack.ServiceName) bool {
	for _, share := range r.Shares {
		if share.Service == service && share.Weight > 0 {
			return true
		}
	}
	return false
}

// Match returns the route with the longest prefix of path on a host.
func (c *Config) Match(host, path string) (*Route, bool) {
	host, _, _ = strings.Cut(host, ":")
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
