package group

import (
	"encoding/binary"
	"math"
	"slices"
)

// maxWeight is the stored weight of the expert with the highest demand; the
// weights of the others are relative to it.
const maxWeight = math.MaxUint16

// Encode returns the estimate as one 16-bit big-endian number for each expert,
// relative to the highest, or nil if there is no demand.
func (d *Demand) Encode() []byte {
	if len(d.weights) == 0 {
		return nil
	}
	peak := slices.Max(d.weights)
	if peak == 0 {
		return nil
	}
	data := make([]byte, 0, 2*len(d.weights))
	for _, w := range d.weights {
		data = binary.BigEndian.AppendUint16(data, uint16(w/peak*maxWeight))
	}
	return data
}

// Restore sets the estimate to one that Encode returned, so that a new planner
// can plan before it has samples of its own. On a Demand without an estimate, the
// first window of at least minWindowChoices choices replaces it: lastUpdate is zero
// until then, so the restored weights have decayed to nothing. Data of odd length or
// without content is ignored.
func (d *Demand) Restore(data []byte) {
	if len(data) == 0 || len(data)%2 != 0 {
		return
	}
	d.weights = make([]float64, len(data)/2)
	for i := range d.weights {
		d.weights[i] = float64(binary.BigEndian.Uint16(data[2*i:])) / maxWeight
	}
	d.steady = true
}
