package group

import "slices"

// maxLevel is the highest level of a Sample.
const maxLevel = 255

// Sample holds how often the requests of one or more ranks chose each expert since the
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
	if before.Formation != now.Formation || len(before.Chosen) != len(now.Chosen) {
		return Sample{Formation: now.Formation}
	}
	chosen := make([]float64, len(now.Chosen))
	for i, n := range now.Chosen {
		chosen[i] = max(0, n-before.Chosen[i]) // a rank that has restarted counts from zero
	}
	return quantise(now.Formation, chosen)
}

// quantise returns the sample of numbers of choices. It is empty if nothing was chosen.
func quantise(formation Formation, chosen []float64) Sample {
	sample := Sample{Formation: formation}
	if len(chosen) == 0 {
		return sample
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

// addSamples returns the sum of two samples of one formation. Of samples of different
// formations or lengths it returns that of the later formation.
func addSamples(a, b Sample) Sample {
	switch {
	case b.Levels == nil:
		return a
	case a.Levels == nil || a.Formation < b.Formation:
		return b
	case b.Formation < a.Formation || len(a.Levels) != len(b.Levels):
		return a
	}
	chosen := make([]float64, len(a.Levels))
	for i := range chosen {
		chosen[i] = float64(a.Levels[i])*a.Unit + float64(b.Levels[i])*b.Unit
	}
	return quantise(a.Formation, chosen)
}
