package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
)

const (
	// tableStart is the heading row of the table of the best scores.
	tableStart = "| deployment | day | best worth | commit |\n|---|---|---|---|\n"
	// knownPrefix begins a line of KNOWN-RED.txt that names a fallen day.
	knownPrefix = "fallen:"
)

// readTable returns the best scores in the table of a page.
func readTable(page string) (map[day]score, error) {
	_, rows, _, err := splitPage(page)
	if err != nil {
		return nil, err
	}
	best := make(map[day]score)
	for _, row := range rows {
		cells := strings.Split(strings.Trim(row, "| "), "|")
		if len(cells) != 4 {
			return nil, fmt.Errorf("row %q has %d cells, want 4", row, len(cells))
		}
		worth, err := strconv.ParseFloat(strings.TrimSpace(cells[2]), 64)
		if err != nil {
			return nil, fmt.Errorf("worth in row %q: %w", row, err)
		}
		d := day{
			site: strings.TrimSpace(cells[0]),
			name: strings.TrimSpace(cells[1]),
		}
		best[d] = score{
			worth:  worth,
			commit: strings.TrimSpace(cells[3]),
		}
	}
	return best, nil
}

// splitPage returns the text before the rows of the table of a page, the rows, and the text
// after them.
func splitPage(page string) (before string, rows []string, after string, err error) {
	data, err := os.ReadFile(page)
	if err != nil {
		return "", nil, "", fmt.Errorf("read page: %w", err)
	}
	before, after, found := strings.Cut(string(data), tableStart)
	if !found {
		return "", nil, "", fmt.Errorf("%s has no table of the best scores", page)
	}
	for strings.HasPrefix(after, "|") {
		row, rest, _ := strings.Cut(after, "\n")
		rows = append(rows, row)
		after = rest
	}
	return before + tableStart, rows, after, nil
}

// writeTable replaces the rows of the table of a page.
func writeTable(page string, best map[day]score) error {
	before, _, after, err := splitPage(page)
	if err != nil {
		return err
	}
	days := slices.SortedFunc(maps.Keys(best), func(a, b day) int {
		return strings.Compare(a.site+" "+a.name, b.site+" "+b.name)
	})
	var rows strings.Builder
	for _, d := range days {
		fmt.Fprintf(&rows, "| %s | %s | %.3f | %s |\n", d.site, d.name, best[d].worth, best[d].commit)
	}
	err = os.WriteFile(page, []byte(before+rows.String()+after), 0o644)
	if err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

// readKnown returns the days in the lines that begin with knownPrefix.
func readKnown(path string) (map[day]bool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read known failures: %w", err)
	}
	known := make(map[day]bool)
	for line := range strings.Lines(string(data)) {
		names, ok := strings.CutPrefix(line, knownPrefix)
		fields := strings.Fields(names)
		if !ok || len(fields) != 2 {
			continue
		}
		known[day{
			site: fields[0],
			name: fields[1],
		}] = true
	}
	return known, nil
}
