package explain

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// briefUnit is the unit to which durations within an attempt are rounded.
const briefUnit = 10 * time.Microsecond

// promisingStatuses are the statuses that promise the caller that its request has not run and
// never will.
var promisingStatuses = []string{"408", "421", "429", "503"}

// attemptText describes an attempt: where it went and how, what came back, and what is
// believed of it.
func attemptText(line Line) string {
	if line.Message == messageUnreachable {
		return fmt.Sprintf("- to %s at %s: not sent, %s", line.Get("upstream"), line.Get("address"), line.Get("error"))
	}
	return fmt.Sprintf("%s to %s at %s on connection %s (%s), %s: %s%s",
		line.Get("send"), line.Get("upstream"), line.Get("address"), line.Get("conn"),
		connText(line), sentText(line), answerText(line), attemptBelief(line))
}

// connText tells where the connection of an attempt came from.
func connText(line Line) string {
	if line.Get("kept") == "true" {
		return "kept, requests before: " + line.Get("carried")
	}
	return "new"
}

// sentText tells when an attempt was sent and how much of it.
func sentText(line Line) string {
	part := "only "
	if line.Get("whole") == "true" {
		part = "all "
	}
	return fmt.Sprintf("sent %s after arrival, %s%s bytes written", brief(line, "sent"), part, line.Get("written"))
}

// answerText tells what came back.
func answerText(line Line) string {
	if line.Get("status") == "" {
		return fmt.Sprintf("no answer for %s%s", brief(line, "after"), skippedText(line))
	}
	claim := "no word of not having run"
	if line.Get("notrun") == "true" {
		claim = "stated not to have run"
	}
	proof := "no proof of origin"
	if line.Get("proven") == "true" {
		proof = "proof of origin"
	}
	early := ""
	if line.Get("whole") != "true" {
		early = " before the request was written whole"
	}
	return fmt.Sprintf("%s after %s%s (%s, id %s, %s)%s",
		line.Get("status"), brief(line, "after"), early, claim, line.Get("id"), proof, skippedText(line))
}

// skippedText tells what was skipped in search of the answer, if anything was.
func skippedText(line Line) string {
	skipped, informational := line.Get("skipped"), line.Get("informational")
	if skipped == "0" && informational == "0" {
		return ""
	}
	return fmt.Sprintf(", skipped before it: %s of other requests, %s informational", skipped, informational)
}

// attemptBelief tells what is believed of an attempt, and why.
func attemptBelief(line Line) string {
	cause := line.Get("error")
	switch line.Message {
	case messageRefused:
		if cause != "" {
			cause = ", though the rest of the refusal did not come: " + cause
		}
		return "; believed not to have run" + cause
	case messageFailed:
		return "; may have run: " + cause
	case messageAbandoned:
		if line.Get("reset") == "true" {
			cause = ", with a reset, since not all of it had arrived there"
		}
		return "; abandoned" + cause
	}
	return "; has run or may have"
}

// endText tells the belief at the end of a request, and what its caller was told.
func endText(end Line) string {
	belief := "may have run"
	switch end.Get("belief") {
	case "not-sent":
		belief = "not sent"
	case "refused":
		belief = "refused by each upstream that it was sent to"
	}
	status := "Status " + end.Get("status")
	if end.Get("status") == "0" {
		status = "No status, the connection was closed"
	}
	promise := ""
	if end.Get("idempotent") == "false" && slices.Contains(promisingStatuses, end.Get("status")) {
		promise = ", which promises that it has not run and never will"
		if end.Get("ran") != "0" {
			promise += ": that is false"
		}
	}
	kind := "not idempotent"
	if end.Get("idempotent") == "true" {
		kind = "idempotent, so that it may run again"
	}
	return fmt.Sprintf("Belief at the end: %s; %s; sent: %s, upstreams that may have run it: %s. %s (%s)%s.",
		belief, kind, end.Get("sends"), end.Get("ran"), status, end.Get("reason"), promise)
}

// brief returns the duration in a field that counts seconds, rounded to briefUnit. It is zero
// if the field is missing or not a number.
func brief(line Line, key string) time.Duration {
	number, err := strconv.ParseFloat(line.Get(key), 64)
	if err != nil {
		return 0
	}
	return time.Duration(number * float64(time.Second)).Round(briefUnit)
}
