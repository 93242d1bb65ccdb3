// Package callers serves HTTP to callers: it validates and admits requests,
// delivers answers as JSON or server-sent events, and tells outcomes.
package callers

import (
	"context"
	"net/http"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/entry/admit"
	"acaciawinch/entry/pipeline"
	"acaciawinch/entry/trace"
)

// Names of request and answer headers.
const (
	headerKey       = "Idempotency-Key"
	headerDeadline  = "Request-Deadline-Ms"
	headerRequestID = "Request-Id"
)

// State is the configuration and host list at one moment. It never changes.
type State interface {
	Template(name string) (config.Template, bool)
	Workspace(name string) (config.Workspace, bool)
}

// Limiter hands out permits to the requests of workspaces with a bound.
type Limiter interface {
	// Ask asks for a permit and returns at once.
	Ask(request pipeline.Request) Permit
}

// Permit is the permit of one request. Release must be called once, at its end.
type Permit interface {
	pipeline.Permit
	Release()
}

// Runner carries out admitted requests.
type Runner interface {
	// Run returns when the outcome is known. Emit is called from one goroutine.
	Run(ctx context.Context, request pipeline.Request, emit pipeline.Emit) pipeline.Result
}

// Finder tells what became of requests.
type Finder interface {
	// Find returns the trace of a request, from this entry or the one that its
	// id names. Key is the caller's idempotency key, empty if unknown.
	Find(ctx context.Context, workspace, pipeline string, id core.RequestID, key string) (trace.Trace, bool)
}

// Options are what a Server needs.
type Options struct {
	// Name is the entry's name; request ids begin with it.
	Name string
	// State returns the present state and its revision; false before the first.
	State  func() (State, core.Revision, bool)
	Runner Runner
	Finder Finder
	Traces *trace.Ring
	Gate   *admit.Gate
	// Limiter holds workspaces to their bounds over the whole fleet.
	Limiter Limiter
	// BodyBytes and HeaderBytes bound a request.
	BodyBytes   int
	HeaderBytes int
	// NewID returns the random part of a request id.
	NewID func() uint64
	Now   func() time.Time
	// Journal is told of each request's admission, refusal and end.
	Journal Journal
}

// Journal records what becomes of requests, in logs and metrics.
type Journal interface {
	Admitted(request pipeline.Request, stream bool)
	Refused(workspace, pipeline string, problem Problem)
	Ended(request pipeline.Request, result pipeline.Result, end trace.End)
}

// Server answers callers. It implements http.Handler.
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
	s.mux.HandleFunc("/", s.noSuchPath)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if headerSize(r.Header) > s.opts.HeaderBytes {
		s.refuse(w, r, refuse(http.StatusRequestHeaderFieldsTooLarge, kindTooLarge, "admission.headers", "the headers are too large"))
		return
	}
	s.mux.ServeHTTP(w, r)
}

// headerSize returns the bytes of all names and values.
func headerSize(header http.Header) int {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// wrongMethod refuses a known path with another method.
func (s *Server) wrongMethod(allowed string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Allow", allowed)
		s.refuse(w, r, refuse(http.StatusMethodNotAllowed, kindMethod, "admission.method", "only "+allowed+" is allowed here"))
	}
}

// noSuchPath refuses an unknown path.
func (s *Server) noSuchPath(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, r, refuse(http.StatusNotFound, kindNotFound, "admission.path", "no such path"))
}

// refuse answers a request that was not admitted.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, p Problem) {
	s.opts.Journal.Refused(r.PathValue("workspace"), r.PathValue("pipeline"), p)
	p.write(w)
}
