package group

import (
	"slices"

	"github.com/foxtailstack/foxtailstack"
)

// maxCachedMaps is the number of maps that a sidecar caches as bases of
// patches.
const maxCachedMaps = 4

// Patch describes a map by its differences from another map, the base.
type Patch struct {
	// Base is the version of the base. Zero stands for the map that a new
	// formation starts with.
	Base foxtailstack.Epoch `cbor:"1,keyasint"`
	// Ranks, Experts and LayerSets are the dimensions of the map: its ranks,
	// the experts of a layer set, and the layer sets.
	Ranks     int        `cbor:"2,keyasint"`
	Experts   int        `cbor:"3,keyasint"`
	LayerSets int        `cbor:"4,keyasint"`
	Rows      []PatchRow `cbor:"5,keyasint"`
}

// PatchRow lists the experts of one layer set that one rank holds.
type PatchRow struct {
	LayerSet int                   `cbor:"1,keyasint"`
	Rank     int                   `cbor:"2,keyasint"`
	Experts  []foxtailstack.Expert `cbor:"3,keyasint"`
}

// newPatch returns the patch that turns base, whose version is given, into
// next.
func newPatch(version foxtailstack.Epoch, experts int, base, next []foxtailstack.ExpertLayer) *Patch {
	patch := &Patch{
		Base:      version,
		Ranks:     len(base[0]),
		Experts:   experts,
		LayerSets: len(base),
	}
	for s := range next {
		for r := range next[s] {
			if slices.Equal(base[s][r], next[s][r]) {
				continue
			}
			patch.Rows = append(patch.Rows, PatchRow{
				LayerSet: s,
				Rank:     r,
				Experts:  next[s][r],
			})
		}
	}
	return patch
}

// apply returns the map that results from the patch applied to base. It returns
// false if a row lies outside the map.
func (p *Patch) apply(base []foxtailstack.ExpertLayer) ([]foxtailstack.ExpertLayer, bool) {
	next := make([]foxtailstack.ExpertLayer, len(base))
	for s := range base {
		next[s] = slices.Clone(base[s])
	}
	for _, row := range p.Rows {
		if row.LayerSet < 0 || row.LayerSet >= len(next) || row.Rank < 0 || row.Rank >= len(next[row.LayerSet]) {
			return nil, false
		}
		next[row.LayerSet][row.Rank] = row.Experts
	}
	return next, true
}

// cachedMap is a map that a sidecar was ordered to forward to its rank.
type cachedMap struct {
	formation Formation
	version   foxtailstack.Epoch
	layers    []foxtailstack.ExpertLayer
}

// mapCache holds the last maxCachedMaps maps that a sidecar was ordered to
// forward to its rank.
type mapCache struct {
	maps []cachedMap
}

// add adds a map unless it is cached already, and evicts the oldest if the
// cache is full.
func (c *mapCache) add(formation Formation, version foxtailstack.Epoch, layers []foxtailstack.ExpertLayer) {
	for _, m := range c.maps {
		if m.formation == formation && m.version == version {
			return
		}
	}
	c.maps = append(c.maps, cachedMap{
		formation: formation,
		version:   version,
		layers:    layers,
	})
	if len(c.maps) > maxCachedMaps {
		c.maps = slices.Clone(c.maps[1:])
	}
}

// fullLayers returns the layers that an order to prepare asks for. It returns
// false if the base of its patch is not cached or the patch does not fit it.
func (c *mapCache) fullLayers(order Order) ([]foxtailstack.ExpertLayer, bool) {
	if order.Layers != nil || order.Patch == nil {
		return order.Layers, true
	}
	if order.Patch.Base == 0 {
		return order.Patch.apply(InitialMap(order.Patch.Ranks, order.Patch.Experts, order.Patch.LayerSets))
	}
	for _, m := range c.maps {
		if m.formation == order.Formation && m.version == order.Patch.Base {
			return order.Patch.apply(m.layers)
		}
	}
	return nil, false
}
