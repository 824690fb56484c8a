package logbook_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// message finds the messages of log lines in source files.
var message = regexp.MustCompile(`(?:[lL]og(?:ger\(\))?\.(?:Info|Warn|Error|Debug)|logAttempt|logUpstream)\("([^"]+)"`)

// Every event that the processes on the platform's machines log stands in the
// operators' page.
func TestEventsAreDocumented(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	seen := 0
	for _, folder := range []string{"dispatch", "gateway", "group", "watch", "machine"} {
		paths, err := filepath.Glob(filepath.Join("..", folder, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range paths {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			source, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			for _, match := range message.FindAllStringSubmatch(string(source), -1) {
				seen++
				if !strings.Contains(string(page), "`"+match[1]+"`") {
					t.Errorf("%s logs %q, which docs/OPERATIONS.md does not list", path, match[1])
				}
			}
		}
	}
	if seen < 25 {
		t.Errorf("found %d events only: the pattern does not fit the code", seen)
	}
}
