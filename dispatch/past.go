package dispatch

import "time"

// pastLife is how far back the past of a number is known.
const pastLife = loadLife

// past is what a number was until lately. The zero value knows of no change.
type past struct {
	changes []change
}

// change is the end of a value.
type change struct {
	until time.Time
	value int
}

// add records that the number had a value until now.
func (p *past) add(now time.Time, value int) {
	old := 0
	for old < len(p.changes) && now.Sub(p.changes[old].until) > pastLife {
		old++
	}
	p.changes = append(p.changes[old:], change{
		until: now,
		value: value,
	})
}

// at returns what the number was at a time, given what it is now.
func (p *past) at(t time.Time, present int) int {
	for _, c := range p.changes {
		if c.until.After(t) {
			return c.value
		}
	}
	return present
}
