package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"acaciawinch/standin/platformfleet"
)

// Timing of a client.
const (
	// responseTimeout is above the longest timeout of a route, 6 s.
	responseTimeout = 7 * time.Second
	dialTimeout     = time.Second
	// maxThinkTime bounds the time between two requests of a client; with 12 clients a run of some
	// 17 s sends 2,300 to 3,700 requests.
	maxThinkTime = 40 * time.Millisecond
)

// Routes that clients use, by the first segment of their path. A request of unsafeRoute must not run
// twice; one of safeRoute may.
const (
	unsafeRoute    = "saldo"
	safeRoute      = "cupon"
	streamingRoute = "consulta"
)

// routes are the routes that clients and probes choose from.
var routes = []string{unsafeRoute, safeRoute, streamingRoute}

// streamEvents is how many events a complete stream has.
const streamEvents = 5

// Outcome is what a client saw of one request.
type Outcome struct {
	ID, Route, Key string
	// RequestBody is the body of the request, Prompt the list of the parts of its prompt.
	RequestBody, Prompt string
	// Gateway is the index of the gateway that the client's connection leads to.
	Gateway     int
	Sent, Ended time.Time
	// Status is 0 if no response arrived.
	Status int
	Body   string
	// Complete is set if the response arrived up to the end that its length or chunks mark, Signed if it has
	// the signature of an upstream.
	Complete, Signed bool
	// Stamp is that signature. It names the upstream that sent the head of the response.
	Stamp string
	// Stream is the ID of the attempt that brought the first event of the stream that the request takes up, empty if it
	// takes up none; After is the number of the last event that the client has.
	Stream string
	After  int
	// Err says why the response is missing or incomplete.
	Err string
}

// client sends requests one after the other and keeps its connection open between them.
type client struct {
	number   int
	random   *rand.Rand
	gateways []string
	report   func(Outcome)
	// streamPauses is above 0 while the client sends no streaming requests.
	streamPauses *atomic.Int32
	// takesUp is set if the client takes up streams that broke off, sharesParts if its prompts share parts with others.
	takesUp, sharesParts bool

	gateway int
	conn    net.Conn
	reader  *bufio.Reader
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	c.gateway = c.number % len(c.gateways)
	for sent := 0; ctx.Err() == nil; sent++ {
		c.sendNext(ctx, sent)
		thinking, cancel := context.WithTimeout(ctx, time.Duration(c.random.Int64N(int64(maxThinkTime))))
		<-thinking.Done()
		cancel()
	}
	c.close()
}

// sendNext sends a request with a random route and key.
func (c *client) sendNext(ctx context.Context, sent int) {
	o := Outcome{ID: fmt.Sprintf("c%d-%d", c.number, sent), Route: routes[c.random.IntN(len(routes))], Key: platformfleet.Key}
	if o.Route == streamingRoute && c.streamPauses.Load() > 0 {
		o.Route = safeRoute
	}
	if c.random.IntN(6) == 0 {
		o.Key = spareKey
	}
	if c.sharesParts {
		o.Prompt = soundPrompt(o.ID)
	}
	sentOutcome := c.send(ctx, o)
	for try := 1; c.takesUp && try <= maxTakeUps && ctx.Err() == nil; try++ {
		next, broken := takeUpOf(sentOutcome, fmt.Sprintf("%s-t%d", o.ID, try))
		if !broken {
			return
		}
		sentOutcome = c.send(ctx, next)
	}
}

// send sends a request. If it can't connect, the client switches to the next gateway, as a load balancer
// would. It returns what became of the request.
func (c *client) send(ctx context.Context, o Outcome) Outcome {
	if c.conn == nil {
		conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.gateways[c.gateway])
		if err != nil {
			c.gateway = (c.gateway + 1) % len(c.gateways)
			return o
		}
		c.conn = conn
		c.resetReader()
	}
	o.Gateway, o.Sent = c.gateway, time.Now()
	reusable := c.exchange(&o)
	o.Ended = time.Now()
	c.report(o)
	if !reusable {
		c.close()
		c.gateway = (c.gateway + 1) % len(c.gateways)
	}
	return o
}

// resetReader sets the reader of a new connection.
func (c *client) resetReader() { c.reader = bufio.NewReader(c.conn) }

// exchange sends a request and reads its response. It reports whether the connection can be reused.
func (c *client) exchange(o *Outcome) bool {
	err := c.conn.SetDeadline(time.Now().Add(responseTimeout))
	if err == nil {
		_, err = io.WriteString(c.conn, requestText(o))
	}
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(c.reader, nil)
	}
	if err != nil {
		o.Err = err.Error()
		return false
	}
	o.Status, o.Stamp = response.StatusCode, response.Header.Get("X-Response-Stamp")
	o.Signed = o.Stamp != ""
	body, err := io.ReadAll(response.Body)
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	o.Body, o.Complete = string(body), err == nil && framed
	if err != nil {
		o.Err = err.Error()
	}
	return err == nil && !response.Close
}

// close closes the connection.
func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// requestText returns a request as it is sent.
func requestText(o *Outcome) string {
	method := "POST"
	if o.Route == safeRoute {
		method = "GET"
	}
	head := []string{
		fmt.Sprintf("%s /%s/x HTTP/1.1", method, o.Route),
		"Host: " + platformfleet.Host,
		"X-Attempt-Id: " + o.ID,
		"X-Deadline-Ms: 6000",
		"Authorization: Bearer " + o.Key,
	}
	if o.Route == streamingRoute {
		prompt := o.Prompt
		if prompt == "" {
			prompt = "aa:100,bb:20"
		}
		head = append(head, fmt.Sprintf("X-Pieces: %d,%d", encodeItems, rankItems), "X-Piece-Key: k",
			"X-Prompt-Prefix: "+prompt, "X-Token-Counts: 120,15")
	}
	if o.Stream != "" {
		head = append(head, "Resumes: "+o.Stream, fmt.Sprintf("Last-Event-Id: %d", o.After))
	}
	if o.RequestBody != "" {
		head = append(head, fmt.Sprintf("Content-Length: %d", len(o.RequestBody)))
	}
	return strings.Join(head, "\r\n") + "\r\n\r\n" + o.RequestBody
}

// Number of items in each stage of a streaming request.
const (
	encodeItems = 2
	rankItems   = 3
)
