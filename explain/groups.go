package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// groupCounts counts what happened to one group.
type groupCounts struct {
	planners, shifts, maps, failed int
	// held is the time for which switches held the group, broken that for which it was
	// broken, as the entry saw it that saw it so for longest.
	held   time.Duration
	broken map[string]time.Duration
}

// groupTable holds the counts by group.
type groupTable map[string]*groupCounts

// at returns the counts of a group.
func (t groupTable) at(name string) *groupCounts {
	counts, ok := t[name]
	if !ok {
		counts = &groupCounts{broken: make(map[string]time.Duration)}
		t[name] = counts
	}
	return counts
}

// add counts a line of a planner. Lines without a group are not counted.
func (t groupTable) add(line *Line) {
	name := line.Get("group")
	if name == "" {
		return
	}
	switch line.Message {
	case "planner began":
		t.at(name).planners++
	case "demand shifted":
		t.at(name).shifts++
	case "map changed":
		t.at(name).maps++
	case "switch not done":
		t.at(name).failed++
	}
}

// write writes a table with a row for each group, if there is one.
func (t groupTable) write(w io.Writer) error {
	if len(t) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "\ngroup\tplanners\tshifts\tmaps\tswitches not done\theld\tbroken\n")
	for _, name := range slices.Sorted(maps.Keys(t)) {
		c := t[name]
		longest := time.Duration(0)
		for _, broken := range c.broken {
			longest = max(longest, broken)
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%.1f s\t%.1f s\n",
			name, c.planners, c.shifts, c.maps, c.failed, c.held.Seconds(), longest.Seconds())
	}
	err := table.Flush()
	if err != nil {
		return fmt.Errorf("write groups: %w", err)
	}
	return nil
}
