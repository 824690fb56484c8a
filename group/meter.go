package group

import (
	"slices"
	"time"

	"github.com/foxtailstack/foxtailstack"
)

const (
	// rememberedRounds is the number of orders to all ranks from which the time of the
	// next is expected.
	rememberedRounds = 4
	// passMeterTime is the least time over which the mean time of passes is measured.
	// Surveys come more often than passes begin, so that the time between two of them says
	// little.
	passMeterTime = 500 * time.Millisecond
)

// roundMeter keeps the times of the last orders to all ranks.
type roundMeter struct {
	times []time.Duration
}

// add adds the time that an order to all ranks has taken.
func (m *roundMeter) add(d time.Duration) {
	m.times = append(m.times, d)
	if len(m.times) > rememberedRounds {
		m.times = m.times[1:]
	}
}

// expected returns the time that the next order to all ranks is expected to take at
// most, or zero if there was none yet.
func (m *roundMeter) expected() time.Duration {
	if len(m.times) == 0 {
		return 0
	}
	return slices.Max(m.times)
}

// passReading is the newest pass at a time.
type passReading struct {
	at   time.Time
	step foxtailstack.Step
}

// passMeter measures the mean time of passes.
type passMeter struct {
	// readings holds the last readings at which a new pass had begun. The first of them may
	// be older than passMeterTime, but not twice as old.
	readings []passReading
}

// mean returns the mean time of the passes in the last passMeterTime, or zero if fewer
// than two have begun since.
func (m *passMeter) mean(step foxtailstack.Step, now time.Time) time.Duration {
	n := len(m.readings)
	if n > 0 && step < m.readings[n-1].step {
		m.readings = nil // the group has opened anew
	}
	if len(m.readings) == 0 || step > m.readings[len(m.readings)-1].step {
		m.readings = append(m.readings, passReading{
			at:   now,
			step: step,
		})
	}
	for len(m.readings) > 1 && (now.Sub(m.readings[1].at) >= passMeterTime || now.Sub(m.readings[0].at) >= 2*passMeterTime) {
		m.readings = m.readings[1:]
	}
	first, last := m.readings[0], m.readings[len(m.readings)-1]
	if last.step == first.step {
		return 0
	}
	return last.at.Sub(first.at) / time.Duration(last.step-first.step)
}
