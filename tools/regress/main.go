// Regress compares the newest score of each standard day in the journal with the best one ever
// in docs/MEASUREMENTS.md, so that a fall over several landings shows. It exits with 1 if a
// day is worth less than that by more than the tolerance and is not listed among the known
// failures. With -write it sets the table to the best scores of the journal.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

func main() {
	root := flag.String("root", "..", "folder of the project")
	write := flag.Bool("write", false, "write the best scores of the days in the table")
	flag.Parse()
	if !run(*root, *write) {
		os.Exit(1)
	}
}

// run compares the scores, or writes the table, and reports whether that succeeded and no day
// fell.
func run(root string, write bool) bool {
	page := filepath.Join(root, "docs", "MEASUREMENTS.md")
	scores, err := readScores(filepath.Join(root, "journal"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	best, err := readTable(page)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	if write {
		err := writeTable(page, raise(best, scores))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return false
		}
		return true
	}
	known, err := readKnown(filepath.Join(root, "KNOWN-RED.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	ok := true
	for _, fall := range findFalls(best, newest(scores)) {
		if known[fall.day] {
			fmt.Println("known red:", fall)
			continue
		}
		fmt.Println("FELL:", fall)
		ok = false
	}
	return ok
}
