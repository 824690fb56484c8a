package group

import "slices"

// maxLevel is the highest level of a Sample.
const maxLevel = 255

// Sample holds how often the requests of a rank chose each expert since the
// last sample, by layer set, quantised to levels of one byte.
type Sample struct {
	Formation Formation `cbor:"1,keyasint,omitempty"`
	// Unit is the number of choices that one level stands for.
	Unit   float64 `cbor:"2,keyasint,omitempty"`
	Levels []byte  `cbor:"3,keyasint,omitempty"`
}

// newSample returns the sample of the choices between two counts. It is empty
// if the counts are of different formations or lengths, or nothing was chosen.
func newSample(before, now Counts) Sample {
	sample := Sample{Formation: now.Formation}
	if before.Formation != now.Formation || len(before.Chosen) != len(now.Chosen) || len(now.Chosen) == 0 {
		return sample
	}
	chosen := make([]float64, len(now.Chosen))
	for i, n := range now.Chosen {
		chosen[i] = max(0, n-before.Chosen[i]) // a rank that has restarted counts from zero
	}
	peak := slices.Max(chosen)
	if peak == 0 {
		return sample
	}
	sample.Unit = peak / maxLevel
	sample.Levels = make([]byte, len(chosen))
	for i, n := range chosen {
		sample.Levels[i] = byte(n/sample.Unit + 0.5)
	}
	return sample
}
