package route

import (
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

// Version numbers the configurations that operators publish on the platform; a higher
// one is newer. It is unrelated to foxtailstack.Revision, which numbers the states of
// the configuration that package fleet keeps.
type Version uint64

// Kind determines how often a request may run and how it is answered.
type Kind uint8

const (
	// Booking requests must run at most once.
	Booking Kind = iota
	// Lookup requests are idempotent.
	Lookup
	// Stream requests are answered with server-sent events. They run at most once
	// unless the route is resumable.
	Stream
)

// Share assigns a part of a route's requests to one service.
type Share struct {
	Service foxtailstack.ServiceName
	// Weight is relative to the weights of the other shares of the route.
	Weight int
}

// Route holds the rules for the requests whose path begins with a prefix on one
// host.
type Route struct {
	Name string
	// Host is a host name without a port; its case does not matter.
	Host string
	// Prefix is the beginning of a path, compared byte by byte. The longest prefix
	// that matches wins.
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the response is complete; zero means that the
	// route sets none.
	Timeout time.Duration
	// TargetLatency is the time from the arrival of a request within which its response
	// has to begin to be on time. A later one is worth less to the caller.
	TargetLatency time.Duration
	// MaxEventGap is the longest permitted gap between two consecutive events of a
	// stream; a stream with a longer one counts as late. Zero means no limit.
	MaxEventGap time.Duration
	// Urgency orders queued requests (see package dispatch). A lower one is served first,
	// and zero is the most urgent.
	Urgency int
	Shares  []Share
	// MaxAttempts is the greatest number of upstreams that one request may be sent to.
	MaxAttempts int
	// Public routes accept requests without a key.
	Public bool
	// Resumable streams may be continued by another upstream.
	Resumable bool
	// Regions are those in which requests of the route may be processed.
	Regions Regions
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Lookup || r.Kind == Stream && r.Resumable
}

const (
	// Callers are assumed to wait for the longest of minAbandonTimeout,
	// abandonTargetLatencies target latencies and abandonEventGaps maximum event gaps.
	minAbandonTimeout      = 2 * time.Second
	abandonTargetLatencies = 4
	abandonEventGaps       = 8
)

// AbandonTimeout returns how long a caller is assumed to wait for the first and for the
// next event of a stream before it closes the connection. Callers do not announce it.
func (r *Route) AbandonTimeout() time.Duration {
	return max(minAbandonTimeout, abandonTargetLatencies*r.TargetLatency, abandonEventGaps*r.MaxEventGap)
}

// Pick draws the service for one request at random by the weights of the shares. It
// returns the empty name if no share has a weight.
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

// Service is a set of equivalent upstreams.
type Service struct {
	Name foxtailstack.ServiceName
	// MaxConnections is the number of connections that one upstream accepts from all
	// callers together.
	MaxConnections int
	// Ranked is set if requests of different urgency go to the service (see RankServices).
	Ranked bool
	// Group describes the model groups behind the service; nil if its upstreams work
	// alone.
	Group *Group
	// ColdTime is how long an upstream is cold after it has started, and ColdRate the rate of
	// requests that it takes meanwhile from all entries together. Zero means that it takes
	// requests as always.
	ColdTime time.Duration
	ColdRate foxtailstack.RequestRate
}

// Limits bounds what callers may send.
type Limits struct {
	// Header and Body are the maximum sizes of a header and of a body.
	Header foxtailstack.Bytes
	Body   foxtailstack.Bytes
	// HeaderTimeout is how long a caller may take to send a header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection stays open without a request.
	IdleTimeout time.Duration
}

// Team holds the settings of a team.
type Team struct {
	Name foxtailstack.TeamName
	// Urgency goes before the Urgency of the route if HasUrgency is set (see
	// Route.CombinedUrgency); zero is the most urgent.
	Urgency    int
	HasUrgency bool
	// Regions are those in which requests of the team may be processed.
	Regions Regions
}

// Config is one version of the configuration.
type Config struct {
	Version  Version
	Services map[foxtailstack.ServiceName]Service
	Limits   Limits
	// KeyRequired reports that requests need the key of a team.
	KeyRequired  bool
	Teams        map[string]Team // by key
	routesByHost map[string][]*Route
	// urgencies holds the combined urgencies of all requests in ascending order.
	urgencies []int
}

// SetRoutes sets the routes of a Config. It must be called before the Config is
// shared.
func (c *Config) SetRoutes(routes []Route) {
	c.routesByHost = make(map[string][]*Route)
	for i := range routes {
		r := &routes[i]
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for _, list := range c.routesByHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
}

// MaxEventGap returns the lowest MaxEventGap of the routes that send to a service,
// or zero if none of them sets one.
func (c *Config) MaxEventGap(service foxtailstack.ServiceName) time.Duration {
	shortest := time.Duration(0)
	for _, list := range c.routesByHost {
		for _, r := range list {
			if r.MaxEventGap > 0 && r.sendsTo(service) && (shortest == 0 || r.MaxEventGap < shortest) {
				shortest = r.MaxEventGap
			}
		}
	}
	return shortest
}

// sendsTo reports whether a share of the route's requests goes to a service.
func (r *Route) sendsTo(service foxtailstack.ServiceName) bool {
	for _, share := range r.Shares {
		if share.Service == service && share.Weight > 0 {
			return true
		}
	}
	return false
}

// Match returns the route of a host with the longest prefix that path begins with.
// The port of the host and its case do not matter.
func (c *Config) Match(host, path string) (*Route, bool) {
	host, _, _ = strings.Cut(host, ":")
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
