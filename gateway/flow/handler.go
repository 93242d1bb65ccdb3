package flow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/fingerprint"
	"acaciawinch/core/pool"
	"acaciawinch/core/rendezvous"
	"acaciawinch/core/routes"
	"acaciawinch/core/value"
	"acaciawinch/gateway/framing"
	"acaciawinch/gateway/pools"
	"acaciawinch/gateway/quarantine"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/header"
)

// Limits of what is read from clients.
const (
	// defaultBodyBytes applies where the configuration has no limit.
	defaultBodyBytes = 4 << 20
	// bodiesBytes bounds the bodies that are held at once, a fifth of the smallest
	// machine's memory.
	bodiesBytes = 32 << 20
	// answerMargin is how long before the client gives up a request is ended, so that
	// the answer still reaches it: the way to clients takes some 3 ms.
	answerMargin = 25 * time.Millisecond
	// defaultTimeout applies where neither the client nor the route has one.
	defaultTimeout = 60 * time.Second
)

// Retry-After of refusals.
const (
	// retryUnready is for a process that does not know enough yet: other processes do.
	retryUnready = 300 * time.Millisecond
	// retryBusy is for a request that found no place: upstreams turn over a good part
	// of their work within it.
	retryBusy = 400 * time.Millisecond
)

// request is one request of a client on its way.
type request struct {
	*Server
	w     http.ResponseWriter
	r     *http.Request
	table *routes.Table
	route *routes.Route
	asked header.Request
	// workspace is who holds the client's key; nil on routes without keys.
	workspace *routes.Workspace
	service   string
	class     pools.Class
	// value is what the request counts for against others of its class's rank.
	value float64
	body  []byte
	// fingerprint is that of all attempts that ask for the same.
	fingerprint fingerprint.Fingerprint
	began       time.Time
	// since is when its client began at the latest: before began if it was refused elsewhere.
	since    time.Time
	deadline time.Time
	// startBy is when the answer must have begun: the client leaves then.
	startBy time.Time
	// ctx ends at the deadline, or when the client leaves.
	ctx context.Context

	// tried are the upstreams that the request was sent to, and sends how often.
	tried []string
	sends int
	// crashPass lets it be sent although upstreams have crashed under it.
	crashPass quarantine.Pass
	// usedPass is the one with which it was sent last.
	usedPass quarantine.Pass
	// mayHaveRun is set once a send can't be proved not to have run.
	mayHaveRun bool
	// begun is set once the head of an answer has gone to the client.
	begun     bool
	lastEvent string
	events    int
	firstAt   time.Time
	// results are what the stages made; nil before, and on routes without stages.
	results *results
}

// ServeHTTP implements http.Handler for clients.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	rq := &request{Server: s, w: w, r: r, began: time.Now()}
	if !rq.admit() {
		return
	}
	size := int64(len(rq.body))
	s.bodies.Add(size)
	defer s.bodies.Add(-size)
	ctx, cancel := context.WithDeadline(r.Context(), rq.deadline)
	defer cancel()
	rq.ctx = ctx
	rq.serve()
}

// admit decodes the request and checks it against the configuration. It answers what
// is refused.
func (rq *request) admit() bool {
	if framing.Ambiguous(rq.r) {
		rq.w.Header().Set("Connection", "close")
		return rq.refuse(http.StatusBadRequest, "request.read", "the body has a length and a transfer encoding", 0)
	}
	// Ready comes first: it may turn true between the two.
	ready := rq.View.Ready()
	rq.table = rq.View.Table()
	if !ready {
		return rq.refuse(http.StatusServiceUnavailable, "request.admit", "the configuration, the upstreams or the records of crashes are not known yet", retryUnready)
	}
	if !strings.HasPrefix(rq.r.RequestURI, "/") {
		return rq.refuse(http.StatusBadRequest, "request.read", "the target is no path", 0)
	}
	if limit := rq.table.Limits.HeaderBytes; limit > 0 && headBytes(rq.r) > limit {
		return rq.refuse(http.StatusRequestHeaderFieldsTooLarge, "request.read", "the headers are longer than allowed", 0)
	}
	path, _, _ := strings.Cut(rq.r.RequestURI, "?")
	rq.route = rq.table.Find(rq.r.Host, path)
	if rq.route == nil {
		return rq.refuseUnknown(http.StatusNotFound, "no route has this host and path")
	}
	asked, err := header.Read(rq.r.Header, len(rq.route.Stages))
	rq.asked = asked
	if err != nil {
		return rq.refuse(http.StatusBadRequest, "request.read", err.Error(), 0)
	}
	if !rq.authorise() {
		return false
	}
	rq.plan()
	return rq.readBody()
}

// headBytes returns the size of a request's head, as its lines were sent.
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

// authorise finds the workspace of the client's key.
func (rq *request) authorise() bool {
	if !rq.table.NeedsKey(rq.route) {
		return true
	}
	if !rq.View.KeysTrusted() {
		// A key may have been taken away since the store was last heard: without proof
		// within the bound nothing with a key runs.
		return rq.refuse(http.StatusServiceUnavailable, "request.authorise", "the keys were last confirmed "+rq.keysAge(), retryUnready)
	}
	rq.workspace = rq.table.Workspace(rq.asked.Key)
	if rq.workspace == nil {
		return rq.refuseUnknown(http.StatusUnauthorized, "no workspace holds this key")
	}
	return true
}

// keysAge tells how old what is known of keys is and who told it, for people.
func (rq *request) keysAge() string {
	age, known := rq.View.KeysAge()
	if !known {
		return "never"
	}
	proved, _ := rq.View.Proof()
	return fmt.Sprintf("%d ms ago, by %s through %d processes", age.Milliseconds(), proved.From, proved.Hops)
}

// knownWithin is the age of what is known up to which a route or key that is not
// found does not exist; older than that it may be new.
const knownWithin = 2500 * time.Millisecond

// refuseUnknown refuses what the configuration does not have, or asks to come back if
// the configuration here may be old.
func (rq *request) refuseUnknown(status int, detail string) bool {
	if age, known := rq.View.KeysAge(); !known || age > knownWithin {
		return rq.refuse(http.StatusServiceUnavailable, "request.admit", detail+", and the configuration was last confirmed "+rq.keysAge(), retryUnready)
	}
	return rq.refuse(status, "request.admit", detail, 0)
}

// plan sets the request's service, class and times.
func (rq *request) plan() {
	rq.service = pick(rq.route.Targets, rq.asked.ID)
	rq.class = pools.Class{Priority: rq.route.Priority}
	if rq.workspace != nil && rq.workspace.HasPriority {
		rq.class.Rank = rq.workspace.Priority
	}
	rq.value = value.Of(value.Request{Priority: rq.route.Priority, PromptTokens: rq.asked.PromptTokens, OutputTokens: rq.asked.OutputTokens})
	rq.since = rq.began.Add(-rq.used(rq.route.Name, rq.asked.Remaining))
	wait := rq.route.Timeout
	if wait == 0 {
		wait = defaultTimeout
	}
	if asked := rq.asked.Remaining; asked > 0 {
		wait = min(wait, asked-answerMargin)
	}
	rq.deadline = rq.began.Add(wait)
	rq.startBy = rq.deadline
	if within := rq.route.StartWithin; within > 0 && within < wait {
		rq.startBy = rq.began.Add(within - answerMargin)
	}
}

// pick returns the service of one of the targets by their weights; the same request
// always gets the same.
func pick(targets []routes.Target, id string) string {
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

// readBody reads the whole body: a request is passed on only when it is known to be
// whole, and an idempotent one can be sent again.
func (rq *request) readBody() bool {
	limit := rq.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if rq.r.ContentLength > limit {
		return rq.refuse(http.StatusRequestEntityTooLarge, "request.body", "the body is longer than allowed", 0)
	}
	if rq.bodies.Load() > bodiesBytes {
		return rq.refuse(http.StatusServiceUnavailable, "request.body", "too many bodies are held", retryBusy)
	}
	body, err := io.ReadAll(http.MaxBytesReader(rq.w, rq.r.Body, limit))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return rq.refuse(http.StatusRequestEntityTooLarge, "request.body", "the body is longer than allowed", 0)
	case err != nil:
		rq.w.Header().Set("Connection", "close")
		return rq.refuse(http.StatusBadRequest, "request.body", err.Error(), 0)
	}
	rq.body = body
	rq.fingerprint = rq.identify()
	return true
}

// identify returns the fingerprint of the request.
func (rq *request) identify() fingerprint.Fingerprint {
	asked := fingerprint.Request{Method: rq.r.Method, Host: rq.r.Host, Target: rq.r.RequestURI, Body: rq.body}
	if rq.workspace != nil {
		asked.Workspace = rq.workspace.Name
	}
	return fingerprint.Of(asked)
}

// serve runs the stages and sends the request until it has an answer.
func (rq *request) serve() {
	if why, after := rq.closed(); why != "" {
		rq.refuse(http.StatusServiceUnavailable, "request.choose", why, after)
		return
	}
	defer func() { rq.results.free() }()
	defer func() { rq.Guard.Return(rq.fingerprint, rq.asked.ID, rq.crashPass, false) }()
	rq.deposit(rq.service, rq.began)
	for {
		err := rq.checkCrashes()
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
		if !rq.mayGoOn(err) {
			rq.giveUp(err)
			return
		}
	}
}

// checkCrashes returns an error if the request must not be sent as upstreams crash under it.
func (rq *request) checkCrashes() error {
	pass, refusal := rq.Guard.Check(rq.ctx, quarantine.Attempt{Request: rq.fingerprint, ID: rq.asked.ID, Held: rq.crashPass, Runs: rq.runsWithout})
	rq.crashPass = pass
	if refusal != nil {
		return fault.Wrap(fault.Refused, "request.quarantine", rq.service, refusal)
	}
	return nil
}

// runsWithout tells whether an upstream takes the request now that is not one of some starts.
func (rq *request) runsWithout(ended []string) bool {
	wanted := rq.want()
	wanted.ended = ended
	_, found := rq.look(wanted)
	return found
}

// closed returns why a service that the request needs takes nothing until its deadline, and when to
// come back; empty if all may: its client is told before any stage is done in vain.
func (rq *request) closed() (why string, after time.Duration) {
	services := []string{rq.service}
	for i, stage := range rq.route.Stages {
		if rq.asked.Pieces[i] > 0 {
			services = append(services, stage.Service)
		}
	}
	upstreams, now := rq.View.Upstreams(), time.Now()
	for _, service := range services {
		if upstreams.Evacuated(service) {
			return "all upstreams of " + service + " are in evacuated zones", retryBusy
		}
		if opens := upstreams.Opens(service, now); opens.After(rq.startBy) {
			return "all upstreams of " + service + " have asked for a pause", opens.Sub(now)
		}
	}
	return "", 0
}

// mayGoOn tells whether the request may be sent once more after a send that failed
// with err.
func (rq *request) mayGoOn(err error) bool {
	if rq.ctx.Err() != nil {
		return false
	}
	var f *sendFailure
	if !errors.As(err, &f) {
		return false
	}
	if f.ran && (rq.route.Repeat == routes.AtMostOnce || rq.begun && rq.route.Repeat != routes.Resumable) {
		return false
	}
	if f.unsent {
		return len(rq.tried) < maxUnsent
	}
	if f.replaced {
		// Many engines that crashed and came back under new names turn away what is sent to
		// the old ones until discovery drops these; given up, all stages would be lost.
		return len(rq.tried) < maxUnsent && rq.spend(rq.service, time.Now())
	}
	again := rq.sends < rq.route.MaxAttempts && rq.spend(rq.service, time.Now())
	return again
}

// maxUnsent bounds the upstreams that could not be reached, or had ended.
const maxUnsent = 4

// giveUp answers a request that can't be served. The client's connection is ended if
// a part of an answer has gone out.
func (rq *request) giveUp(err error) {
	took := time.Since(rq.began)
	switch {
	case rq.r.Context().Err() != nil:
		rq.Metrics.ended("left", took)
		rq.Logger.Event(event.GatewayLeft, observe.Fields{"request": rq.asked.ID, "route": rq.route.Name,
			"step": stepOf(err), "duration_us": took.Microseconds()})
		panic(http.ErrAbortHandler)
	case rq.begun:
		rq.Metrics.ended("broken", took)
		rq.Logger.Warn(event.GatewayBroken, observe.Fields{"request": rq.asked.ID, "route": rq.route.Name,
			"upstream": last(rq.tried), "events": rq.events, "error": err.Error(), "duration_us": took.Microseconds()})
		panic(http.ErrAbortHandler)
	case !rq.mayHaveRun:
		rq.refuse(http.StatusServiceUnavailable, stepOf(err), err.Error(), rq.retryAfter(err))
	case rq.ctx.Err() != nil:
		rq.refuse(http.StatusGatewayTimeout, stepOf(err), err.Error(), 0)
	default:
		rq.refuse(http.StatusBadGateway, stepOf(err), err.Error(), 0)
	}
}

// retryAfter returns when a client whose request did not run is asked to come back.
func (rq *request) retryAfter(err error) time.Duration {
	var refusal *quarantine.Refusal
	if errors.As(err, &refusal) {
		return refusal.RetryAfter
	}
	return rq.whenServed()
}

// whenServed estimates after which time a request that found no place finds one: as a
// late task is asked for pool.Doubt times what waits at the fullest pool of its route,
// what is there now and what comes in ahead of it has been worked off then. With one
// time the backlog clients come back into the same burst and are refused again.
func (rq *request) whenServed() time.Duration {
	now := time.Now()
	longest := max(retryBusy, rq.View.Upstreams().Opens(rq.service, now).Sub(now))
	for _, stage := range rq.route.Stages {
		longest = max(longest, pool.Doubt*rq.Asker.Backlog(stage.Service))
	}
	return longest
}

// last returns the last of a list, empty if there is none.
func last(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[len(list)-1]
}

// stepOf returns the step at which an error arose.
func stepOf(err error) string {
	var f *fault.Error
	if errors.As(err, &f) {
		return f.Step
	}
	return "request"
}
