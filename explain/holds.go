package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"
)

// messageHeldBack is the message of the line that tells what held a request back.
const messageHeldBack = "request held back"

// holdRow is an account of the requests that were held back for one cause.
type holdRow struct {
	requests int
	waited   time.Duration
	// free is the sum over the requests of the slots that were free.
	free int
}

// holdTable is an account of the requests that were held back, by cause.
type holdTable map[string]*holdRow

// add adds a line, if it tells of a request that was held back.
func (t holdTable) add(line *Line) {
	if line.Message != messageHeldBack {
		return
	}
	cause := line.Get("cause")
	row := t[cause]
	if row == nil {
		row = &holdRow{}
		t[cause] = row
	}
	row.requests++
	row.waited += seconds(*line, "waited")
	free, err := strconv.Atoi(line.Get("free"))
	if err == nil {
		row.free += free
	}
}

// write writes a table with a row for each cause, if there is one.
func (t holdTable) write(w io.Writer) error {
	if len(t) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "\nheld back by\trequests\tmean wait\tmean free slots\n")
	for _, cause := range slices.Sorted(maps.Keys(t)) {
		row := t[cause]
		fmt.Fprintf(table, "%s\t%d\t%.3f s\t%d\n", cause, row.requests, row.waited.Seconds()/float64(row.requests), row.free/row.requests)
	}
	err := table.Flush()
	if err != nil {
		return fmt.Errorf("write holds: %w", err)
	}
	return nil
}
