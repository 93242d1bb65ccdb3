// Package caller is a caller of the system: it sends requests to an entry, reads
// the answer as JSON or as server-sent events, and checks it byte by byte
// against the answer that the stand-in upstreams must give.
package caller

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"acaciawinch/core"
	"acaciawinch/standin/answer"
	"acaciawinch/standin/catalog"
)

// Request is one request of a caller.
type Request struct {
	Workspace string
	Pipeline  string
	// Key is the idempotency key; empty sends none.
	Key string
	// DeadlineMS is the deadline header's text; empty sends none.
	DeadlineMS string
	Body       []byte
	// Stream asks for server-sent events.
	Stream bool
	// Method is POST if empty.
	Method string
	// OnChunk, if set, is called with each chunk of a stream as it arrives.
	OnChunk func(chunk []byte)
	// BeforeBody, if set, is called when the entry has begun to read the body,
	// which is sent once it returns.
	BeforeBody func() `json:"-"`
}

// Verdict tells what came back.
type Verdict string

// The verdicts.
const (
	// Whole is a complete answer that is the request's own.
	Whole Verdict = "whole"
	// Mismatch is an answer that claims to be complete but is not the request's own.
	Mismatch Verdict = "mismatch"
	// Problem is a problem document, at once or as the last event of a stream.
	Problem Verdict = "problem"
	// Cut is a stream without its closing event.
	Cut Verdict = "cut"
	// Broken is no answer at all.
	Broken Verdict = "broken"
)

// Result is what a caller recorded about one request.
type Result struct {
	Verdict   Verdict
	Outcome   core.Outcome
	RequestID string
	// Status is the HTTP status, zero if there was no answer.
	Status int
	// Detail says what is wrong, or what the problem document says.
	Detail string
	// RetryAfter is what the answer said, zero if nothing.
	RetryAfter time.Duration
	// Began is when the request was sent; Latency runs from then to the end.
	Began   time.Time
	Latency time.Duration
	// First is the time until the first chunk of a stream; Gaps are the times
	// between its chunks.
	First time.Duration
	Gaps  []time.Duration
	// Chunks is the stream's chunks, or the JSON answer's output as one.
	Chunks [][]byte
}

// Client sends requests. It may be used by many goroutines.
type Client struct {
	http    *http.Client
	catalog catalog.Catalog
}

// idleConnections is how many idle connections a client keeps to one entry.
const idleConnections = 256

// continueTimeout bounds how long a body that the entry must ask for is held back.
const continueTimeout = 30 * time.Second

// New returns a client whose answers are checked under the configuration c.
func New(c catalog.Catalog) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost:   idleConnections,
		ExpectContinueTimeout: continueTimeout,
	}
	return &Client{http: &http.Client{Transport: transport}, catalog: c}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send sends one request to the entry at url and reads its whole answer.
func (c *Client) Send(ctx context.Context, url string, r Request) Result {
	result := Result{Began: time.Now()}
	response, err := c.post(ctx, url, r)
	if err != nil {
		result.Verdict = Broken
		result.Detail = err.Error()
	} else {
		c.read(response, r, &result)
		response.Body.Close()
	}
	result.Latency = time.Since(result.Began)
	return result
}

// post sends the request and returns the answer's beginning.
func (c *Client) post(ctx context.Context, url string, r Request) (*http.Response, error) {
	method := r.Method
	if method == "" {
		method = http.MethodPost
	}
	target := fmt.Sprintf("%s/v1/workspaces/%s/pipelines/%s/requests", url, r.Workspace, r.Pipeline)
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	if r.BeforeBody != nil {
		request.Body = &heldBody{Reader: bytes.NewReader(r.Body), before: r.BeforeBody}
		request.Header.Set("Expect", "100-continue")
	}
	request.Header.Set("Content-Type", "application/json")
	if r.Key != "" {
		request.Header.Set("Idempotency-Key", r.Key)
	}
	if r.DeadlineMS != "" {
		request.Header.Set("Request-Deadline-Ms", r.DeadlineMS)
	}
	if r.Stream {
		request.Header.Set("Accept", "text/event-stream")
	}
	return c.http.Do(request)
}

// read reads the answer into result and checks it.
func (c *Client) read(response *http.Response, r Request, result *Result) {
	result.Status = response.StatusCode
	kind := response.Header.Get("Content-Type")
	switch {
	case strings.HasPrefix(kind, "text/event-stream"):
		c.readStream(response.Body, r, result)
	case strings.HasPrefix(kind, "application/problem+json"):
		readProblem(response.Body, result)
	default:
		c.readWhole(response.Body, r, result)
	}
}

// check compares the chunks with what the request must get.
func (c *Client) check(r Request, result *Result) {
	want, ok := c.Expected(r)
	if !ok {
		result.Verdict = Mismatch
		result.Detail = "an answer to a request that has none"
		return
	}
	chunks := want[len(want)-1].Chunks
	if r.Stream && len(chunks) != len(result.Chunks) {
		result.Verdict = Mismatch
		result.Detail = fmt.Sprintf("%d chunks, expected %d", len(result.Chunks), len(chunks))
		return
	}
	if !bytes.Equal(answer.Join(chunks), answer.Join(result.Chunks)) {
		result.Verdict = Mismatch
		result.Detail = "the output is not this request's"
		return
	}
	result.Verdict = Whole
}

// Expected returns the steps that the request's pipeline must take, or false if
// the configuration has no such pipeline for the workspace.
func (c *Client) Expected(r Request) ([]answer.Step, bool) {
	template, found := c.catalog.Template(r.Pipeline)
	workspace, known := c.catalog.Workspace(r.Workspace)
	if !found || !known {
		return nil, false
	}
	return answer.Expected(template, workspace, r.Body), true
}

// heldBody is a body whose first read waits for before.
type heldBody struct {
	*bytes.Reader
	before func()
	once   sync.Once
}

// Read implements io.Reader.
func (b *heldBody) Read(buffer []byte) (int, error) {
	b.once.Do(b.before)
	return b.Reader.Read(buffer)
}

// Close implements io.Closer.
func (b *heldBody) Close() error { return nil }
