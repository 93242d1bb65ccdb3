package soak

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"time"

	"acaciawinch/standin/platformfleet"
	"acaciawinch/standin/worker"
)

// Bounds on the time until a change by the operator is in force everywhere.
const (
	revokeWithin = 5 * time.Second
	drainWithin  = 2 * time.Second
)

// evidence is what a run is judged by: the outcomes that clients saw and the work that workers did.
type evidence struct {
	outcomes []Outcome
	// runs counts the runs of each request, by its id.
	runs map[string]int
	// itemByHandle holds the item that each result was made for, by the handle of the result; items
	// holds all items that stage workers got.
	itemByHandle map[string]worker.Item
	items        []worker.Item
	// revoked is when the store acknowledged a configuration without the spare key; zero if never.
	revoked time.Time
	// stops are the planned stops of gateways during which no fault was active.
	stops []stop
	// workers holds what each incarnation of a worker did.
	workers []workerEvidence
	// disruptions are the time spans in which gateways were not in contact with the other parts.
	disruptions []disruption
	// linkDisruptions are those of single links.
	linkDisruptions []linkDisruption
}

// stop is a planned stop of a gateway.
type stop struct {
	gateway int
	at      time.Time
}

// gather reads from the workers what they did.
func (e *evidence) gather(fleet *platformfleet.Fleet) {
	e.runs, e.itemByHandle, e.items = fleet.Runs(), make(map[string]worker.Item), nil
	e.workers = nil
	fleet.Each(func(_ string, w *worker.Worker) {
		for _, batch := range w.Batches() {
			e.items = append(e.items, batch...)
		}
		e.workers = append(e.workers, workerEvidenceOf(w))
	})
	// Results are read last: a worker records a result before anybody can use it.
	fleet.Each(func(_ string, w *worker.Worker) { maps.Copy(e.itemByHandle, w.Made()) })
}

// violations returns the broken promises. If all is set, the outcomes of all requests are known, and
// work for a request without an outcome is a violation too.
func (e *evidence) violations(all bool) []string {
	var found []string
	outcomes := make(map[string]Outcome, len(e.outcomes))
	for _, o := range e.outcomes {
		outcomes[o.ID] = o
		if fault := e.judge(o); fault != "" {
			found = append(found, fmt.Sprintf("%s (%s, gateway %d, status %d, %s): %s", o.ID, o.Route, o.Gateway+1, o.Status, o.Err, fault))
		}
	}
	for _, item := range e.items {
		fault := e.judgeItem(item)
		if _, known := outcomes[item.ID]; fault == "" && all && !known && !strings.HasPrefix(item.ID, probePrefix) {
			fault = "no client had the outcome of its request"
		}
		if fault != "" {
			found = append(found, fmt.Sprintf("stage %d piece %d of %s: %s", item.Stage, item.Index, item.ID, fault))
		}
	}
	found = append(found, e.judgeWorkers(outcomes)...)
	found = append(found, e.judgeLimits(outcomes)...)
	found = append(found, e.judgeVersions()...)
	found = append(found, e.judgeInputs()...)
	for id := range e.runs {
		if _, known := outcomes[id]; all && !known && !strings.HasPrefix(id, probePrefix) {
			found = append(found, id+" ran and no client had its outcome")
		}
	}
	return found
}

// lastStatus is the last status that a response may have.
const lastStatus = 599

// judge returns what is wrong with one outcome, or "".
func (e *evidence) judge(o Outcome) string {
	runs := e.runs[o.ID]
	refused := o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests
	switch {
	case o.Route == unsafeRoute && runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case o.Route == unsafeRoute && refused && !o.Signed && runs > 0:
		return "was refused and ran"
	case o.Err == "" && (o.Status != 0 && o.Status < http.StatusOK || o.Status > lastStatus):
		return "got a status that is none"
	case o.Status == http.StatusUnauthorized && o.Key == platformfleet.Key, o.Status == http.StatusNotFound:
		return "is allowed by every configuration"
	case runs > 0 && o.Key == spareKey && !e.revoked.IsZero() && o.Sent.After(e.revoked.Add(revokeWithin)):
		return "ran with a key that had been taken away"
	case e.lostAtStop(o) && !e.endedByCrash(o):
		return "was read before a planned stop and got no answer"
	case o.Status == http.StatusOK && o.Complete:
		return judgeSuccess(o, runs)
	case o.Status == http.StatusOK && !strings.HasPrefix(wholeBody(o), withoutVersions(o.Body)):
		return fmt.Sprintf("got a part of a response with a gap, a repetition or foreign bytes: %q", o.Body)
	}
	return ""
}

// wholeBody returns the whole body of the response to a request.
func wholeBody(o Outcome) string {
	if o.Route == streamingRoute {
		return streamAfter(o.ID, o.After)
	}
	return "answer of " + o.ID
}

// judgeSuccess returns what is wrong with a complete successful response, or "".
func judgeSuccess(o Outcome, runs int) string {
	switch {
	case runs == 0:
		return "was answered and never ran"
	case !o.Signed:
		return "was answered without a signature"
	case o.Route != streamingRoute && o.Body != wholeBody(o):
		return fmt.Sprintf("got another answer: %q", o.Body)
	case o.Route == streamingRoute && withoutVersions(o.Body) != wholeBody(o):
		return fmt.Sprintf("got a stream with a gap, a repetition or a foreign event: %q", o.Body)
	}
	return ""
}

// completeStream returns the events of the complete stream of a request.
func completeStream(id string) string { return streamAfter(id, 0) }

// streamAfter returns the events of the stream of a request that follow a number of them.
func streamAfter(id string, after int) string {
	var text strings.Builder
	for number := after + 1; number <= streamEvents; number++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s %d\n\n", number, id, number)
	}
	return text.String()
}

// stopSlack is how long before a planned stop a request must have been sent for it to be certain that
// the gateway had read it.
const stopSlack = 100 * time.Millisecond

// lostAtStop reports whether a request was in flight at a planned stop of its gateway and got no complete
// response.
func (e *evidence) lostAtStop(o Outcome) bool {
	for _, s := range e.stops {
		inFlight := o.Sent.Before(s.at.Add(-stopSlack)) && o.Ended.After(s.at)
		if s.gateway == o.Gateway && inFlight && !o.Complete {
			return true
		}
	}
	return false
}

// judgeItem returns what is wrong with an item that a stage worker got, or "".
func (e *evidence) judgeItem(item worker.Item) string {
	if item.ID == "" {
		return "belongs to no request"
	}
	if item.Stage == 0 {
		if item.Key != "k" || len(item.Inputs) > 0 {
			return "has another key, or inputs"
		}
		return ""
	}
	seen := make(map[int]bool)
	for _, handle := range item.Inputs {
		input, known := e.itemByHandle[handle]
		if !known || input.ID != item.ID || input.Stage != item.Stage-1 {
			return "got the input " + handle + " of another request or stage"
		}
		seen[input.Index] = true
	}
	if len(seen) != encodeItems || len(item.Inputs) != encodeItems {
		return fmt.Sprintf("got %d inputs of %d pieces", len(item.Inputs), len(seen))
	}
	return ""
}
