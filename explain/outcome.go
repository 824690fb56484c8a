package explain

import (
	"fmt"
	"strconv"
	"time"
)

// deadlineMargin is the largest remaining time at which a disconnect is put down to
// the deadline of the request.
const deadlineMargin = 100 * time.Millisecond

// minAbandonTimeout is the shortest time without an event after which a disconnect is
// put down to the abandonment timeout of the caller. It is fixed here, because the log
// does not hold the abandonment timeout of the route, which the gateway uses.
const minAbandonTimeout = 1900 * time.Millisecond

// reasonTexts explains the values of the field reason of a request's last line, except
// caller-left, which disconnectCause explains.
var reasonTexts = map[string]string{
	"served":                 "The caller has the whole answer.",
	"upstream-answered":      "The upstream itself answered with a failure; it was passed on unchanged.",
	"upstreams-refused":      "Not run: the upstreams that were asked refused. The caller was told when to come back.",
	"upstreams-paused":       "Not run: all upstreams had asked for no requests for a time. The caller was told when the first wants some again.",
	"upstreams-limited":      "Not run: the limits that all upstreams had named left no room for it in its time. The caller was told when this entry has its next turn.",
	"data-centres-evacuated": "Not run: all upstreams that it may reach are in data centres that the operators evacuate.",
	"no-upstream-in-regions": "Not run: no upstream is in the regions that its route and its team allow.",
	"too-many-waiting":       "Not run: it was not expected to be served in its time. The caller was told when to come back.",
	"no-upstream":            "Not run: the service had no ready upstream.",
	"keys-not-current":       "Not run: the store had not been heard for so long that its key might have been taken away.",
	"no-configuration":       "Not run: the entry had no configuration yet.",
	"unknown-key":            "Denied: no team has the key in the configuration of that version.",
	"no-route":               "Denied: the configuration of that version has no route for it.",
	"body":                   "Denied: the body is too long or was cut.",
	"quarantined":            "Not run: upstreams crashed while they ran equal requests, or requests with the same part. It is refused until the records of that expire.",
	"equal-request-runs":     "Not run: an upstream crashed while it ran an equal request, so that these run one at a time, and another did not finish in time.",
	"memory":                 "Not run: what the entry holds for callers left no room for its body. The caller was told when to come back.",
	"caller-reads-slowly":    "The caller did not read its answer in time; its connection was closed and the upstream freed.",
	"timeout":                "Its time ended; with sends=0 it did not run, otherwise it may have run.",
	"upstreams-failed":       "It may have run: an upstream broke off, and it may not be sent again.",
	"stream-broken":          "The stream broke after its first event and could not go on elsewhere.",
}

// outcome describes how a request ended. It needs all lines that name the request, in
// order and at least one. A last line without a known reason counts as no end of the
// request. If any line names a culprit, the first one named precedes the description.
func outcome(requestLines []Line) string {
	last := endOf(requestLines)
	text, ok := reasonTexts[last.Get("reason")]
	switch {
	case last.Get("reason") == "caller-left":
		text = disconnectCause(last)
	case !ok:
		text = "The log has no end of the request: the process ended, or lines were dropped."
	}
	text = heldBack(requestLines) + moves(requestLines) + text
	for _, line := range requestLines {
		culprit := line.Get("culprit")
		if culprit != "" {
			return fmt.Sprintf("A rank of the group did not work; the refusal names %s.\n%s", culprit, text)
		}
	}
	return text
}

// heldBack says what held the request back while ranks had free slots, and for how long. It
// returns the empty text if nothing did.
func heldBack(requestLines []Line) string {
	for _, line := range requestLines {
		if line.Message != messageHeldBack {
			continue
		}
		return fmt.Sprintf("It waited %s at the entry beside %s free slots, because %s: %s slots of each rank were kept "+
			"for more urgent requests, and ranks took %s requests at most (0: no limit), by figures of all entries of %s before (0: its own).\n",
			seconds(line, "waited"), line.Get("free"), holdText(line.Get("cause")), line.Get("reserved"), line.Get("passes"), seconds(line, "age"))
	}
	return ""
}

// holdText describes a cause for which a request was held back.
func holdText(cause string) string {
	switch cause {
	case "share":
		return "its entry had used up its share of them"
	case "reserve":
		return "they were kept for more urgent requests"
	case "passes":
		return "more requests would have made passes too long"
	case "late":
		return "it was late and they were left to requests that could be on time"
	}
	return "of " + cause
}

// moves says for how long the request waited to go on after attempts that may have run. It
// returns the empty text if there were none.
func moves(requestLines []Line) string {
	text := ""
	for _, line := range requestLines {
		if line.Message != "request moved" {
			continue
		}
		to := "no other upstream"
		if line.Get("to") != "" {
			to = line.Get("to")
		}
		text += fmt.Sprintf("After event %s from %s it waited %s and went to %s.\n",
			line.Get("event"), line.Get("upstream"), seconds(line, "waited"), to)
	}
	return text
}

// disconnectCause describes why a caller closed its connection before the response
// was complete. last is the line with the message "request", which the gateway writes
// at the end of a request. Its field waited is the time in the queue for an upstream,
// and first is zero if no byte of the response had come. The causes are tried in this
// order: the deadline, a gap between events, no response, the queue; if none fits, the
// caller left early.
func disconnectCause(last Line) string {
	elapsed, queueTime, timeToFirstByte, longestGap := seconds(last, "took"), seconds(last, "waited"), seconds(last, "first"), seconds(last, "gap")
	allowedTime := seconds(last, "given")
	switch {
	case allowedTime > 0 && elapsed > allowedTime-deadlineMargin:
		return fmt.Sprintf("The caller left when its time of %s was over: it waited %s for an upstream, and %s events had come.",
			allowedTime, queueTime, last.Get("events"))
	case longestGap >= minAbandonTimeout:
		return fmt.Sprintf("The caller left when no event had come for %s.", longestGap)
	case timeToFirstByte == 0 && elapsed >= minAbandonTimeout:
		return fmt.Sprintf("The caller left when nothing had come for %s: it waited %s for an upstream and %s at the last one.",
			elapsed, queueTime, elapsed-queueTime)
	case timeToFirstByte == 0 && queueTime > elapsed/2:
		return fmt.Sprintf("The caller left after %s, of which the request waited %s for an upstream.", elapsed, queueTime)
	default:
		return fmt.Sprintf("The caller left after %s, before anything was late enough to leave for.", elapsed)
	}
}

// seconds returns the duration in a field that counts seconds, rounded to a
// millisecond. It returns zero if the field is missing or not a number.
func seconds(line Line, key string) time.Duration {
	number, err := strconv.ParseFloat(line.Get(key), 64)
	if err != nil {
		return 0
	}
	return time.Duration(number * float64(time.Second)).Round(time.Millisecond)
}
