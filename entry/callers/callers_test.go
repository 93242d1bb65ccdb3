package callers

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/memory"
	"acaciawinch/core/request"
	"acaciawinch/entry/admit"
	"acaciawinch/entry/pipeline"
	"acaciawinch/entry/trace"
)

// fakeState has two pipelines, p and q, and one workspace, w, which may use p only.
type fakeState struct{}

func (fakeState) Template(name string) (config.Template, bool) {
	return config.Template{Name: name, DeadlineMS: 3000, MaxDeadlineMS: 5000}, name == "p" || name == "q"
}

func (fakeState) Workspace(name string) (config.Workspace, bool) {
	return config.Workspace{Name: name, Pipelines: []string{"p"}, MaxInFlight: 1}, name == "w"
}

// fakeRunner records the request, emits chunks and returns a result.
type fakeRunner struct {
	got    pipeline.Request
	calls  int
	chunks []string
	result pipeline.Result
	during func()
}

func (r *fakeRunner) Run(_ context.Context, request pipeline.Request, emit pipeline.Emit) pipeline.Result {
	r.got = request
	r.calls++
	if r.during != nil {
		r.during()
	}
	for i, c := range r.chunks {
		_ = emit(uint64(i), []byte(c))
	}
	return r.result
}

// ringFinder finds the traces of a ring.
type ringFinder struct{ traces *trace.Ring }

func (f ringFinder) Find(_ context.Context, _, _ string, id core.RequestID, _ string) (trace.Trace, bool) {
	return f.traces.Get(id)
}

// discardJournal is a Journal that records nothing.
type discardJournal struct{}

func (discardJournal) Admitted(pipeline.Request, bool)                    {}
func (discardJournal) Refused(string, string, Problem)                    {}
func (discardJournal) Ended(pipeline.Request, pipeline.Result, trace.End) {}

// grantingLimiter grants every permit and counts the permits not yet released.
type grantingLimiter struct{ outstanding int }

func (l *grantingLimiter) Acquire(pipeline.Request) Permit { l.outstanding++; return grantedPermit{l} }

// grantedPermit is a permit that is granted at once.
type grantedPermit struct{ limiter *grantingLimiter }

func (grantedPermit) Decided() <-chan struct{}         { return nil }
func (grantedPermit) Refusal() *pipeline.PermitRefusal { return nil }
func (p grantedPermit) Release()                       { p.limiter.outstanding-- }

// newServer returns a server that runs its requests with runner.
func newServer(runner *fakeRunner) (*Server, *admit.Gate) {
	gate := admit.NewGate(admit.Limits{InFlight: 2, Streams: 1})
	traces := trace.NewRing(10)
	return New(Options{
		Name:        "e",
		State:       func() (State, core.Revision, bool) { return fakeState{}, 5, true },
		Runner:      runner,
		Finder:      ringFinder{traces},
		Traces:      traces,
		Gate:        gate,
		Limiter:     &grantingLimiter{},
		BodyBytes:   64,
		HeaderBytes: 512,
		NewID:       func() uint64 { return 255 },
		Now:         time.Now,
		Journal:     discardJournal{},
	}), gate
}

const path = "/v1/workspaces/w/pipelines/p/requests"

// send passes a request to the server and returns the response.
func send(s *Server, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// problemFrom decodes a problem document and checks its media type and status.
func problemFrom(t *testing.T, w *httptest.ResponseRecorder) Problem {
	t.Helper()
	assert.Equal(t, w.Header().Get("Content-Type"), problemType)
	var p Problem
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &p))
	assert.Equal(t, p.Status, w.Code)
	return p
}

func TestRefusalsReachNoUpstream(t *testing.T) {
	cases := map[string]struct {
		method, path, body string
		headers            []string
		status             int
	}{
		"bad JSON":           {"POST", path, "{", nil, 400},
		"no body":            {"POST", path, "", nil, 400},
		"unknown workspace":  {"POST", "/v1/workspaces/x/pipelines/p/requests", "{}", nil, 404},
		"unknown pipeline":   {"POST", "/v1/workspaces/w/pipelines/x/requests", "{}", nil, 404},
		"another's pipeline": {"POST", "/v1/workspaces/w/pipelines/q/requests", "{}", nil, 404},
		"unknown path":       {"POST", "/v2", "{}", nil, 404},
		"wrong method":       {"PUT", path, "{}", nil, 405},
		"body too large":     {"POST", path, `"` + strings.Repeat("x", 64) + `"`, nil, 413},
		"headers too large":  {"POST", path, "{}", []string{"X", strings.Repeat("x", 600)}, 431},
		"deadline zero":      {"POST", path, "{}", []string{headerDeadline, "0"}, 400},
		"deadline negative":  {"POST", path, "{}", []string{headerDeadline, "-1"}, 400},
		"deadline no number": {"POST", path, "{}", []string{headerDeadline, "soon"}, 400},
		"deadline overflow":  {"POST", path, "{}", []string{headerDeadline, "99999999999999999999"}, 400},
		"key too long":       {"POST", path, "{}", []string{headerKey, strings.Repeat("k", 256)}, 400},
		"key no UTF-8":       {"POST", path, "{}", []string{headerKey, "\xff"}, 400},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runner := &fakeRunner{}
			s, _ := newServer(runner)
			w := send(s, c.method, c.path, c.body, c.headers...)
			assert.Equal(t, w.Code, c.status)
			assert.Equal(t, problemFrom(t, w).Outcome, core.OutcomeNotRun)
			assert.Equal(t, runner.calls, 0)
		})
	}
}

func TestDeadlineIsCappedAndRequestKeepsItsRevision(t *testing.T) {
	runner := &fakeRunner{result: pipeline.Result{Outcome: core.OutcomeAnswered}}
	s, _ := newServer(runner)
	send(s, "POST", path, "{}", headerDeadline, "60000", headerKey, "k")
	assert.Equal(t, runner.got.Deadline, 5*time.Second)
	assert.Equal(t, runner.got.Revision, core.Revision(5))
	assert.Assert(t, !runner.got.KeyGenerated)
	send(s, "POST", path, "{}")
	assert.Equal(t, runner.got.Deadline, 3*time.Second)
	assert.Equal(t, runner.got.Key, "e-00000000000000ff")
	assert.Assert(t, runner.got.KeyGenerated)
}

// digestOf returns the digest of a complete output in the form that callers receive.
func digestOf(output string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(output)) }

func TestRespondsInJSON(t *testing.T) {
	s, _ := newServer(&fakeRunner{chunks: []string{"a ", "b"}, result: pipeline.Result{Outcome: core.OutcomeAnswered}})
	w := send(s, "POST", path, "{}")
	var got Response
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &got))
	assert.DeepEqual(t, got, Response{
		RequestID: "e-00000000000000ff", Outcome: core.OutcomeAnswered, Output: "a b", Chunks: 2, Digest: digestOf("a b"),
	})
	status := send(s, "GET", path+"/e-00000000000000ff", "")
	assert.Equal(t, status.Code, http.StatusOK)
	assert.Assert(t, strings.Contains(status.Body.String(), `"outcome":"answered"`))
	assert.Equal(t, send(s, "GET", path+"/e-1", "").Code, http.StatusNotFound)
}

func TestStreamsNumberedChunksAndTotals(t *testing.T) {
	s, _ := newServer(&fakeRunner{chunks: []string{"a\n", "b"}, result: pipeline.Result{Outcome: core.OutcomeAnswered}})
	w := send(s, "POST", path, "{}", "Accept", "text/event-stream")
	want := "event: chunk\nid: 0\ndata: {\"index\":0,\"text\":\"a\\n\"}\n\n" +
		"event: chunk\nid: 1\ndata: {\"index\":1,\"text\":\"b\"}\n\n" +
		"event: done\ndata: {\"request_id\":\"e-00000000000000ff\",\"outcome\":\"answered\",\"chunks\":2,\"digest\":\"" + digestOf("a\nb") + "\"}\n\n"
	assert.Equal(t, w.Body.String(), want)
}

func TestInterruptedStreamEndsWithAProblem(t *testing.T) {
	s, _ := newServer(&fakeRunner{chunks: []string{"a"}, result: pipeline.Result{Outcome: core.OutcomeFailed, Cause: request.GiveUpFailed}})
	w := send(s, "POST", path, "{}", "Accept", "text/event-stream")
	assert.Assert(t, strings.Contains(w.Body.String(), "event: problem\ndata: {"))
	assert.Assert(t, !strings.Contains(w.Body.String(), "event: done"))
}

func TestProblemsOfAbandonedRequests(t *testing.T) {
	cases := []struct {
		outcome core.Outcome
		cause   request.GiveUpCause
		status  int
		kind    string
	}{
		{core.OutcomeNotRun, request.GiveUpOverload, 503, kindOverload},
		{core.OutcomeNotRun, request.GiveUpUnavailable, 503, kindUnavailable},
		{core.OutcomeNotRun, request.GiveUpLimit, 429, kindLimit},
		{core.OutcomeNotRun, request.GiveUpConflict, 422, kindKeyReused},
		{core.OutcomeFailed, request.GiveUpDeadline, 504, kindDeadline},
		{core.OutcomeFailed, request.GiveUpFailed, 502, kindFailed},
		{core.OutcomeUnknown, request.GiveUpUnresolved, 502, kindUnknown},
	}
	for _, c := range cases {
		s, _ := newServer(&fakeRunner{result: pipeline.Result{Outcome: c.outcome, Cause: c.cause, RetryAfter: 1200 * time.Millisecond}})
		w := send(s, "POST", path, "{}", "Accept", "text/event-stream")
		p := problemFrom(t, w)
		assert.Equal(t, p.Status, c.status)
		assert.Equal(t, p.Type, typePrefix+c.kind)
		assert.Equal(t, p.Outcome, c.outcome)
		assert.Equal(t, p.RequestID, core.RequestID("e-00000000000000ff"))
		assert.Equal(t, w.Header().Get("Retry-After"), "2")
	}
}

// TestOverloadReducesAdmission: a request that fails after admission because no upstream has
// time for it counts as overload, unless the caller set a shorter deadline than the default.
func TestOverloadReducesAdmission(t *testing.T) {
	overload := pipeline.Result{Outcome: core.OutcomeNotRun, Cause: request.GiveUpOverload}
	usual := pipeline.Request{Template: config.Template{DeadlineMS: 100}, Deadline: 100 * time.Millisecond}
	shortDeadline := usual
	shortDeadline.Deadline--
	assert.Equal(t, endOf(usual, overload), admit.EndOverloaded)
	assert.Equal(t, endOf(shortDeadline, overload), admit.EndOther)
	assert.Equal(t, endOf(usual, pipeline.Result{Outcome: core.OutcomeFailed, Cause: request.GiveUpDeadline}), admit.EndOther)
	assert.Equal(t, endOf(usual, pipeline.Result{Outcome: core.OutcomeAnswered}), admit.EndCompleted)
}

func TestLimitsRefuse(t *testing.T) {
	runner := &fakeRunner{result: pipeline.Result{Outcome: core.OutcomeAnswered}}
	s, gate := newServer(runner)
	var inner *httptest.ResponseRecorder
	runner.during = func() {
		runner.during = nil
		inner = send(s, "POST", path, "{}")
	}
	assert.Equal(t, send(s, "POST", path, "{}").Code, http.StatusOK)
	assert.Equal(t, problemFrom(t, inner).Status, http.StatusTooManyRequests)
	assert.Equal(t, inner.Header().Get("Retry-After"), "1")
	<-gate.Drain()
	refused := send(s, "POST", path, "{}")
	assert.Equal(t, problemFrom(t, refused).Status, http.StatusServiceUnavailable)
	assert.Equal(t, problemFrom(t, refused).Outcome, core.OutcomeNotRun)
	assert.Equal(t, runner.calls, 1)
}

// TestABodyThatFindsNoMemoryIsRefused guards against callers whose bodies together exceed the memory of the entry: the request
// did not run, and its caller is told when to come back.
func TestABodyThatFindsNoMemoryIsRefused(t *testing.T) {
	runner := &fakeRunner{result: pipeline.Result{Outcome: core.OutcomeAnswered}}
	s, _ := newServer(runner)
	s.opts.Memory = memory.New(1 << 10)
	others := s.opts.Memory.Begin(memory.Tiny)
	assert.NilError(t, others.Grow(900))
	for _, length := range []int64{30, -1} {
		r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(`{"a":"bbbbbbbbbbbbbbbbbbbbbb"}`))
		r.ContentLength = length
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		p := problemFrom(t, w)
		assert.Equal(t, p.Status, http.StatusServiceUnavailable)
		assert.Assert(t, p.Outcome == core.OutcomeNotRun && p.RetryAfterMS > 0 && p.Step == "admission.memory", "%+v", p)
	}
	assert.Equal(t, runner.calls, 0)
	others.Release()
	s.opts.Memory = memory.New(1 << 20)
	assert.Equal(t, send(s, http.MethodPost, path, `{}`).Code, http.StatusOK)
	assert.Equal(t, s.opts.Memory.Usage().Used, int64(0))
}
