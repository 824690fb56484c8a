package machine

import (
	"context"
	"slices"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/exchange"
	"github.com/foxtailstack/foxtailstack/group"
	"github.com/foxtailstack/foxtailstack/internal/clock"
	"github.com/foxtailstack/foxtailstack/platform"
	"github.com/foxtailstack/foxtailstack/watch"
	"go.uber.org/zap"
)

const (
	// maxConfigPollTimeout is the long-poll timeout for the configuration, unless the
	// key revocation time requires a shorter one (see configPollTimeout). Each response
	// also confirms that the configuration is current.
	maxConfigPollTimeout = 1500 * time.Millisecond
	// pollsPerRevocation is the number of long polls that fit into the key revocation
	// time. Three ensure two confirmations within it: the third covers the latency of
	// the calls and a key that is removed just after a poll started.
	pollsPerRevocation = 3
	// fleetPollFraction of the contact time is the long-poll timeout for the list of
	// upstreams: a connection that silently stopped working shows after it, which should
	// be within that time. defaultFleetPollTimeout is used if that time is not set.
	fleetPollFraction       = 0.75
	defaultFleetPollTimeout = 2500 * time.Millisecond
	// maxFleetPauseFraction of the drain time is the longest pause after changes to the
	// list of upstreams, so that one call brings those of many that start or leave
	// together, and minFleetPauseFraction the first.
	minFleetPauseFraction = 1.0 / 64
	maxFleetPauseFraction = 1.0 / 8
	// crashPollTimeout is the long-poll timeout for the crashes in the store. Those that
	// matter at once come over the fallback store as well.
	crashPollTimeout = 20 * time.Second
	// crashChangePause is the pause after changes to them: all entries that had requests
	// at an upstream record its crash.
	crashChangePause = 20 * time.Millisecond
	// fallbackPollTimeout is the long-poll timeout for the crashes on the fallback store of a sidecar.
	fallbackPollTimeout = 10 * time.Second
	// fallbackTable is the name by which the log calls that store.
	fallbackTable = "fallback"
	// groupCheckInterval is the time between two checks of the configuration for new
	// services with a model group.
	groupCheckInterval = time.Second
)

// followStore starts to follow the configuration, the list of upstreams and the crashes
// that entries share.
func (e *Entry) followStore(ctx context.Context) {
	configFollower := &watch.Follower{
		Feed:            e.store,
		Table:           platform.TableConfig,
		LongPollTimeout: configPollTimeout(e.settings.Bounds.KeyRevocation),
		Replace:         e.view.ReplaceConfig,
		Update:          e.view.SetConfig,
		ConfirmCurrent:  e.view.ConfirmConfig,
		Now:             clock.Boot,
		Log:             e.log,
	}
	fleetFollower := &watch.Follower{
		Feed:            e.store,
		Table:           platform.TableUpstreams,
		LongPollTimeout: fleetPollTimeout(e.settings.Bounds),
		ChangePause:     fleetChangePause(e.settings.Bounds, minFleetPauseFraction),
		MaxChangePause:  fleetChangePause(e.settings.Bounds, maxFleetPauseFraction),
		Replace:         e.view.ReplaceFleet,
		Update:          e.view.UpdateFleet,
		Now:             clock.Boot,
		Log:             e.log,
	}
	crashFollower := &watch.Follower{
		Feed:            e.store,
		Table:           platform.TableCrashes,
		LongPollTimeout: crashPollTimeout,
		ChangePause:     crashChangePause,
		Replace:         e.crashes.Replace,
		Update:          e.crashes.Update,
		Now:             clock.Boot,
		Log:             e.log,
	}
	fallbackFollower := &watch.Follower{
		Feed:            e.fallback,
		Table:           fallbackTable,
		LongPollTimeout: fallbackPollTimeout,
		ChangePause:     crashChangePause,
		Replace:         e.crashes.FallbackReplaced,
		Update:          e.crashes.FallbackChanged,
		Now:             clock.Boot,
		Log:             zap.NewNop(), // the client logs whether it reaches one
	}
	go configFollower.Run(ctx)
	go fleetFollower.Run(ctx)
	go crashFollower.Run(ctx)
	go fallbackFollower.Run(ctx)
	go e.crashes.Run(ctx)
}

// watchGroups starts a group.Watcher for each service with a model group until ctx is
// done. It finds new services within groupCheckInterval. A Watcher runs until ctx is
// done, also if its group is removed from the configuration.
func (e *Entry) watchGroups(ctx context.Context) {
	client := newPeerClient(e.replies)
	watched := make(map[foxtailstack.ServiceName]bool)
	for clock.Sleep(ctx, groupCheckInterval) == nil {
		cfg := e.view.Config()
		if cfg == nil {
			continue
		}
		for name, service := range cfg.Services {
			if service.Group == nil || watched[name] {
				continue
			}
			watched[name] = true
			watcher := &group.Watcher{
				Client:    client,
				Endpoints: func() []group.RankEndpoints { return e.rankEndpoints(name) },
				OnStatus:  func(status group.Status) { e.observeGroup(name, status) },
				Use:       func() []group.UrgencyUse { return e.urgencyUse(name) },
				Urgent:    func() bool { return e.scheduler.Broken(name) },
				Log:       e.log,
			}
			go watcher.Run(ctx)
		}
	}
}

// rankEndpoints returns the address of each ready upstream of a service with that of the
// sidecar beside it.
func (e *Entry) rankEndpoints(service foxtailstack.ServiceName) []group.RankEndpoints {
	var endpoints []group.RankEndpoints
	for _, u := range e.view.Fleet().Ready(service) {
		address, ok := sidecarAddress(u.Address, e.settings.PeerPort)
		if ok {
			endpoints = append(endpoints, group.RankEndpoints{
				Upstream: u.Address,
				Sidecar:  address,
			})
		}
	}
	return endpoints
}

// groupSidecars returns the addresses of the sidecars beside the upstreams of all services
// with a model group, in ascending order.
func (e *Entry) groupSidecars() []foxtailstack.Address {
	cfg := e.view.Config()
	fleet := e.view.Fleet()
	if cfg == nil || fleet == nil {
		return nil
	}
	var sidecars []foxtailstack.Address
	for name, service := range cfg.Services {
		if service.Group == nil {
			continue
		}
		for _, endpoint := range e.rankEndpoints(name) {
			sidecars = append(sidecars, endpoint.Sidecar)
		}
	}
	slices.Sort(sidecars)
	return slices.Compact(sidecars)
}

// urgencyUse returns this entry's use of a service by urgency, unless its requests all have
// the same.
func (e *Entry) urgencyUse(service foxtailstack.ServiceName) []group.UrgencyUse {
	cfg := e.view.Config()
	if cfg == nil || !cfg.Services[service].Ranked {
		return nil
	}
	var uses []group.UrgencyUse
	for _, use := range e.scheduler.UrgencyUse(service) {
		uses = append(uses, group.UrgencyUse{
			Urgency:  use.Urgency,
			Running:  use.Running,
			Arrivals: float32(use.Arrivals),
		})
	}
	return uses
}

// observeGroup passes the load and the slowdown of each rank in the status of a group,
// and the age of the status, on to the scheduler.
func (e *Entry) observeGroup(service foxtailstack.ServiceName, status group.Status) {
	ranks := make(map[foxtailstack.Address]dispatch.RankLoad, len(status.Ranks))
	for _, rank := range status.Ranks {
		ranks[rank.Address] = dispatch.RankLoad{
			Load: exchange.Load{
				Running: rank.Running,
				Waiting: rank.Waiting,
			},
			Slowdown: rank.Slowdown,
			Limit:    rank.Limit,
		}
	}
	e.scheduler.ObserveUrgencyUse(service, decodeUses(status.Uses), status.Age)
	e.scheduler.ObserveEntries(service, dispatch.GroupName(status.Group), status.Entries)
	e.scheduler.ObserveGroup(service, dispatch.GroupName(status.Group), ranks, status.Age)
	e.scheduler.ObserveFormation(service, dispatch.GroupName(status.Group), status.Broken, status.Age)
}

// configPollTimeout returns the long-poll timeout for the configuration. It lets the
// configuration be confirmed at least twice within revocation, the time in which a
// removed key must stop working. Zero means that there is no such time.
func configPollTimeout(revocation time.Duration) time.Duration {
	if revocation == 0 {
		return maxConfigPollTimeout
	}
	return min(maxConfigPollTimeout, revocation/pollsPerRevocation)
}

// fleetPollTimeout returns the long-poll timeout for the list of upstreams.
func fleetPollTimeout(bounds platform.Bounds) time.Duration {
	if bounds.ContactTime == 0 {
		return defaultFleetPollTimeout
	}
	return time.Duration(fleetPollFraction * float64(bounds.ContactTime))
}

// fleetChangePause returns a fraction of the drain time as the pause after changes to the
// list of upstreams.
func fleetChangePause(bounds platform.Bounds, fraction float64) time.Duration {
	return time.Duration(fraction * float64(bounds.DrainTime))
}
