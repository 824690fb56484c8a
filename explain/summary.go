package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// cost names what kept a request from being served on time.
type cost string

// The costs. A request has the first that applies: how it ended, if it was not served;
// else why its first event, or a later one, was late.
const (
	costNone           cost = "served on time"
	costRefusedWaiting cost = "refused: would not be served in time"
	costRefusedOther   cost = "refused: "
	costDenied         cost = "denied"
	costFailed         cost = "failed at its upstream, or may have run"
	costCut            cost = "cut after its first event"
	costLeftQueue      cost = "caller left: no event, waited at the entry"
	costLeftRank       cost = "caller left: no event, waited at its upstream"
	costLeftGap        cost = "caller left: pause between events"
	costLateQueue      cost = "late: first event, waited at the entry"
	costLateRank       cost = "late: first event, waited at its upstream"
	costLateOutage     cost = "late: pause while its group was broken"
	costLateSwitch     cost = "late: pause while a switch held its group"
	costLatePass       cost = "late: pause, passes too long"
)

// deniedReasons are the reasons of requests that the configuration does not allow.
var deniedReasons = []string{"no-route", "unknown-key", "body"}

// interval is a time in which something lasted.
type interval struct {
	from, to time.Time
}

// overlaps reports whether the intervals have a moment in common.
func (i interval) overlaps(other interval) bool {
	return i.from.Before(other.to) && other.from.Before(i.to)
}

// Summary is an account of the requests in logs by what kept them from being served on
// time.
type Summary struct {
	// rows holds the numbers of requests by cost and route.
	rows  map[cost]map[string]int
	total int
	// outages and holds are the times in which a group was broken, and in which one was
	// held by a switch.
	outages, holds []interval
	// groups holds what happened to each group.
	groups groupTable
	// heldBack holds the requests that were held back.
	heldBack holdTable
}

// NewSummary returns the account of the requests whose ends are in lines.
func NewSummary(lines []Line) *Summary {
	s := &Summary{
		rows:     make(map[cost]map[string]int),
		groups:   make(groupTable),
		heldBack: make(holdTable),
	}
	s.findOutages(lines)
	s.findHolds(lines)
	for i := range lines {
		s.groups.add(&lines[i])
		s.heldBack.add(&lines[i])
		if lines[i].Message == "request" {
			s.add(&lines[i])
		}
	}
	return s
}

// findOutages finds the times in which a group was broken, as each entry saw it.
func (s *Summary) findOutages(lines []Line) {
	type key struct{ instance, service, group string }
	began := make(map[key]time.Time)
	for i := range lines {
		line := &lines[i]
		k := key{line.Instance, line.Get("service"), line.Get("group")}
		switch line.Message {
		case "group broken":
			if _, ok := began[k]; !ok {
				began[k] = line.At
			}
		case "group works again":
			from, ok := began[k]
			if ok {
				s.groups.at(k.group).broken[k.instance] += line.At.Sub(from)
				// The group stood still before it refused the first request.
				s.outages = append(s.outages, interval{
					from: from.Add(-stallTime),
					to:   line.At,
				})
			}
			delete(began, k)
		}
	}
}

// stallTime is the time for which a group stands still before it refuses requests.
const stallTime = 1500 * time.Millisecond

// findHolds finds the times in which a switch held a group.
func (s *Summary) findHolds(lines []Line) {
	for i := range lines {
		line := &lines[i]
		if line.Message != "map changed" {
			continue
		}
		held := seconds(*line, "hold") + seconds(*line, "arm") + seconds(*line, "release") - seconds(*line, "lead")
		if held > 0 {
			if name := line.Get("group"); name != "" {
				s.groups.at(name).held += held
			}
			s.holds = append(s.holds, interval{
				from: line.At.Add(-held),
				to:   line.At,
			})
		}
	}
}

// add counts a request by its last line.
func (s *Summary) add(line *Line) {
	c := s.costOf(line)
	if s.rows[c] == nil {
		s.rows[c] = make(map[string]int)
	}
	s.rows[c][line.Get("route")]++
	s.total++
}

// costOf returns what kept a request from being served on time.
func (s *Summary) costOf(line *Line) cost {
	reason := line.Get("reason")
	switch {
	case slices.Contains(deniedReasons, reason):
		return costDenied
	case reason == "too-many-waiting":
		return costRefusedWaiting
	case reason == "caller-left":
		return costOfLeaving(line)
	case reason == "stream-broken":
		return costCut
	case line.Get("status") == "503":
		return costRefusedOther + cost(reason)
	case reason != "served":
		return costFailed
	}
	return s.costOfDelay(line)
}

// costOfLeaving returns the cost of a request whose caller left.
func costOfLeaving(line *Line) cost {
	waited, took := seconds(*line, "waited"), seconds(*line, "took")
	switch {
	case line.Get("events") != "0":
		return costLeftGap
	case waited > took/2:
		return costLeftQueue
	}
	return costLeftRank
}

// costOfDelay returns the cost of a request that was served.
func (s *Summary) costOfDelay(line *Line) cost {
	target, first := seconds(*line, "target"), seconds(*line, "first")
	if target > 0 && first > target {
		if seconds(*line, "waited") > first/2 {
			return costLateQueue
		}
		return costLateRank
	}
	allowed, gap := seconds(*line, "allowed"), seconds(*line, "gap")
	if allowed == 0 || gap <= allowed {
		return costNone
	}
	streamed := interval{
		from: line.At.Add(first - seconds(*line, "took")),
		to:   line.At,
	}
	switch {
	case slices.ContainsFunc(s.outages, streamed.overlaps):
		return costLateOutage
	case slices.ContainsFunc(s.holds, streamed.overlaps):
		return costLateSwitch
	}
	return costLatePass
}

// Write writes the account as a table, the largest row first, and a second one of the groups.
func (s *Summary) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "requests\tshare\twhat became of them\tmost on route\n")
	for _, c := range s.sorted() {
		n := sumOf(s.rows[c])
		fmt.Fprintf(table, "%d\t%.3f\t%s\t%s\n", n, float64(n)/float64(s.total), c, s.mainRoute(c))
	}
	fmt.Fprintf(table, "%d\t1.000\tall\t\n", s.total)
	err := table.Flush()
	if err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	err = s.heldBack.write(w)
	if err != nil {
		return err
	}
	return s.groups.write(w)
}

// sorted returns the costs by descending number of requests.
func (s *Summary) sorted() []cost {
	var costs []cost
	for c := range s.rows {
		costs = append(costs, c)
	}
	slices.SortFunc(costs, func(a, b cost) int {
		return cmp.Or(cmp.Compare(sumOf(s.rows[b]), sumOf(s.rows[a])), cmp.Compare(a, b))
	})
	return costs
}

// mainRoute returns the route with the most requests of a cost, and their number.
func (s *Summary) mainRoute(c cost) string {
	name, most := "", 0
	for route, n := range s.rows[c] {
		if n > most || n == most && route < name {
			name, most = route, n
		}
	}
	if name == "" {
		name = "none"
	}
	return fmt.Sprintf("%s: %d", name, most)
}

// sumOf returns the sum of the numbers.
func sumOf(numbers map[string]int) int {
	total := 0
	for _, n := range numbers {
		total += n
	}
	return total
}
