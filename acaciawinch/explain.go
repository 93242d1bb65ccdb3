package main

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strings"

	"acaciawinch/core/fault"
	"acaciawinch/entry/trace"
)

// explainCommand prints the decisions about a request and their reasons.
type explainCommand struct {
	env  *env
	Args struct {
		Request string `positional-arg-name:"REQUEST" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. Each entry can look up the requests of all
// others, so the first successful response is enough.
func (c *explainCommand) Execute([]string) error {
	adminURLs, err := c.env.adminURLs("explain")
	if err != nil {
		return err
	}
	var lastError error
	for _, adminURL := range adminURLs {
		response, err := getJSON(c.env.ctx, "explain", adminURL, "/v1/explain/"+url.PathEscape(c.Args.Request))
		if err != nil {
			lastError = moreRelevantError(lastError, err)
			continue
		}
		return c.show(response)
	}
	return lastError
}

// moreRelevantError returns the error to report of two: a, the earlier one, unless it is
// nil or NotFound, else b. An entry that failed might know a request that another did not
// find.
func moreRelevantError(a, b error) error {
	if a == nil || fault.Is(a, fault.NotFound) {
		return b
	}
	return a
}

// show prints the trace in a response.
func (c *explainCommand) show(response json.RawMessage) error {
	var found trace.Trace
	if err := json.Unmarshal(response, &found); err != nil {
		return fault.Wrap(fault.Internal, "explain", "", err)
	}
	return c.env.print(response, traceText(found))
}

// traceText returns the text of a trace, with one line or more for each decision.
func traceText(t trace.Trace) string {
	lines := []string{
		fmt.Sprintf("request %s: %s", t.RequestID, t.Outcome),
		fmt.Sprintf("  workspace %s, pipeline %s, revision %d, admitted %s, took %.1f ms",
			t.Workspace, t.Pipeline, t.Revision, t.AdmittedAt.Format("2006-01-02 15:04:05.000"), milliseconds(t.DurationUS)),
	}
	if t.Detail != "" {
		lines = append(lines, fmt.Sprintf("  given up at %s: %s", t.Step, t.Detail))
	}
	if t.Chunks > 0 {
		lines = append(lines, fmt.Sprintf("  %d chunks, digest %s", t.Chunks, t.Digest))
	}
	for _, decision := range t.Decisions {
		lines = append(lines, decisionText(decision)...)
	}
	return strings.Join(lines, "\n")
}

// decisionText returns one line for a decision and one for each alternative.
func decisionText(d trace.Decision) []string {
	line := fmt.Sprintf("%9.1f ms  %d %s", milliseconds(d.AtUS), d.Event, d.Name)
	if d.Stage != "" {
		line += fmt.Sprintf("  %s/%d", d.Stage, d.Attempt)
	}
	if d.Upstream != "" {
		line += "  " + string(d.Upstream)
	}
	lines := []string{line + ": " + d.Reason}
	for _, other := range d.Alternatives {
		lines = append(lines, fmt.Sprintf("%14snot %s: %s", "", other.Upstream, other.Reason))
	}
	return lines
}

// milliseconds converts microseconds to milliseconds.
func milliseconds(us int64) float64 { return float64(us) / 1000 }
