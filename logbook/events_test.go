package logbook_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// message matches a call that logs an event; its group is the message. logAttemptFailure,
// logUpstream and logCrash are functions of packages gateway, watch and quarantine that
// take the message as an argument. If one of them is renamed, the pattern has to be changed too: the test would
// skip their messages, and the least number of events below may not show it.
var message = regexp.MustCompile(`(?:[lL]og(?:ger\(\))?\.(?:Info|Warn|Error|Debug)|logAttemptFailure|logUpstream|logCrash)\("([^"]+)"`)

// Every message logged by the packages of the entry and sidecar processes is listed in
// docs/OPERATIONS.md.
func TestEventsAreDocumented(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	seen := 0
	for _, folder := range []string{"dispatch", "fallback", "gateway", "group", "quarantine", "watch", "machine"} {
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
		t.Errorf("found %d events, want at least 25: the pattern does not match the code any more", seen)
	}
}
