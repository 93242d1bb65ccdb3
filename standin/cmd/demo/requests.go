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

// roundsOfEachKind is how often each kind of good request is sent.
const roundsOfEachKind = 12

// oversizeBody is above the entries' default limit on bodies, which is 1 MiB.
const oversizeBody = 1<<20 + 1<<10

// together sends all requests at once, by turns through the entries, and
// returns how many were answered whole, with the first other result.
func (d *demo) together(ctx context.Context, requests []caller.Request) (int, string) {
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

// requestsOf returns rounds of requests of each pair, keyed if key is not empty.
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

// idempotent sends idempotent requests through all entries.
func (d *demo) idempotent(ctx context.Context) {
	requests := d.requestsOf(d.pairs.idempotent, "")
	count, other := d.together(ctx, requests)
	d.report(count == len(requests), "idempotent: %d of %d answered%s", count, len(requests), other)
}

// nonIdempotent sends requests whose pipelines have a non-idempotent stage.
func (d *demo) nonIdempotent(ctx context.Context) {
	requests := d.requestsOf(d.pairs.nonIdempotent, "demo")
	count, other := d.together(ctx, requests)
	d.report(count == len(requests), "non-idempotent with a key: %d of %d answered%s", count, len(requests), other)
}

// repeated asks again with the same keys, each through another entry, both after
// the answer and at the same time.
func (d *demo) repeated(ctx context.Context) {
	first := d.request(d.pairs.nonIdempotent[0])
	first.Key = "repeated-after"
	d.send(ctx, 0, first, false)
	again := d.send(ctx, 1, first, false)
	d.report(answered(again), "repeated key through another entry: %s", describeResult(again))

	second := d.request(d.pairs.nonIdempotent[0])
	second.Key = "repeated-beside"
	count, other := d.together(ctx, []caller.Request{second, second, second})
	d.report(count == 3, "same key through three entries at once: %d of 3 answered%s", count, other)
}

// badRequest is a request that must be refused before any upstream sees it.
type badRequest struct {
	name    string
	request caller.Request
	status  int
}

// refused sends bad requests of every kind.
func (d *demo) refused(ctx context.Context) {
	for _, b := range d.badRequests() {
		result := d.send(ctx, 0, b.request, true)
		ok := result.Verdict == caller.Problem &&
			result.Outcome == core.OutcomeNotRun && result.Status == b.status
		d.report(ok, "refused, %s: %s", b.name, describeResult(result))
	}
}

// badRequests returns one bad request of every kind.
func (d *demo) badRequests() []badRequest {
	good := func() caller.Request { return d.request(d.pairs.idempotent[0]) }
	badJSON := good()
	badJSON.Body = bytes.TrimSuffix(badJSON.Body, []byte("}"))
	unknownWorkspace := good()
	unknownWorkspace.Workspace = "nobody"
	unknownPipeline := good()
	unknownPipeline.Pipeline = "nothing"
	foreign := d.request(d.pairs.foreign)
	oversize := good()
	oversize.Body = append(oversize.Body, bytes.Repeat([]byte{' '}, oversizeBody)...)
	method := good()
	method.Method = http.MethodPut
	noTime := good()
	noTime.DeadlineMS = "0"
	return []badRequest{
		{"bad JSON", badJSON, http.StatusBadRequest},
		{"unknown workspace", unknownWorkspace, http.StatusNotFound},
		{"unknown pipeline", unknownPipeline, http.StatusNotFound},
		{"another workspace's pipeline", foreign, http.StatusNotFound},
		{"oversize body", oversize, http.StatusRequestEntityTooLarge},
		{"wrong method", method, http.StatusMethodNotAllowed},
		{"deadline 0", noTime, http.StatusBadRequest},
	}
}

// explain prints what the operators' command tells about one request.
func (d *demo) explain(ctx context.Context, id string) {
	output, err := d.fleet.Command(ctx, "explain", id)
	if err != nil {
		d.report(false, "explain %s: %v", id, err)
		return
	}
	d.report(strings.Contains(output, id), "explain %s:", id)
	fmt.Println(strings.TrimSpace(output))
}

// The streams in flight when the planned stop begins: how many there are, and
// how much slower the engines then are. A stream lasts about two seconds, longer
// than anything by which an entry might let a short one end without waiting.
const (
	streamsAtStop    = 9
	slowdownAtStop   = 15
	deadlineAtStopMS = "5000"
)

// slowEngines makes the engines slower.
func (d *demo) slowEngines(ctx context.Context) error {
	for _, u := range d.fleet.Upstreams {
		if u.Group.Kind != config.KindEngine {
			continue
		}
		if err := u.Set(ctx, upstream.Control{SlowFactor: slowdownAtStop}); err != nil {
			return err
		}
	}
	return nil
}

// beginStreams starts streams through all entries and waits until each has its
// first chunk, or its end. The returned function waits for all ends.
func (d *demo) beginStreams(ctx context.Context) (wait func()) {
	if err := d.slowEngines(ctx); err != nil {
		d.report(false, "slow the engines down: %v", err)
	}
	var begun, ended sync.WaitGroup
	results := make([]caller.Result, streamsAtStop)
	for i := range results {
		begun.Add(1)
		first := sync.OnceFunc(begun.Done)
		ended.Go(func() {
			defer first()
			r := d.request(d.pairs.idempotent[0])
			r.DeadlineMS = deadlineAtStopMS
			r.Stream = true
			r.OnChunk = func([]byte) { first() }
			results[i] = d.send(ctx, i, r, false)
		})
	}
	begun.Wait()
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
