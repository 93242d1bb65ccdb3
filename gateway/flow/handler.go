package flow

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/fingerprint"
	"acaciawinch/core/memory"
	crash "acaciawinch/core/quarantine"
	"acaciawinch/core/rendezvous"
	"acaciawinch/core/routes"
	"acaciawinch/core/value"
	"acaciawinch/gateway/framing"
	"acaciawinch/gateway/pools"
	"acaciawinch/gateway/quarantine"
	"acaciawinch/platform/header"
)

// Limits on client requests.
const (
	// defaultBodyBytes is the body limit if the configuration sets none.
	defaultBodyBytes = 4 << 20
	// responseMargin is how long before the client's timeout a request is ended, so that the
	// response still reaches the client: the network path to clients takes about 3 ms.
	responseMargin = 25 * time.Millisecond
	// defaultTimeout applies if neither the client nor the route sets a timeout.
	defaultTimeout = 60 * time.Second
)

// Retry-After values of refusals.
const (
	// retryAfterNotReady is for a process whose view is not complete or not fresh enough;
	// other processes can serve the request.
	retryAfterNotReady = 300 * time.Millisecond
	// retryAfterBusy is for a request that found no free capacity: upstreams finish a good
	// part of their work within it.
	retryAfterBusy = 400 * time.Millisecond
)

// request is the state of one client request.
type request struct {
	*Server
	w     http.ResponseWriter
	r     *http.Request
	table *routes.Table
	route *routes.Route
	hdr   header.Request
	// workspace is the owner of the client's API key; nil on routes without keys.
	workspace *routes.Workspace
	service   string
	class     pools.Class
	// value is the weight of the request against others of the same rank.
	value float64
	body  []byte
	// room is the memory of the body and of the items of the stages, aheadRoom that of a response that is
	// read ahead, and eventRoom that of the events of a stream.
	room, aheadRoom, eventRoom *memory.Reservation
	// fingerprint is equal for all attempts at the same request, subject also has the parts of its prompt that other
	// requests may share.
	fingerprint fingerprint.Fingerprint
	subject     crash.Subject
	started     time.Time
	// clientStarted is the latest time at which the client can have made its first attempt; it
	// is before started if another process refused an earlier attempt.
	clientStarted time.Time
	deadline      time.Time
	// startBy is the time by which the response must have started, or gone on if it broke off; the
	// client gives up then.
	startBy time.Time
	// ctx ends at the deadline, or when the client disconnects.
	ctx context.Context

	// tried are the upstreams that were chosen for the request; sends counts the sends that
	// reached an upstream, and unreached the choices that count to maxUnreached.
	tried     []string
	sends     int
	unreached int
	// crashPass allows one send although upstreams have crashed while running the request; it is
	// the zero Pass if there is none.
	crashPass quarantine.Pass
	// usedPass is the crashPass that the last send used up.
	usedPass quarantine.Pass
	// wasBrokenOff is set once an upstream closed the connection on which it ran the request.
	wasBrokenOff bool
	// mayHaveRun is set after a send that can't be proved not to have run.
	mayHaveRun bool
	// headSent is set once the head of a response was passed to the client.
	headSent bool
	// isStream is set if the client's response is a stream, of which upstreams send one event after
	// the other.
	isStream bool
	// endsWithConnection is set if only the end of the client's connection marks the end of the
	// response.
	endsWithConnection bool
	// doubtful is the last response of an upstream if the events passed on end with it and nothing
	// proves them to be complete.
	doubtful *passedOn
	// isIncomplete is set if the events passed on end with a response that is known to be incomplete.
	isIncomplete bool
	// doubtEnd ends the request if it is in doubt for too long; nil if it isn't in doubt.
	doubtEnd *time.Timer
	// lastEvent is the ID of the last event that the client has, from this response or, if it
	// resumes a stream, from an earlier one; empty if there is none.
	lastEvent string
	// isPastLast is set if events without an ID have been passed on since the event with the ID
	// lastEvent.
	isPastLast   bool
	events       int
	firstEventAt time.Time
	// software is the version at which the stream must go on; nil before its first event.
	software *string
	// recorded is set once the version of the stream was recorded.
	recorded bool
	// probe observes the pace of the upstream of the current send.
	probe paceProbe
	// results are the results of the stages; nil before the stages start, and on routes
	// without stages.
	results *results
	// silence is what the request knows of the silence of its upstreams.
	silence silenceState
}

// ServeHTTP implements http.Handler for client requests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	rq := &request{Server: s, w: w, r: r, started: time.Now(),
		room: s.Memory.Begin(memory.Bulk), aheadRoom: s.Memory.Begin(memory.Tiny), eventRoom: s.Memory.Begin(memory.Completion)}
	defer rq.room.Release()
	defer rq.aheadRoom.Release()
	defer rq.eventRoom.Release()
	if !rq.admit() {
		return
	}
	// A client that does not read its response must not hold the memory of its request.
	_ = http.NewResponseController(w).SetWriteDeadline(rq.deadline.Add(writeGrace)) // a broken connection fails the write itself
	ctx, cancel := context.WithDeadline(r.Context(), rq.deadline)
	defer cancel()
	rq.ctx = ctx
	rq.serve()
}

// admit decodes the request and checks it against the configuration. If it refuses the
// request, it sends the response and returns false.
func (rq *request) admit() bool {
	if framing.Ambiguous(rq.r) {
		rq.w.Header().Set("Connection", "close")
		return rq.refuse(http.StatusBadRequest, "request.read", "request has both a Content-Length and a Transfer-Encoding", 0)
	}
	// Ready must be read before Table: it may turn true between the two reads.
	ready := rq.View.Ready()
	rq.table = rq.View.Table()
	if !ready {
		return rq.refuse(http.StatusServiceUnavailable, "request.admit", "configuration, upstreams or crash records are not loaded yet", retryAfterNotReady)
	}
	if !strings.HasPrefix(rq.r.RequestURI, "/") {
		return rq.refuse(http.StatusBadRequest, "request.read", "request target is not a path", 0)
	}
	if limit := rq.table.Limits.HeaderBytes; limit > 0 && headBytes(rq.r) > limit {
		return rq.refuse(http.StatusRequestHeaderFieldsTooLarge, "request.read", "request headers exceed the size limit", 0)
	}
	path, _, _ := strings.Cut(rq.r.RequestURI, "?")
	rq.route = rq.table.Find(rq.r.Host, path)
	if rq.route == nil {
		return rq.refuseUnknown(http.StatusNotFound, "no route matches the host and path")
	}
	hdr, err := header.ReadRequest(rq.r.Header, len(rq.route.Stages))
	rq.hdr = hdr
	if err != nil {
		return rq.refuse(http.StatusBadRequest, "request.read", err.Error(), 0)
	}
	if !rq.authorise() {
		return false
	}
	rq.plan()
	return rq.readBody()
}

// headBytes returns the size of a request's head as sent on the wire.
func headBytes(r *http.Request) int {
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(" ") + len(" HTTP/1.1\r\n")
	size += len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// authorise finds the workspace of the client's API key. If it refuses the request, it sends the
// response and returns false.
func (rq *request) authorise() bool {
	if !rq.table.NeedsKey(rq.route) {
		return true
	}
	if !rq.View.KeysTrusted() {
		// A key may have been revoked since the last update from the store. Without a recent
		// freshness proof, no request with a key may run.
		return rq.refuse(http.StatusServiceUnavailable, "request.authorise", "API keys were last confirmed "+rq.proofAgeText(), retryAfterNotReady)
	}
	rq.workspace = rq.table.Workspace(rq.hdr.Key)
	if rq.workspace == nil {
		return rq.refuseUnknown(http.StatusUnauthorized, "no workspace has this API key")
	}
	return true
}

// proofAgeText describes the age of the freshness proof and where it came from, for use in
// messages.
func (rq *request) proofAgeText() string {
	age, known := rq.View.ProofAge()
	if !known {
		return "never"
	}
	proof, _ := rq.View.Proof()
	return fmt.Sprintf("%d ms ago by %s over %d hops", age.Milliseconds(), proof.From, proof.Hops)
}

// maxConfigAge is the age of the configuration up to which a route or key that is not in it is
// taken not to exist. In an older configuration, it may just be missing.
const maxConfigAge = 2500 * time.Millisecond

// refuseUnknown refuses a request whose route or key is not in the configuration. If the
// configuration may be stale, it refuses with 503 and a Retry-After instead of status.
func (rq *request) refuseUnknown(status int, detail string) bool {
	if age, known := rq.View.ProofAge(); !known || age > maxConfigAge {
		return rq.refuse(http.StatusServiceUnavailable, "request.admit", detail+", and the configuration was last confirmed "+rq.proofAgeText(), retryAfterNotReady)
	}
	return rq.refuse(status, "request.admit", detail, 0)
}

// plan sets the request's service, class, value, deadlines and last event.
func (rq *request) plan() {
	rq.service = pickTarget(rq.route.Targets, rq.streamKey().Attempt)
	if rq.route.RetryPolicy == routes.Resumable {
		rq.lastEvent = rq.hdr.LastEvent // upstreams of other routes need not heed it
	}
	rq.class = pools.Class{Priority: rq.route.Priority}
	if rq.workspace != nil && rq.workspace.HasPriority {
		rq.class.Rank = rq.workspace.Priority
	}
	rq.value = value.Of(value.Request{Priority: rq.route.Priority, PromptTokens: rq.hdr.PromptTokens, OutputTokens: rq.hdr.OutputTokens})
	rq.clientStarted = rq.started.Add(-rq.clientTimeUsed(rq.route.Name, rq.hdr.Remaining))
	wait := rq.route.Timeout
	if wait == 0 {
		wait = defaultTimeout
	}
	if remaining := rq.hdr.Remaining; remaining > 0 {
		wait = min(wait, remaining-responseMargin)
	}
	rq.deadline = rq.started.Add(wait)
	rq.startBy = rq.startLimit(rq.started)
}

// startLimit returns until when the client waits for the next event if it waits since a given time.
func (rq *request) startLimit(since time.Time) time.Time {
	limit := since.Add(rq.route.StartWithin - responseMargin)
	if rq.route.StartWithin == 0 || limit.After(rq.deadline) {
		return rq.deadline
	}
	return limit
}

// pickTarget returns the service of one of the targets, chosen by weight. The choice depends
// only on the ID, so that all attempts with the same ID get the same service.
func pickTarget(targets []routes.Target, id string) string {
	total := 0
	for _, t := range targets {
		total += t.Weight
	}
	at := int(rendezvous.Hash(id) % uint64(total))
	for _, t := range targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return targets[0].Service
}

// readBody reads the whole body before anything is forwarded, so that upstreams only get
// complete requests and an idempotent request can be sent again.
func (rq *request) readBody() bool {
	limit := rq.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if rq.r.ContentLength > limit {
		return rq.refuse(http.StatusRequestEntityTooLarge, "request.body", "request body exceeds the size limit", 0)
	}
	if err := rq.room.Grow(rq.itemBytes()); err != nil {
		return rq.refuse(http.StatusServiceUnavailable, "request.items", err.Error(), retryAfterBusy)
	}
	if rq.r.ContentLength != 0 && !rq.receiveBody(limit) {
		return false
	}
	rq.fingerprint = rq.identify()
	rq.subject = crash.Subject{Request: rq.fingerprint, Parts: identifyParts(rq.hdr.SharedParts)}
	return true
}

// itemBytes returns the memory of the items of the request's stages, whose number the client chooses.
func (rq *request) itemBytes() int64 {
	items := 0
	for _, count := range rq.hdr.Items {
		items += count
	}
	return int64(items) * pools.ItemBytes
}

// identifyParts returns the fingerprints of parts of a prompt.
func identifyParts(ids []string) []fingerprint.Fingerprint {
	parts := make([]fingerprint.Fingerprint, len(ids))
	for i, id := range ids {
		parts[i] = fingerprint.OfPart(id)
	}
	return parts
}

// broken returns what the quarantine needs to know of this attempt if its upstream closes the connection. Whole
// is set if the response is complete, unless the upstream has crashed.
func (rq *request) broken(whole bool) quarantine.Broken {
	return quarantine.Broken{Subject: rq.subject, ID: rq.hdr.ID, Whole: whole, Used: rq.usedPass}
}

// identify returns the fingerprint of the request.
func (rq *request) identify() fingerprint.Fingerprint {
	content := fingerprint.Request{Method: rq.r.Method, Host: rq.r.Host, Target: rq.r.RequestURI, Body: rq.body}
	if rq.workspace != nil {
		content.Workspace = rq.workspace.Name
	}
	return fingerprint.Of(content)
}

// serve runs the stages and sends the request, with retries, until the client has a response.
func (rq *request) serve() {
	if !rq.bindVersion() {
		return
	}
	if reason, retryAfter := rq.unavailable(); reason != "" {
		rq.refuse(http.StatusServiceUnavailable, "request.choose", reason, retryAfter)
		return
	}
	if err := rq.refusedByLimits(); err != nil {
		rq.giveUp(err)
		return
	}
	if err := rq.refusedAtAdmission(); err != nil {
		rq.giveUp(err)
		return
	}
	defer func() { rq.results.free() }()
	defer func() { rq.Guard.ReturnTrial(rq.hdr.ID, rq.crashPass, false) }()
	rq.countRequest(rq.service, rq.started)
	for {
		err := rq.checkQuarantine()
		if err == nil {
			err = rq.prepare()
		}
		if err != nil {
			rq.giveUp(err)
			return
		}
		err = rq.send()
		if err == nil {
			return
		}
		if !rq.mayRetry(err) {
			rq.giveUp(err)
			return
		}
	}
}

// checkQuarantine returns an error if the request must not be sent because upstreams crash while
// running it.
func (rq *request) checkQuarantine() error {
	pass, refusal := rq.Guard.Check(rq.ctx, quarantine.Attempt{Subject: rq.subject, ID: rq.hdr.ID, Pass: rq.crashPass, HasUpstream: rq.canRunExcluding})
	rq.crashPass = pass
	if refusal != nil {
		return fault.Wrap(fault.Refused, "request.quarantine", rq.service, refusal)
	}
	return nil
}

// canRunExcluding reports whether there is an upstream for the request now, other than the
// incarnations in excluded.
func (rq *request) canRunExcluding(excluded []string) bool {
	needs := rq.requirements()
	needs.excluded = excluded
	_, found := rq.preview(needs)
	return found
}

// unavailable returns why a service that the request needs accepts no work in time, and when the
// client may retry. The reason is empty if no service rules the request out. The check comes
// before the stages, so that no stage runs for a request that can't be served.
func (rq *request) unavailable() (reason string, retryAfter time.Duration) {
	services := []string{rq.service}
	for i, stage := range rq.route.Stages {
		if rq.hdr.Items[i] > 0 {
			services = append(services, stage.Service)
		}
	}
	upstreams, now := rq.View.Upstreams(), time.Now()
	for _, service := range services {
		if upstreams.Evacuated(service) {
			return "all upstreams of " + service + " are in evacuated zones", retryAfterBusy
		}
		if availableAt := rq.availableAt(service, now); availableAt.After(rq.startBy) {
			return "all upstreams of " + service + " are backed off", availableAt.Sub(now)
		}
	}
	return "", 0
}

// last returns the last element of a list, or an empty string.
func last(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[len(list)-1]
}

// stepOf returns the step at which an error occurred.
func stepOf(err error) string {
	var f *fault.Error
	if errors.As(err, &f) {
		return f.Step
	}
	return "request"
}
