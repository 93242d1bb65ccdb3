package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/standin/caller"
	"acaciawinch/standin/upstream"
)

// roundsOfEachKind is how many times each kind of valid request is sent.
const roundsOfEachKind = 12

// oversizeBody is the size of a body above the entries' default limit of 1 MiB.
const oversizeBody = 1<<20 + 1<<10

// sendConcurrently sends all requests concurrently, distributed over the entries. It
// returns the number of complete responses and a description of the first other result.
func (d *demo) sendConcurrently(ctx context.Context, requests []caller.Request) (int, string) {
	results := make([]caller.Result, len(requests))
	var group sync.WaitGroup
	for i, request := range requests {
		group.Go(func() { results[i] = d.send(ctx, i, request, false) })
	}
	group.Wait()
	count := 0
	other := ""
	for _, result := range results {
		if answered(result) {
			count++
		} else if other == "" {
			other = "; other: " + describeResult(result)
		}
	}
	return count, other
}

// requestsOf returns roundsOfEachKind requests for each pair, every second one streamed.
// If key is not empty, each request gets an idempotency key that starts with it.
func (d *demo) requestsOf(kind []pair, key string) []caller.Request {
	var requests []caller.Request
	for round := range roundsOfEachKind {
		for i, p := range kind {
			r := d.request(p)
			r.Stream = round%2 == 1
			if key != "" {
				r.Key = fmt.Sprintf("%s-%d-%d", key, round, i)
			}
			requests = append(requests, r)
		}
	}
	return requests
}

// sendIdempotent sends idempotent requests through all entries.
func (d *demo) sendIdempotent(ctx context.Context) {
	requests := d.requestsOf(d.pairs.idempotent, "")
	count, other := d.sendConcurrently(ctx, requests)
	d.report(count == len(requests), "idempotent: %d of %d answered%s", count, len(requests), other)
}

// sendNonIdempotent sends requests whose pipelines have a non-idempotent stage.
func (d *demo) sendNonIdempotent(ctx context.Context) {
	requests := d.requestsOf(d.pairs.nonIdempotent, "demo")
	count, other := d.sendConcurrently(ctx, requests)
	d.report(count == len(requests), "non-idempotent with a key: %d of %d answered%s", count, len(requests), other)
}

// sendRepeatedKeys sends requests with the same idempotency key through different entries,
// first one after the other, then concurrently.
func (d *demo) sendRepeatedKeys(ctx context.Context) {
	first := d.request(d.pairs.nonIdempotent[0])
	first.Key = "repeated-after"
	d.send(ctx, 0, first, false)
	repeat := d.send(ctx, 1, first, false)
	d.report(answered(repeat), "repeated key through another entry: %s", describeResult(repeat))

	concurrent := d.request(d.pairs.nonIdempotent[0])
	concurrent.Key = "repeated-beside"
	count, other := d.sendConcurrently(ctx, []caller.Request{concurrent, concurrent, concurrent})
	d.report(count == 3, "same key through three entries at once: %d of 3 answered%s", count, other)
}

// badRequest is an invalid request that must be refused before it reaches an upstream.
type badRequest struct {
	name    string
	request caller.Request
	status  int
}

// sendBadRequests sends one invalid request of every kind and checks that it is refused.
func (d *demo) sendBadRequests(ctx context.Context) {
	for _, b := range d.badRequests() {
		result := d.send(ctx, 0, b.request, true)
		ok := result.Verdict == caller.Problem &&
			result.Outcome == core.OutcomeNotRun && result.Status == b.status
		d.report(ok, "refused, %s: %s", b.name, describeResult(result))
	}
}

// badRequests returns one invalid request of every kind.
func (d *demo) badRequests() []badRequest {
	valid := func() caller.Request { return d.request(d.pairs.idempotent[0]) }
	badJSON := valid()
	badJSON.Body = bytes.TrimSuffix(badJSON.Body, []byte("}"))
	unknownWorkspace := valid()
	unknownWorkspace.Workspace = "nobody"
	unknownPipeline := valid()
	unknownPipeline.Pipeline = "nothing"
	foreign := d.request(d.pairs.foreign)
	oversize := valid()
	oversize.Body = append(oversize.Body, bytes.Repeat([]byte{' '}, oversizeBody)...)
	method := valid()
	method.Method = http.MethodPut
	zeroDeadline := valid()
	zeroDeadline.DeadlineMS = "0"
	return []badRequest{
		{"bad JSON", badJSON, http.StatusBadRequest},
		{"unknown workspace", unknownWorkspace, http.StatusNotFound},
		{"unknown pipeline", unknownPipeline, http.StatusNotFound},
		{"another workspace's pipeline", foreign, http.StatusNotFound},
		{"oversize body", oversize, http.StatusRequestEntityTooLarge},
		{"wrong method", method, http.StatusMethodNotAllowed},
		{"deadline 0", zeroDeadline, http.StatusBadRequest},
	}
}

// explain prints the output of the operators' explain command for one request.
func (d *demo) explain(ctx context.Context, id string) {
	output, err := d.fleet.Command(ctx, "explain", id)
	if err != nil {
		d.report(false, "explain %s: %v", id, err)
		return
	}
	d.report(strings.Contains(output, id), "explain %s:", id)
	fmt.Println(strings.TrimSpace(output))
}

// The number of streams in flight when the planned stop begins, the factor by which the
// engines are slowed, and the deadline of the streams. A stream lasts about two seconds:
// longer than any delay in an entry's stop that could let a shorter stream end even if
// the entry did not wait for it.
const (
	streamsAtStop    = 9
	slowdownAtStop   = 15
	deadlineAtStopMS = "5000"
)

// slowEngines slows all engines by slowdownAtStop.
func (d *demo) slowEngines(ctx context.Context) error {
	for _, u := range d.fleet.Upstreams {
		if u.Group.Kind != config.KindEngine {
			continue
		}
		if err := u.SetControl(ctx, upstream.Control{SlowFactor: slowdownAtStop}); err != nil {
			return err
		}
	}
	return nil
}

// startStreams starts streams through all entries and waits until each has its first
// chunk or has ended. The returned function waits until all have ended and reports
// how many were complete.
func (d *demo) startStreams(ctx context.Context) (wait func()) {
	if err := d.slowEngines(ctx); err != nil {
		d.report(false, "slow the engines down: %v", err)
	}
	var started, ended sync.WaitGroup
	results := make([]caller.Result, streamsAtStop)
	for i := range results {
		started.Add(1)
		markStarted := sync.OnceFunc(started.Done)
		ended.Go(func() {
			defer markStarted()
			r := d.request(d.pairs.idempotent[0])
			r.DeadlineMS = deadlineAtStopMS
			r.Stream = true
			r.OnChunk = func([]byte) { markStarted() }
			results[i] = d.send(ctx, i, r, false)
		})
	}
	started.Wait()
	return func() {
		ended.Wait()
		count := 0
		for _, result := range results {
			if answered(result) {
				count++
			}
		}
		d.report(count == len(results), "streams in flight at the planned stop: %d of %d answered whole", count, len(results))
	}
}
