package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"

	"acaciawinch/core"
	"acaciawinch/standin/caller"
	"acaciawinch/standin/harness"
	"acaciawinch/standin/verdict"
)

// demo is the state of the demonstration. mu guards the fields below it.
type demo struct {
	fleet  *harness.Fleet
	client *caller.Client
	pairs  pairs

	mu         sync.Mutex
	exchanges  []verdict.Exchange
	failed     []string
	lastNumber int
}

// report prints the result of one check and records a failure.
func (d *demo) report(ok bool, format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	if ok {
		fmt.Println("ok  ", text)
		return
	}
	fmt.Println("FAIL", text)
	d.failed = append(d.failed, text)
}

// failure returns an error that names the failed checks, or nil.
func (d *demo) failure() error {
	if len(d.failed) == 0 {
		return nil
	}
	return errors.New("failed: " + strings.Join(d.failed, "; "))
}

// request returns a request for a pair with a unique body.
func (d *demo) request(p pair) caller.Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastNumber++
	return caller.Request{
		Workspace: p.workspace,
		Pipeline:  p.pipeline,
		Body:      fmt.Appendf(nil, `{"number":%d,"text":"demonstration"}`, d.lastNumber),
	}
}

// entryURL returns the URL of the entry for request i, in rotation.
func (d *demo) entryURL(i int) string {
	return d.fleet.Entries[i%len(d.fleet.Entries)].URL
}

// send sends a request to an entry and records the exchange.
func (d *demo) send(ctx context.Context, entry int, r caller.Request, bad bool) caller.Result {
	result := d.client.Send(ctx, d.entryURL(entry), r)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.exchanges = append(d.exchanges, verdict.Exchange{Request: r, Result: result, Bad: bad})
	return result
}

// runThin sends one streamed request.
func (d *demo) runThin(ctx context.Context) {
	d.sendStream(ctx)
}

// runFull sends requests of every kind.
func (d *demo) runFull(ctx context.Context) {
	d.sendIdempotent(ctx)
	d.sendNonIdempotent(ctx)
	d.sendRepeatedKeys(ctx)
	id := d.sendStream(ctx)
	d.sendBadRequests(ctx)
	d.explain(ctx, id)
}

// describeResult describes a caller's result in one line.
func describeResult(r caller.Result) string {
	text := fmt.Sprintf("%s %s, %d in %d ms", r.Verdict, r.Outcome, r.Status, r.Latency.Milliseconds())
	if r.Detail != "" {
		text += ": " + r.Detail
	}
	return text
}

// answered reports whether the caller got a complete response.
func answered(r caller.Result) bool {
	return r.Verdict == caller.Complete && r.Outcome == core.OutcomeAnswered
}

// sendStream sends one streamed request, prints its chunks as they arrive and returns the
// request's ID.
func (d *demo) sendStream(ctx context.Context) string {
	fmt.Print("a streamed answer: ")
	r := d.request(d.pairs.idempotent[0])
	r.Stream = true
	r.OnChunk = func(chunk []byte) { _, _ = os.Stdout.Write(chunk) }
	result := d.send(ctx, 0, r, false)
	fmt.Println()
	d.report(answered(result), "streamed: %d chunks, the first after %d ms: %s",
		len(result.Chunks), result.First.Milliseconds(), describeResult(result))
	return result.RequestID
}
