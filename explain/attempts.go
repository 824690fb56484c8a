package explain

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// messageRequest is the message of the line that an entry writes at the end of a request.
const messageRequest = "request"

// Messages of the lines about attempts.
const (
	messageUnreachable = "upstream unreachable"
	messageRefused     = "attempt refused"
	messageAnswered    = "attempt answered"
	messageFailed      = "attempt failed"
	messageAbandoned   = "attempt abandoned"
	messageSkipped     = "response to another request skipped"
)

// attemptMessages are those of which each attempt has one or more.
var attemptMessages = []string{messageUnreachable, messageRefused, messageAnswered, messageFailed, messageAbandoned}

// attemptSection is what one entry logged about the attempts at a request.
type attemptSection struct {
	instance string
	// attempts holds a line about each attempt, in order.
	attempts []Line
	// ends holds the lines about the end of the request. There are several only if the entry
	// has got the ID more than once.
	ends []Line
}

// attemptSections returns what each entry logged about the attempts at the request, in the
// order in which they logged the first line. Entries that do not log beliefs are left out.
func attemptSections(requestLines []Line) []*attemptSection {
	var sections []*attemptSection
	for _, line := range requestLines {
		isAttempt := slices.Contains(attemptMessages, line.Message) && line.Get("send") != ""
		isEnd := line.Message == messageRequest && line.Get("belief") != ""
		if !isAttempt && !isEnd {
			continue
		}
		at := slices.IndexFunc(sections, func(s *attemptSection) bool { return s.instance == line.Instance })
		if at < 0 {
			at = len(sections)
			sections = append(sections, &attemptSection{instance: line.Instance})
		}
		if isEnd {
			sections[at].ends = append(sections[at].ends, line)
			continue
		}
		sections[at].add(line)
	}
	return sections
}

// add adds a line about an attempt, or what it says beyond an earlier one about the same. An
// attempt is told by its connection and how many requests that had carried before.
func (s *attemptSection) add(line Line) {
	at := slices.IndexFunc(s.attempts, func(other Line) bool {
		return line.Get("conn") != "" && line.Get("conn") == other.Get("conn") && line.Get("carried") == other.Get("carried")
	})
	if at < 0 {
		s.attempts = append(s.attempts, line)
		return
	}
	known := &s.attempts[at]
	known.At, known.Message = line.At, line.Message
	known.fields = append(slices.Clip(known.fields), line.fields...) // Get finds the earlier ones first
}

// write writes the attempts, one line for each, and the belief at the end.
func (s *attemptSection) write(b *strings.Builder) {
	fmt.Fprintf(b, "Attempts of %s:\n", s.instance)
	for _, line := range s.attempts {
		fmt.Fprintf(b, "   %s %s\n", line.At.Format(timeFormat), attemptText(line))
	}
	if len(s.ends) > 1 {
		fmt.Fprintf(b, "   The entry got this id %d times, so that the numbers begin anew.\n", len(s.ends))
	}
	for _, end := range s.ends {
		s.writeEnd(b, end)
	}
	if len(s.ends) == 0 {
		b.WriteString("   No line about the end: the process ended, or lines were dropped.\n")
	}
}

// writeEnd writes what is known of attempts without a line, and the belief at the end.
func (s *attemptSection) writeEnd(b *strings.Builder, end Line) {
	told := 0
	for _, line := range s.attempts {
		if line.Message != messageUnreachable {
			told++
		}
	}
	sends, err := strconv.Atoi(end.Get("sends"))
	missing := sends - told
	if err == nil && missing > 0 && len(s.ends) == 1 {
		fmt.Fprintf(b, "   %s %d to %s on connection %s: no line of its own, since it was answered at once, or the request ended during it.\n",
			end.At.Format(timeFormat), sends, end.Get("upstream"), end.Get("conn"))
	}
	if err == nil && missing > 1 && len(s.ends) == 1 {
		fmt.Fprintf(b, "   Lines about %d further attempts are missing: they were dropped.\n", missing-1)
	}
	fmt.Fprintf(b, "   %s %s\n", end.At.Format(timeFormat), endText(end))
}

// endOf returns the line about the end of a request, or its last one if there is none. The
// line about an abandoned attempt may come after that of the end.
func endOf(requestLines []Line) Line {
	for _, line := range slices.Backward(requestLines) {
		if line.Message == messageRequest {
			return line
		}
	}
	return requestLines[len(requestLines)-1]
}
