package watch

import (
	"maps"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"go.uber.org/zap"
)

// Evacuated returns the data centres that operators have ordered to evacuate, each with the
// time since which this process knows it.
func (v *View) Evacuated() map[foxtailstack.DataCentre]time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.evacuated)
}

// orderedEvacuations returns the data centres whose evacuation records order, all rows of
// the configuration table. The times of those known before stay.
func (v *View) orderedEvacuations(records []foxtailstack.Record) map[foxtailstack.DataCentre]time.Time {
	known := v.Evacuated()
	evacuated := make(map[foxtailstack.DataCentre]time.Time)
	for _, record := range records {
		centre, ok := v.decodeEvacuation(record)
		if !ok || record.Deleted {
			continue
		}
		since, ok := known[centre]
		if !ok {
			since = time.Now()
		}
		evacuated[centre] = since
	}
	return evacuated
}

// changedEvacuations returns the evacuated data centres after changes, which are changed
// rows of the configuration table.
func (v *View) changedEvacuations(changes []foxtailstack.Record) map[foxtailstack.DataCentre]time.Time {
	evacuated := v.Evacuated()
	for _, record := range changes {
		centre, ok := v.decodeEvacuation(record)
		if !ok {
			continue
		}
		_, known := evacuated[centre]
		switch {
		case record.Deleted:
			delete(evacuated, centre)
		case !known:
			if evacuated == nil {
				evacuated = make(map[foxtailstack.DataCentre]time.Time)
			}
			evacuated[centre] = time.Now()
		}
	}
	return evacuated
}

// decodeEvacuation returns the data centre that a row of the configuration table orders to
// evacuate. The value of the row does not matter.
func (v *View) decodeEvacuation(record foxtailstack.Record) (foxtailstack.DataCentre, bool) {
	if v.Decoder.Evacuation == nil {
		return "", false
	}
	return v.Decoder.Evacuation(record.Name)
}

// setEvacuated sets the data centres that are evacuated, and tells of a change.
func (v *View) setEvacuated(evacuated map[foxtailstack.DataCentre]time.Time) {
	v.mu.Lock()
	if maps.Equal(evacuated, v.evacuated) {
		v.mu.Unlock()
		return
	}
	v.logEvacuations(evacuated)
	v.evacuated = evacuated
	if v.fleet.Load() != nil {
		v.storeFleet()
	}
	v.mu.Unlock()
	if v.OnFleetChange != nil {
		v.OnFleetChange()
	}
}

// logEvacuations logs the evacuations that begin and end when the present ones are replaced
// by evacuated. The caller holds mu.
func (v *View) logEvacuations(evacuated map[foxtailstack.DataCentre]time.Time) {
	for centre := range evacuated {
		_, known := v.evacuated[centre]
		if !known {
			v.Log.Info("evacuation ordered", zap.String("centre", string(centre)), zap.Int("upstreams", v.upstreamsIn(centre)))
		}
	}
	for centre, since := range v.evacuated {
		_, goesOn := evacuated[centre]
		if !goesOn {
			v.Log.Info("evacuation taken back", zap.String("centre", string(centre)), zap.Duration("took", time.Since(since)))
		}
	}
}

// upstreamsIn returns the number of upstreams in a data centre. The caller holds mu.
func (v *View) upstreamsIn(centre foxtailstack.DataCentre) int {
	n := 0
	for _, u := range v.upstreams {
		if u.Centre == centre {
			n++
		}
	}
	return n
}
