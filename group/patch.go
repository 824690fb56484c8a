package group

import (
	"slices"

	"github.com/foxtailstack/foxtailstack"
)

// maxKept is the number of maps that a sidecar keeps to apply patches to.
const maxKept = 4

// Patch is a map told by how it differs from another.
type Patch struct {
	// Base is the map that it differs from. Zero is the map of a new formation.
	Base foxtailstack.Epoch `cbor:"1,keyasint"`
	// Ranks, Experts and Sets are the sizes of the map.
	Ranks   int   `cbor:"2,keyasint"`
	Experts int   `cbor:"3,keyasint"`
	Sets    int   `cbor:"4,keyasint"`
	Rows    []Row `cbor:"5,keyasint"`
}

// Row is what one rank holds of one set.
type Row struct {
	Set     int                   `cbor:"1,keyasint"`
	Rank    int                   `cbor:"2,keyasint"`
	Experts []foxtailstack.Expert `cbor:"3,keyasint"`
}

// newPatch returns how next differs from base.
func newPatch(version foxtailstack.Epoch, experts int, base, next []foxtailstack.ExpertLayer) *Patch {
	patch := &Patch{
		Base:    version,
		Ranks:   len(base[0]),
		Experts: experts,
		Sets:    len(base),
	}
	for s := range next {
		for r := range next[s] {
			if slices.Equal(base[s][r], next[s][r]) {
				continue
			}
			patch.Rows = append(patch.Rows, Row{
				Set:     s,
				Rank:    r,
				Experts: next[s][r],
			})
		}
	}
	return patch
}

// apply returns the map that a patch makes of another.
func (p *Patch) apply(base []foxtailstack.ExpertLayer) ([]foxtailstack.ExpertLayer, bool) {
	next := make([]foxtailstack.ExpertLayer, len(base))
	for s := range base {
		next[s] = slices.Clone(base[s])
	}
	for _, row := range p.Rows {
		if row.Set < 0 || row.Set >= len(next) || row.Rank < 0 || row.Rank >= len(next[row.Set]) {
			return nil, false
		}
		next[row.Set][row.Rank] = row.Experts
	}
	return next, true
}

// keptMap is a map that a sidecar has passed on.
type keptMap struct {
	formation Formation
	version   foxtailstack.Epoch
	layers    []foxtailstack.ExpertLayer
}

// mapKeeper keeps the last maps of a formation.
type mapKeeper struct {
	maps []keptMap
}

// keep adds a map.
func (k *mapKeeper) keep(formation Formation, version foxtailstack.Epoch, layers []foxtailstack.ExpertLayer) {
	for _, m := range k.maps {
		if m.formation == formation && m.version == version {
			return
		}
	}
	k.maps = append(k.maps, keptMap{
		formation: formation,
		version:   version,
		layers:    layers,
	})
	if len(k.maps) > maxKept {
		k.maps = slices.Clone(k.maps[1:])
	}
}

// whole returns the layers that an order to prepare stands for, or false if the
// map that its patch applies to is not kept.
func (k *mapKeeper) whole(order Order) ([]foxtailstack.ExpertLayer, bool) {
	if order.Layers != nil || order.Patch == nil {
		return order.Layers, true
	}
	if order.Patch.Base == 0 {
		return order.Patch.apply(InitialMap(order.Patch.Ranks, order.Patch.Experts, order.Patch.Sets))
	}
	for _, m := range k.maps {
		if m.formation == order.Formation && m.version == order.Patch.Base {
			return order.Patch.apply(m.layers)
		}
	}
	return nil, false
}
