package explain

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"
)

// lookback is the time before the first line of a request from which lines about
// groups and about recoveries are reported.
const lookback = 3 * time.Second

// timeFormat is the layout of the times of lines in a report.
const timeFormat = "15:04:05.000"

// Report holds the log lines that concern one request.
type Report struct {
	// RequestLines are the lines that name the request.
	RequestLines []Line
	// StateLines are the lines with the state that the entry of the request had last
	// observed by the last line of the request: the latest line of each message about
	// the process, for each table, and the latest lines on each upstream, its limit, rank
	// and group. A rank has up to two: whether it answers, and whether it is slow.
	// Recoveries are left out if they came lookback or more before the first line of
	// the request.
	StateLines []Line
	// CrashLines are the lines on crashes of upstreams under equal requests that the entry
	// of the request wrote until the last line of the request, and the lines on failed
	// attempts of other equal requests, of all entries. If the request was refused because
	// of a part of its prompt, those with the part count as equal.
	CrashLines []Line
	// GroupLines are lines of other processes about groups, such as planners and
	// sidecars, from lookback before the first line of the request to its last one.
	GroupLines []Line
	// LateLines are the lines about responses to the request that came on a connection that
	// carried another one, and were skipped.
	LateLines []Line
}

// stateMessages are the messages of lines about the whole process. A line replaces
// the earlier one with the same message and table.
var stateMessages = []string{
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

// recoveryMessages report the end of a problem. They do not concern requests that
// begin more than lookback later.
var recoveryMessages = []string{
	"rank answers again",
	"rank no longer slow",
	"group works again",
	limitEnded,
}

// Messages about the limits that upstreams name.
const (
	limitNamed = "upstream names a limit"
	limitEnded = "upstream names no limit any more"
)

// groupMessages are the messages that planners and sidecars log about a group.
var groupMessages = []string{
	"demand shifted",
	"map changed",
	"planner began",
	"planner ended",
	"switch not done",
}

// crashMessages are the messages of lines about crashes of upstreams under requests with a
// fingerprint. Each entry logs all crashes, those that others found included.
var crashMessages = []string{
	"crash recorded",
	"crash learnt",
	"crash not counted",
	"suspect cleared",
}

// openSwitchPrefix begins the messages about switches that an earlier planner left
// open.
const openSwitchPrefix = "switch left open"

// NewReport returns the report on the request with the given id. Lines of one process
// must be in the order in which it wrote them. The report is empty if no line names
// the request.
func NewReport(id string, lines []Line) Report {
	var report Report
	for _, line := range lines {
		if line.Get("request") == id {
			report.RequestLines = append(report.RequestLines, line)
		}
		if line.Message == messageSkipped && line.Get("found") == id {
			report.LateLines = append(report.LateLines, line)
		}
	}
	if len(report.RequestLines) == 0 {
		return report
	}
	first, last := report.RequestLines[0], endOf(report.RequestLines)
	subject := subject{
		service:      last.Get("service"),
		fingerprints: make(map[string]bool),
		upstreams:    make(map[string]bool),
	}
	for _, line := range report.RequestLines {
		subject.upstreams[line.Get("upstream")] = true
		subject.fingerprints[line.Get("fingerprint")] = true
		if line.Get("part") != "" {
			subject.part = line.Get("part")
		}
	}
	latestByKey := make(map[string]Line)
	for _, line := range lines {
		switch {
		case subject.crashLine(line, id):
			if line.Message == messageFailed || line.Instance == first.Instance && !line.At.After(last.At) {
				report.CrashLines = append(report.CrashLines, line)
			}
		case line.Instance == first.Instance && !line.At.After(last.At):
			key, ok := subject.stateKey(line)
			if ok {
				latestByKey[key] = line
			}
			dropStale(latestByKey, line)
		case slices.Contains(groupMessages, line.Message) || strings.HasPrefix(line.Message, openSwitchPrefix):
			if line.At.After(first.At.Add(-lookback)) && !line.At.After(last.At) {
				report.GroupLines = append(report.GroupLines, line)
			}
		}
	}
	for _, line := range latestByKey {
		recovered := slices.Contains(recoveryMessages, line.Message)
		if !recovered || line.At.After(first.At.Add(-lookback)) {
			report.StateLines = append(report.StateLines, line)
		}
	}
	byTime(report.StateLines)
	byTime(report.CrashLines)
	byTime(report.GroupLines)
	return report
}

// subject holds what identifies the lines that concern a request.
type subject struct {
	service string
	// fingerprints holds those of the request and of the part that it was refused for.
	fingerprints map[string]bool
	// part is the part of its prompt that the request was refused for; empty if none.
	part string
	// upstreams holds the upstreams that the request was sent to.
	upstreams map[string]bool
}

// crashLine reports whether a line is about a crash under requests equal to the one with
// the given id, or about a failed attempt of another of them.
func (s *subject) crashLine(line Line, id string) bool {
	if line.Message == messageFailed {
		return line.Get("request") != id && s.equal(line)
	}
	return slices.Contains(crashMessages, line.Message) && s.fingerprints[line.Get("fingerprint")] && line.Get("fingerprint") != ""
}

// equal reports whether the request that a line names is equal to that of the subject, or
// has the part that that was refused for.
func (s *subject) equal(line Line) bool {
	if s.part != "" && slices.Contains(strings.Split(line.Get("parts"), ","), s.part) {
		return true
	}
	return line.Get("fingerprint") != "" && s.fingerprints[line.Get("fingerprint")]
}

// stateKey returns the key of the state that a line reports, and whether that state
// concerns the request. A later line with the same key replaces an earlier one.
func (s *subject) stateKey(line Line) (string, bool) {
	service := line.Get("service")
	switch {
	case slices.Contains(stateMessages, line.Message):
		return line.Message + line.Get("table"), true
	case line.Message == limitNamed || line.Message == limitEnded:
		return "limit " + line.Get("upstream"), service != "" && service == s.service
	case strings.HasPrefix(line.Message, "upstream ") && service != "" && s.upstreams[line.Get("upstream")]:
		return "upstream " + line.Get("upstream"), true
	case strings.HasPrefix(line.Message, "rank ") && service == s.service:
		return rankStateKey(line), true
	case strings.HasPrefix(line.Message, "group ") && service != "" && service == s.service:
		return "group " + line.Get("group"), true
	}
	return "", false
}

// dropStale removes the lines that a new line invalidates. When an upstream has gone,
// these are the lines on its rank. When a group works again, it is the line on a group
// that was logged without a group name because the group was not known yet. The
// recovery may be in any service, and a recovery without a group name removes itself.
func dropStale(latest map[string]Line, line Line) {
	switch line.Message {
	case "upstream gone":
		delete(latest, "pace "+line.Get("upstream"))
		delete(latest, "answers "+line.Get("upstream"))
		delete(latest, "limit "+line.Get("upstream"))
	case "group works again":
		delete(latest, "group ")
	}
}

// rankStateKey returns the key of a line on a rank. Whether the rank is slow and
// whether it answers are two separate states.
func rankStateKey(line Line) string {
	if strings.HasSuffix(line.Message, "slow") {
		return "pace " + line.Get("upstream")
	}
	return "answers " + line.Get("upstream")
}

// byTime sorts lines by their timestamps. Lines with equal timestamps keep their order.
func byTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
}

// Write writes the report as text, with the outcome of the request at the end. The
// field level and empty fields are left out.
func (r Report) Write(w io.Writer) error {
	if len(r.RequestLines) == 0 {
		_, err := fmt.Fprintln(w, "no line names this request")
		return err
	}
	var b strings.Builder
	instance := r.RequestLines[0].Instance
	writeSection(&b, "What "+instance+" believed", r.StateLines, instance)
	writeSection(&b, "Equal requests (~ placed by clock only)", r.CrashLines, instance)
	writeSection(&b, "What groups did meanwhile (~ placed by clock only)", r.GroupLines, instance)
	writeSection(&b, "The request", r.RequestLines, instance)
	writeSection(&b, "Responses to it that came while another awaited its own", r.LateLines, instance)
	for _, section := range attemptSections(r.RequestLines) {
		section.write(&b)
	}
	fmt.Fprintf(&b, "\n%s%s\n", r.groupProblems(), outcome(r.RequestLines))
	_, err := io.WriteString(w, b.String())
	return err
}

// groupProblems describes the problems that the entry had observed with the group of
// the service, one sentence on each line.
func (r *Report) groupProblems() string {
	text := ""
	for _, line := range r.StateLines {
		switch line.Message {
		case "group broken":
			text += "The group did not work: a rank had gone. Only one request at a time was sent, to try it.\n"
		case "rank silent":
			text += "Rank " + line.Get("upstream") + " did not answer the planner, and all others wait for it.\n"
		case "rank slow":
			text += "Rank " + line.Get("upstream") + " was slow, and each pass takes as long as the slowest.\n"
		}
	}
	return text
}

// writeSection writes lines under a title. Lines of processes other than instance are
// marked with "~". Nothing is written if there are no lines.
func writeSection(b *strings.Builder, title string, lines []Line, instance string) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(b, "%s:\n", title)
	for _, line := range lines {
		mark := " "
		if line.Instance != instance {
			mark = "~"
		}
		fmt.Fprintf(b, " %s %s %s: %s", mark, line.At.Format(timeFormat), line.Instance, line.Message)
		for _, f := range line.fields {
			if f.key != "level" && f.value != "" {
				fmt.Fprintf(b, " %s=%s", f.key, f.value)
			}
		}
		b.WriteString("\n")
	}
}
