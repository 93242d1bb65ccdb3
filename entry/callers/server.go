// Package callers implements the HTTP API for callers. It validates and admits
// requests, sends responses as JSON or server-sent events, and reports the outcomes of
// earlier requests.
package callers

import (
	"context"
	"net/http"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/memory"
	"acaciawinch/entry/admit"
	"acaciawinch/entry/pipeline"
	"acaciawinch/entry/trace"
)

// Names of request and response headers.
const (
	headerKey       = "Idempotency-Key"
	headerDeadline  = "Request-Deadline-Ms"
	headerRequestID = "Request-Id"
)

// State is an immutable snapshot of the configuration.
type State interface {
	Template(name string) (config.Template, bool)
	Workspace(name string) (config.Workspace, bool)
}

// Limiter issues permits for the requests of workspaces that have a limit.
type Limiter interface {
	// Acquire requests a permit. It does not block.
	Acquire(request pipeline.Request) Permit
}

// Permit is the permit of one request. Release must be called once, when the request
// ends.
type Permit interface {
	pipeline.Permit
	Release()
}

// Runner runs admitted requests.
type Runner interface {
	// Run runs a request and returns when its outcome is known. It calls emit from one
	// goroutine only.
	Run(ctx context.Context, request pipeline.Request, emit pipeline.Emit) pipeline.Result
}

// Finder looks up earlier requests.
type Finder interface {
	// Find returns the trace of a request, from this entry or from the entry that the
	// request id names, or what the request's claims show of it. Key is the caller's
	// idempotency key, empty if unknown.
	Find(ctx context.Context, workspace, pipeline string, id core.RequestID, key string) (trace.Trace, bool)
}

// Options configure a Server.
type Options struct {
	// Name is the name of the entry. It is the prefix of the request ids.
	Name string
	// State returns the current state and its revision, false until one is known.
	State  func() (State, core.Revision, bool)
	Runner Runner
	Finder Finder
	Traces *trace.Ring
	Gate   *admit.Gate
	// Limiter enforces the limits of workspaces over the whole fleet.
	Limiter Limiter
	// BodyBytes and HeaderBytes bound the size of a request.
	BodyBytes   int
	HeaderBytes int
	// Memory bounds the bodies of all requests together; nil sets no bound.
	Memory *memory.Budget
	// NewID returns the random part of a request id.
	NewID func() uint64
	Now   func() time.Time
	// Journal is notified of each request's admission, refusal and end.
	Journal Journal
}

// Journal records the progress of requests in logs and metrics.
type Journal interface {
	Admitted(request pipeline.Request, stream bool)
	Refused(workspace, pipeline string, problem Problem)
	Ended(request pipeline.Request, result pipeline.Result, end trace.End)
}

// Server handles the requests of callers. It implements http.Handler.
type Server struct {
	opts Options
	mux  *http.ServeMux
}

// New returns a Server.
func New(opts Options) *Server {
	s := &Server{opts: opts, mux: http.NewServeMux()}
	const requests = "/v1/workspaces/{workspace}/pipelines/{pipeline}/requests"
	s.mux.HandleFunc("POST "+requests, s.submit)
	s.mux.HandleFunc("GET "+requests+"/{id}", s.lookup)
	s.mux.HandleFunc(requests, s.wrongMethod(http.MethodPost))
	s.mux.HandleFunc(requests+"/{id}", s.wrongMethod(http.MethodGet))
	s.mux.HandleFunc("/", s.unknownPath)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if headerSize(r.Header) > s.opts.HeaderBytes {
		s.refuse(w, r, newProblem(http.StatusRequestHeaderFieldsTooLarge, kindTooLarge, "admission.headers", "the headers are too large"))
		return
	}
	s.mux.ServeHTTP(w, r)
}

// headerSize returns the total length of all names and values in bytes.
func headerSize(header http.Header) int {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// wrongMethod refuses requests for a known path with a method other than allowed.
func (s *Server) wrongMethod(allowed string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Allow", allowed)
		s.refuse(w, r, newProblem(http.StatusMethodNotAllowed, kindMethod, "admission.method", "only "+allowed+" is allowed here"))
	}
}

// unknownPath refuses requests for an unknown path.
func (s *Server) unknownPath(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, r, newProblem(http.StatusNotFound, kindNotFound, "admission.path", "no such path"))
}

// refuse records and sends the refusal of a request that was not admitted.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, p Problem) {
	s.opts.Journal.Refused(r.PathValue("workspace"), r.PathValue("pipeline"), p)
	p.write(w)
}
