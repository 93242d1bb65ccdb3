// Package caller implements a caller of the system: it sends requests to an entry,
// reads the response as JSON or as server-sent events, and compares it byte by byte
// with the output that the stand-in upstreams are expected to produce.
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
	"acaciawinch/standin/catalog"
	"acaciawinch/standin/output"
)

// Request is one request of a caller.
type Request struct {
	Workspace string
	Pipeline  string
	// Key is the idempotency key; empty sends none.
	Key string
	// DeadlineMS is the value of the deadline header; empty sends none.
	DeadlineMS string
	Body       []byte
	// Stream asks for server-sent events.
	Stream bool
	// Method is POST if empty.
	Method string
	// OnChunk, if set, is called with each chunk of a stream as it arrives.
	OnChunk func(chunk []byte)
	// BeforeBody, if set, is called when the entry has begun to read the body. The
	// body is sent after BeforeBody returns.
	BeforeBody func() `json:"-"`
}

// Verdict classifies the response to a request.
type Verdict string

// The verdicts.
const (
	// Complete is a complete response with the expected output of the request.
	Complete Verdict = "whole"
	// Mismatch is a response that claims to be complete but differs from the
	// expected output of the request.
	Mismatch Verdict = "mismatch"
	// Problem is a problem document, as the whole response or as the last event of
	// a stream.
	Problem Verdict = "problem"
	// Truncated is a stream without its closing event.
	Truncated Verdict = "cut"
	// Unreadable is a missing response, or one that cannot be decoded.
	Unreadable Verdict = "broken"
)

// Result is the record that a caller keeps of one request.
type Result struct {
	Verdict   Verdict
	Outcome   core.Outcome
	RequestID string
	// Status is the HTTP status, zero if there was no response.
	Status int
	// Detail describes what is wrong, or holds the detail of the problem document.
	Detail string
	// RetryAfter is the retry delay in the problem document, zero if there is none.
	RetryAfter time.Duration
	// Began is when the request was sent; Latency is the time from then until the
	// response ended.
	Began   time.Time
	Latency time.Duration
	// First is the time until the first chunk of a stream; Gaps are the times
	// between its chunks.
	First time.Duration
	Gaps  []time.Duration
	// Chunks holds the chunks of the stream, or the output of the JSON response as
	// a single chunk.
	Chunks [][]byte
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	catalog catalog.Catalog
}

// idleConnections is the number of idle connections that a client keeps to one entry.
const idleConnections = 256

// continueTimeout bounds how long the client waits for the status 100 before it
// sends the body of a request with BeforeBody.
const continueTimeout = 30 * time.Second

// New returns a client that checks responses against the configuration c.
func New(c catalog.Catalog) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost:   idleConnections,
		ExpectContinueTimeout: continueTimeout,
	}
	return &Client{http: &http.Client{Transport: transport}, catalog: c}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send sends one request to the entry at url and reads the response to its end.
func (c *Client) Send(ctx context.Context, url string, r Request) Result {
	result := Result{Began: time.Now()}
	response, err := c.post(ctx, url, r)
	if err != nil {
		result.Verdict = Unreadable
		result.Detail = err.Error()
	} else {
		c.readResponse(response, r, &result)
		response.Body.Close()
	}
	result.Latency = time.Since(result.Began)
	return result
}

// post sends the request and returns the response, whose body is still unread.
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
		request.Body = &delayedBody{Reader: bytes.NewReader(r.Body), beforeFirstRead: r.BeforeBody}
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

// readResponse reads the response into result and checks it.
func (c *Client) readResponse(response *http.Response, r Request, result *Result) {
	result.Status = response.StatusCode
	contentType := response.Header.Get("Content-Type")
	switch {
	case strings.HasPrefix(contentType, "text/event-stream"):
		c.readStream(response.Body, r, result)
	case strings.HasPrefix(contentType, "application/problem+json"):
		readProblem(response.Body, result)
	default:
		c.readJSON(response.Body, r, result)
	}
}

// checkOutput compares the received chunks with the expected output of the request.
func (c *Client) checkOutput(r Request, result *Result) {
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
	if !bytes.Equal(output.Join(chunks), output.Join(result.Chunks)) {
		result.Verdict = Mismatch
		result.Detail = "the output is not this request's"
		return
	}
	result.Verdict = Complete
}

// Expected returns the steps that the pipeline of the request is expected to take,
// or false if the configuration lacks the pipeline or the workspace.
func (c *Client) Expected(r Request) ([]output.Step, bool) {
	template, found := c.catalog.Template(r.Pipeline)
	workspace, known := c.catalog.Workspace(r.Workspace)
	if !found || !known {
		return nil, false
	}
	return output.Expected(template, workspace, r.Body), true
}

// delayedBody is a request body that calls beforeFirstRead before it is first read.
type delayedBody struct {
	*bytes.Reader
	beforeFirstRead func()
	once            sync.Once
}

// Read implements io.Reader.
func (b *delayedBody) Read(buffer []byte) (int, error) {
	b.once.Do(b.beforeFirstRead)
	return b.Reader.Read(buffer)
}

// Close implements io.Closer.
func (b *delayedBody) Close() error { return nil }
