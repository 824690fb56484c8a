package explain

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"
)

// before is how long before a request's first line the planner's work counts.
const before = 3 * time.Second

// Report is what concerns one request.
type Report struct {
	// RequestLines are the lines that name the request.
	RequestLines []Line
	// StateLines are what its entry had learnt when it was decided.
	StateLines []Line
	// GroupLines is what the planner and sidecars of groups did meanwhile.
	GroupLines []Line
}

// beliefMessages are the messages of lines that replace an earlier belief of the
// same process.
var beliefMessages = []string{
	"configuration in force",
	"store lost",
	"store regained",
	"history gone, table is read again",
	"group status lost",
	"group status regained",
	"entry started",
	"entry stopping",
	"settings read again",
}

// overMessages are the messages of beliefs that a trouble is over. They tell nothing of
// later requests.
var overMessages = []string{
	"rank answers again",
	"rank no longer slow",
	"group works again",
}

// groupMessages are the messages of lines about a group.
var groupMessages = []string{
	"demand shifted",
	"map changed",
	"planner began",
	"planner ended",
	"switch not done",
}

// groupPrefix begins the messages about switches that a planner left behind.
const groupPrefix = "switch left open"

// NewReport returns the story of a request. Lines of one process have to be in the
// order in which it wrote them.
func NewReport(id string, lines []Line) Report {
	var story Report
	for _, line := range lines {
		if line.Get("request") == id {
			story.RequestLines = append(story.RequestLines, line)
		}
	}
	if len(story.RequestLines) == 0 {
		return story
	}
	first, last := story.RequestLines[0], story.RequestLines[len(story.RequestLines)-1]
	subject := subject{
		service:   last.Get("service"),
		upstreams: make(map[string]bool),
	}
	for _, line := range story.RequestLines {
		subject.upstreams[line.Get("upstream")] = true
	}
	latest := make(map[string]Line)
	for _, line := range lines {
		switch {
		case line.Instance == first.Instance && !line.At.After(last.At):
			key, ok := subject.belief(line)
			if ok {
				latest[key] = line
			}
			forget(latest, line)
		case slices.Contains(groupMessages, line.Message) || strings.HasPrefix(line.Message, groupPrefix):
			if line.At.After(first.At.Add(-before)) && !line.At.After(last.At) {
				story.GroupLines = append(story.GroupLines, line)
			}
		}
	}
	for _, line := range latest {
		over := slices.Contains(overMessages, line.Message)
		if !over || line.At.After(first.At.Add(-before)) {
			story.StateLines = append(story.StateLines, line)
		}
	}
	byTime(story.StateLines)
	byTime(story.GroupLines)
	return story
}

// subject is what a request was about.
type subject struct {
	service   string
	upstreams map[string]bool
}

// belief returns what a line is a belief of, if it is one that matters.
func (s *subject) belief(line Line) (string, bool) {
	service := line.Get("service")
	switch {
	case slices.Contains(beliefMessages, line.Message):
		return line.Message + line.Get("table"), true
	case strings.HasPrefix(line.Message, "upstream ") && service != "" && s.upstreams[line.Get("upstream")]:
		return "upstream " + line.Get("upstream"), true
	case strings.HasPrefix(line.Message, "rank ") && service == s.service:
		return rankBelief(line), true
	case strings.HasPrefix(line.Message, "group ") && service != "" && service == s.service:
		return "group " + line.Get("group"), true
	}
	return "", false
}

// forget drops what a line makes void: beliefs of a rank that has gone, and those of a
// group that was not known yet once a group of the service works.
func forget(latest map[string]Line, line Line) {
	switch line.Message {
	case "upstream gone":
		delete(latest, "pace "+line.Get("upstream"))
		delete(latest, "answers "+line.Get("upstream"))
	case "group works again":
		delete(latest, "group ")
	}
}

// rankBelief returns what a line on a rank is a belief of: that it answers or that it
// is slow.
func rankBelief(line Line) string {
	if strings.HasSuffix(line.Message, "slow") {
		return "pace " + line.Get("upstream")
	}
	return "answers " + line.Get("upstream")
}

// byTime orders lines by their clocks.
func byTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
}

// Write writes the story as text.
func (s Report) Write(w io.Writer) error {
	if len(s.RequestLines) == 0 {
		_, err := fmt.Fprintln(w, "no line names this request")
		return err
	}
	var b strings.Builder
	instance := s.RequestLines[0].Instance
	write(&b, "What "+instance+" believed", s.StateLines, instance)
	write(&b, "What groups did meanwhile (~ placed by clock only)", s.GroupLines, instance)
	write(&b, "The request", s.RequestLines, instance)
	fmt.Fprintf(&b, "\n%s%s\n", s.troubles(), verdict(s.RequestLines))
	_, err := io.WriteString(w, b.String())
	return err
}

// troubles says what the entry knew to be wrong with the service's group.
func (s *Report) troubles() string {
	told := ""
	for _, line := range s.StateLines {
		switch line.Message {
		case "group broken":
			told += "The group did not work: a rank had gone. Only one request at a time was sent, to try it.\n"
		case "rank silent":
			told += "Rank " + line.Get("upstream") + " did not answer the planner, and all others wait for it.\n"
		case "rank slow":
			told += "Rank " + line.Get("upstream") + " was slow, and each pass takes as long as the slowest.\n"
		}
	}
	return told
}

// write writes lines under a title.
func write(b *strings.Builder, title string, lines []Line, instance string) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(b, "%s:\n", title)
	for _, line := range lines {
		mark := " "
		if line.Instance != instance {
			mark = "~"
		}
		fmt.Fprintf(b, " %s %s %s: %s", mark, line.At.Format("15:04:05.000"), line.Instance, line.Message)
		for _, f := range line.fields {
			if f.key != "level" && f.value != "" {
				fmt.Fprintf(b, " %s=%s", f.key, f.value)
			}
		}
		b.WriteString("\n")
	}
}
