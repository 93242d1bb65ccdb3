package gatewaytest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/platformdoc"
)

// frame is how a scripted response marks its end.
type frame int

// The frames of scripted responses.
const (
	// chunked marks the end by the last chunk, untilClose by the end of the connection only.
	chunked frame = iota
	untilClose
	// cutChunks breaks the connection off before the last chunk, reset resets one whose end would be
	// the end of the response, and stalled leaves it open until the caller closes it.
	cutChunks
	reset
	stalled
	// silent sends nothing until the caller closes the connection.
	silent
	// lengthGiven gives the length of the body, lengthMissed one that is a byte too long.
	lengthGiven
	lengthMissed
)

// answer is one scripted response to a request.
type answer struct {
	frame frame
	// status is 200 if zero.
	status int
	body   string
	// header holds further lines of the head, each with its line end.
	header string
}

// script holds the answers to the requests that reach some upstreams, in order of arrival.
type script struct {
	mu      sync.Mutex
	answers []answer
	// after holds the Last-Event-Id of each request so far.
	after []string
	// reached is closed at the first request.
	reached chan struct{}
}

// startScripted starts upstreams of a service that answer by a script: the first request that reaches
// any of them gets the first answer.
func (f *fleet) startScripted(service string, upstreams int, answers ...answer) *script {
	f.t.Helper()
	s := &script{answers: answers, reached: make(chan struct{})}
	f.startUpstreams(service, upstreams, s)
	return s
}

// startUpstreams starts upstreams of a service with one handler for all.
func (f *fleet) startUpstreams(service string, upstreams int, handler http.Handler) {
	f.t.Helper()
	for i := range upstreams {
		listener, err := f.ports.Listen()
		assert.NilError(f.t, err)
		server := &http.Server{Handler: handler}
		go func() { _ = server.Serve(listener) }() // it returns when the server is closed
		f.t.Cleanup(func() { _ = server.Close() })
		f.store.Put("servers", fmt.Sprintf("%s-%d", service, i), platformdoc.Worker{Service: service, Address: listener.Addr().String(), Zone: "z1", Slots: 8, State: "ready"})
	}
}

// take records a request and returns its answer.
func (s *script) take(r *http.Request) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.after) == 0 {
		close(s.reached)
	}
	s.after = append(s.after, r.Header.Get("Last-Event-Id"))
	if len(s.answers) == 0 {
		return answer{status: http.StatusTeapot}
	}
	next := s.answers[0]
	s.answers = s.answers[1:]
	return next
}

// set replaces the answers that are left.
func (s *script) set(answers ...answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = answers
}

// asked returns the Last-Event-Id of each request so far.
func (s *script) asked() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.after...)
}

// ServeHTTP implements http.Handler.
func (s *script) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	serveAnswer(out, r.Header.Get("X-Attempt-Id"), s.take(r))
}

// text returns an answer in wire format.
func (a answer) text(id string) string {
	status := a.status
	if status == 0 {
		status = http.StatusOK
	}
	head := fmt.Sprintf("HTTP/1.1 %d Any\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: s\r\nConnection: close\r\n%s", status, id, a.header)
	switch a.frame {
	case untilClose, reset, stalled:
		return head + "\r\n" + a.body
	case lengthGiven:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(a.body)) + a.body
	case lengthMissed:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(a.body)+1) + a.body
	}
	text := head + "Transfer-Encoding: chunked\r\n\r\n"
	if a.body != "" {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(a.body), a.body)
	}
	if a.frame == cutChunks {
		return text
	}
	return text + "0\r\n\r\n"
}

// numbered returns events with IDs.
func numbered(ids ...int) string {
	var text strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&text, "id: %d\ndata: %d\n\n", id, id)
	}
	return text.String()
}

// received is what a client got on its connection.
type received struct {
	status int
	header http.Header
	body   string
	// chunked is set if the end of the body is marked by chunks, length is its length if the head has
	// one and -1 otherwise.
	chunked bool
	length  int64
	// err is the error of the body: nil if it ended as its head says, which for a body with neither
	// length nor chunks is the orderly end of the connection.
	err error
}

// framed reports whether the head of the response marks the end of its body.
func (r received) framed() bool { return r.chunked || r.length >= 0 }

// fetch sends a request with the given version of HTTP and reads the response.
func (f *fleet) fetch(g *runningGateway, version, method, target string, headers ...string) received {
	f.t.Helper()
	got := f.fetchAs("r1", g, version, method, target, headers...)
	assert.Assert(f.t, got.status != 0, "no response: %v", got.err)
	return got
}

// fetchAs sends a request with an ID like fetch. If the connection ends without the head of a response,
// the status is 0.
func (f *fleet) fetchAs(id string, g *runningGateway, version, method, target string, headers ...string) received {
	f.t.Helper()
	conn, err := net.Dial("tcp", g.settings.Listen.Clients)
	assert.NilError(f.t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(f.t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	text := fmt.Sprintf("%s %s %s\r\nHost: h\r\nX-Attempt-Id: %s\r\n", method, target, version, id)
	for i := 0; i < len(headers); i += 2 {
		text += headers[i] + ": " + headers[i+1] + "\r\n"
	}
	_, err = io.WriteString(conn, text+"\r\n")
	assert.NilError(f.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return received{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return received{status: resp.StatusCode, header: resp.Header, body: string(body), chunked: len(resp.TransferEncoding) > 0, length: resp.ContentLength, err: err}
}

// versions are the versions of HTTP that clients use.
var versions = []string{"HTTP/1.1", "HTTP/1.0"}

// streamFleet starts scripted engines and a gateway in front of them.
func streamFleet(t *testing.T, upstreams int, answers ...answer) (*fleet, *runningGateway, *script) {
	t.Helper()
	f := newFleet(t)
	s := f.startScripted("llm", upstreams, answers...)
	d := baseConfig(1)
	d.Routes[2].Stages = nil
	d.Routes[2].MaxAttempts = 3
	f.apply(d)
	return f, f.start("g1"), s
}

// deskFleet starts a scripted upstream of a plain service and a gateway in front of it.
func deskFleet(t *testing.T, answers ...answer) (*fleet, *runningGateway) {
	t.Helper()
	f := newFleet(t)
	f.startScripted("desk", 1, answers...)
	f.apply(baseConfig(1))
	return f, f.start("g1")
}

// TestAStreamWithoutProofOfItsEndGoesOnElsewhere: the end of a connection may be the end of the stream
// or that of its upstream's process.
func TestAStreamWithoutProofOfItsEndGoesOnElsewhere(t *testing.T) {
	for _, version := range versions {
		t.Run(version, func(t *testing.T) {
			f, g, s := streamFleet(t, 2, answer{frame: untilClose, body: numbered(1, 2)}, answer{body: numbered(3, 4, 5)})
			got := f.fetch(g, version, "POST", "/stream/x")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, numbered(1, 2, 3, 4, 5))
			assert.DeepEqual(t, s.asked(), []string{"", "2"})
		})
	}
}

// TestTheRemainderOfAWholeStreamIsEmpty: a resumed stream that ends at once proves that the one before
// was complete.
func TestTheRemainderOfAWholeStreamIsEmpty(t *testing.T) {
	f, g, s := streamFleet(t, 2, answer{frame: untilClose, body: numbered(1, 2)}, answer{})
	got := f.fetch(g, "HTTP/1.1", "POST", "/stream/x")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, numbered(1, 2))
	assert.DeepEqual(t, s.asked(), []string{"", "2"})
}

// TestADoubtfulEndIsNotPassedOnAsAProvedOne: where a stream can't go on elsewhere, its events end with
// the client's connection, as they did at the upstream.
func TestADoubtfulEndIsNotPassedOnAsAProvedOne(t *testing.T) {
	unproved := answer{frame: untilClose, body: numbered(1, 2)}
	for name, c := range map[string]struct {
		path    string
		answers []answer
	}{
		"no resume":        {path: "/strict/x", answers: []answer{unproved}},
		"nobody else":      {path: "/stream/x", answers: []answer{unproved}},
		"rejected":         {path: "/stream/x", answers: []answer{unproved, {status: 503, header: "X-Not-Executed: 1\r\n"}}},
		"broken at once":   {path: "/stream/x", answers: []answer{unproved, {frame: cutChunks}}},
		"no proof, twice":  {path: "/stream/x", answers: []answer{unproved, {frame: untilClose}}},
		"no event, strict": {path: "/strict/x", answers: []answer{{frame: untilClose}}},
	} {
		for _, version := range versions {
			t.Run(name+" "+version, func(t *testing.T) {
				f, g, _ := streamFleet(t, len(c.answers), c.answers...)
				got := f.fetch(g, version, "POST", c.path)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, c.answers[0].body)
				assert.Assert(t, !got.framed(), "%+v", got)
			})
		}
	}
}

// TestAResumedStreamWithoutProofDoesNotEndAsWhole: the head of the response has promised chunks, so
// that the last one would say that the stream is complete.
func TestAResumedStreamWithoutProofDoesNotEndAsWhole(t *testing.T) {
	f, g, _ := streamFleet(t, 2, answer{frame: cutChunks, body: numbered(1, 2)}, answer{frame: untilClose, body: numbered(3)})
	got := f.fetch(g, "HTTP/1.1", "POST", "/stream/x")
	assert.Equal(t, got.body, numbered(1, 2, 3))
	assert.Assert(t, got.chunked)
	assert.ErrorContains(t, got.err, "unexpected EOF")
}

// TestAStreamWhoseIDsGoBackGoesOnElsewhere: an upstream that sends an event again, or one from before,
// has mixed up its run. Nothing of it is passed on from there.
func TestAStreamWhoseIDsGoBackGoesOnElsewhere(t *testing.T) {
	for name, ids := range map[string][]int{"again": {1, 2, 2, 4, 3}, "back": {1, 2, 1, 3}} {
		t.Run(name, func(t *testing.T) {
			f, g, s := streamFleet(t, 2, answer{body: numbered(ids...)}, answer{body: numbered(3, 4, 5)})
			got := f.fetch(g, "HTTP/1.1", "POST", "/stream/x")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, numbered(1, 2, 3, 4, 5))
			assert.DeepEqual(t, s.asked(), []string{"", "2"})
			f.waitLines(1, "gateway_disorder", `"request":"r1"`, `"last":"2"`)
		})
	}
}

// TestAStreamWhoseIDsGoBackEndsTruncatedWhereItMayNotBeResumed also has an upstream that answers a
// second time, though it must not be asked.
func TestAStreamWhoseIDsGoBackEndsTruncatedWhereItMayNotBeResumed(t *testing.T) {
	f, g, s := streamFleet(t, 2, answer{body: numbered(1, 2, 2, 3)}, answer{body: numbered(3)})
	got := f.fetch(g, "HTTP/1.1", "POST", "/strict/x")
	assert.Equal(t, got.body, numbered(1, 2))
	assert.ErrorContains(t, got.err, "unexpected EOF")
	assert.Equal(t, len(s.asked()), 1)
}

// TestARunThatDoesNotGoOnWhereItWasAskedToIsNotJoined: a run that begins at or before the last event is
// another one from the start, not the rest of the stream.
func TestARunThatDoesNotGoOnWhereItWasAskedToIsNotJoined(t *testing.T) {
	broken := answer{frame: cutChunks, body: numbered(1, 2)}
	for name, ids := range map[string][]int{"from the start": {1, 2, 3, 4}, "at the last event": {2, 3, 4}} {
		t.Run(name, func(t *testing.T) {
			f, g, s := streamFleet(t, 3, broken, answer{body: numbered(ids...)}, answer{body: numbered(3, 4)})
			got := f.fetch(g, "HTTP/1.1", "POST", "/stream/x")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, numbered(1, 2, 3, 4))
			assert.DeepEqual(t, s.asked(), []string{"", "2", "2"})
		})
		t.Run(name+", nobody else", func(t *testing.T) {
			f, g, _ := streamFleet(t, 2, broken, answer{body: numbered(ids...)})
			got := f.fetch(g, "HTTP/1.1", "POST", "/stream/x")
			assert.Equal(t, got.body, numbered(1, 2))
			assert.ErrorContains(t, got.err, "unexpected EOF")
		})
	}
}

// TestAClientThatResumesGetsNothingAgain: the client's own last event counts like one of this response.
func TestAClientThatResumesGetsNothingAgain(t *testing.T) {
	f, g, s := streamFleet(t, 2, answer{body: numbered(3, 4, 5)}, answer{body: numbered(8, 9)})
	got := f.fetch(g, "HTTP/1.1", "POST", "/stream/x", "Last-Event-Id", "7")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, numbered(8, 9))
	assert.DeepEqual(t, s.asked(), []string{"7", "7"})
}

// TestIDsThatCannotBeComparedArePassedOn: IDs may skip numbers, need not be numbers, and may be left out.
func TestIDsThatCannotBeComparedArePassedOn(t *testing.T) {
	for name, body := range map[string]string{
		"skipped":     numbered(2, 5, 6, 40),
		"text":        "id: b\ndata: 1\n\nid: a\ndata: 2\n\nid: a\ndata: 3\n\n",
		"left out":    "data: 1\n\ndata: 2\n\n",
		"between":     "id: 1\ndata: 1\n\ndata: 2\n\nid: 3\ndata: 3\n\n",
		"longer ones": "id: 9\ndata: 1\n\nid: 10\ndata: 2\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			f, g, _ := streamFleet(t, 1, answer{body: body})
			got := f.fetch(g, "HTTP/1.1", "POST", "/stream/x")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, body)
		})
	}
}

// TestAFailureInAResumedStreamIsNoPartOfIt: once the client has the head of a stream, only events may
// follow. The body of an error response would stand among them, and end the stream as complete.
func TestAFailureInAResumedStreamIsNoPartOfIt(t *testing.T) {
	broken := answer{frame: cutChunks, body: numbered(1, 2)}
	for _, status := range []int{400, 404, 500, 504} {
		failed := answer{status: status, body: "failed"}
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			f, g, s := streamFleet(t, 3, broken, failed, answer{body: numbered(3, 4)})
			got := f.fetch(g, "HTTP/1.1", "POST", "/stream/x")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, numbered(1, 2, 3, 4))
			assert.DeepEqual(t, s.asked(), []string{"", "2", "2"})
		})
		t.Run(fmt.Sprint(status, " and nobody else"), func(t *testing.T) {
			f, g, _ := streamFleet(t, 2, broken, failed)
			got := f.fetch(g, "HTTP/1.1", "POST", "/stream/x")
			assert.Equal(t, got.body, numbered(1, 2))
			assert.ErrorContains(t, got.err, "unexpected EOF")
		})
	}
}

// TestAStreamDoesNotFollowAPartOfAnotherResponse: a long error response that breaks off is no stream
// that could go on elsewhere.
func TestAStreamDoesNotFollowAPartOfAnotherResponse(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	f, g, s := streamFleet(t, 2, answer{status: 500, frame: cutChunks, body: long}, answer{body: numbered(1, 2)})
	got := f.fetch(g, "HTTP/1.1", "POST", "/stream/x")
	assert.Equal(t, got.status, 500)
	assert.Assert(t, strings.HasPrefix(long, got.body))
	assert.ErrorContains(t, got.err, "unexpected EOF")
	assert.Equal(t, len(s.asked()), 1)
}

// TestABrokenResponseThatEndsWithItsConnectionIsReset: an orderly end of the connection would mark the
// response as ended, so that only a reset shows that it was broken off.
func TestABrokenResponseThatEndsWithItsConnectionIsReset(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		answers []answer
	}{
		"reset":              {path: "/strict/x", answers: []answer{{frame: reset, body: numbered(1, 2)}}},
		"within an event":    {path: "/strict/x", answers: []answer{{frame: untilClose, body: numbered(1, 2) + "id: 3\n"}}},
		"IDs go back":        {path: "/strict/x", answers: []answer{{frame: untilClose, body: numbered(1, 2, 2)}}},
		"resumed, cut":       {path: "/stream/x", answers: []answer{{frame: reset, body: numbered(1)}, {frame: cutChunks, body: numbered(2)}}},
		"unproved, then cut": {path: "/stream/x", answers: []answer{{frame: untilClose, body: numbered(1)}, {frame: cutChunks, body: numbered(2)}}},
	} {
		for _, version := range versions {
			t.Run(name+" "+version, func(t *testing.T) {
				f, g, _ := streamFleet(t, len(c.answers), c.answers...)
				got := f.fetch(g, version, "POST", c.path)
				assert.Equal(t, got.body, numbered(1, 2))
				assert.Assert(t, !got.framed())
				assert.ErrorContains(t, got.err, "reset")
			})
		}
	}
}

// TestABrokenChunkedStreamIsResetForAClientWithoutChunks: HTTP/1.0 has no chunks, so that the end of the
// connection marks the end of every stream.
func TestABrokenChunkedStreamIsResetForAClientWithoutChunks(t *testing.T) {
	f, g, _ := streamFleet(t, 1, answer{frame: cutChunks, body: numbered(1, 2)})
	got := f.fetch(g, "HTTP/1.0", "POST", "/strict/x")
	assert.Equal(t, got.body, numbered(1, 2))
	assert.ErrorContains(t, got.err, "reset")
}

// TestADeadlineWithinAStreamResetsIt: the gateway itself ends the stream then.
func TestADeadlineWithinAStreamResetsIt(t *testing.T) {
	f, g, _ := streamFleet(t, 1, answer{frame: stalled, body: numbered(1, 2)})
	got := f.fetch(g, "HTTP/1.1", "POST", "/strict/x", "X-Deadline-Ms", "1000")
	assert.Equal(t, got.body, numbered(1, 2))
	assert.Assert(t, !got.framed())
	assert.ErrorContains(t, got.err, "reset")
}

// TestAStreamThatIsCutAtTheEndOfAStopIsReset: the same holds for what a stopping gateway can't finish.
func TestAStreamThatIsCutAtTheEndOfAStopIsReset(t *testing.T) {
	f, g, s := streamFleet(t, 1, answer{frame: stalled, body: numbered(1, 2)})
	go func() {
		<-s.reached
		g.stop()
	}()
	got := f.fetch(g, "HTTP/1.1", "POST", "/strict/x")
	assert.Equal(t, got.body, numbered(1, 2))
	assert.Assert(t, !got.framed())
	assert.ErrorContains(t, got.err, "reset")
}

// TestAWholeResponseWithoutLengthGetsNone: a length of its own would say that the response is complete,
// though its upstream may have ended within it.
func TestAWholeResponseWithoutLengthGetsNone(t *testing.T) {
	for name, body := range map[string]string{"empty": "", "short": "part", "long": strings.Repeat("x", 1<<20)} {
		for _, path := range []string{"/safe/x", "/once/x"} {
			for _, version := range versions {
				t.Run(name+path+" "+version, func(t *testing.T) {
					f, g := deskFleet(t, answer{frame: untilClose, body: body})
					got := f.fetch(g, version, "POST", path)
					assert.NilError(t, got.err)
					assert.Equal(t, got.status, http.StatusOK)
					assert.Assert(t, got.body == body)
					assert.Assert(t, !got.framed(), "length %d, chunked %t", got.length, got.chunked)
				})
			}
		}
	}
}

// TestALongResponseWithoutLengthThatBreaksOffIsReset: its first part has been passed on by then.
func TestALongResponseWithoutLengthThatBreaksOffIsReset(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	for name, c := range map[string]struct {
		frame   frame
		version string
	}{
		"deadline": {stalled, "HTTP/1.1"}, "deadline, HTTP/1.0": {stalled, "HTTP/1.0"}, "chunks, HTTP/1.0": {cutChunks, "HTTP/1.0"},
	} {
		t.Run(name, func(t *testing.T) {
			f, g := deskFleet(t, answer{frame: c.frame, body: long})
			got := f.fetch(g, c.version, "POST", "/once/x", "X-Deadline-Ms", "1000")
			assert.Equal(t, got.status, http.StatusOK)
			assert.Assert(t, !got.framed())
			assert.ErrorContains(t, got.err, "reset")
		})
	}
}

// TestALongResponseKeepsItsFrame: a length is passed on, and one that breaks off is seen by it.
func TestALongResponseKeepsItsFrame(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	for _, version := range versions {
		t.Run("length, "+version, func(t *testing.T) {
			f, g := deskFleet(t, answer{frame: lengthGiven, body: long})
			got := f.fetch(g, version, "POST", "/once/x")
			assert.NilError(t, got.err)
			assert.Assert(t, got.body == long)
			assert.Equal(t, got.length, int64(len(long)))
		})
		t.Run("broken length, "+version, func(t *testing.T) {
			f, g := deskFleet(t, answer{frame: lengthMissed, body: long})
			got := f.fetch(g, version, "POST", "/once/x")
			assert.Equal(t, got.length, int64(len(long)+1))
			assert.ErrorContains(t, got.err, "unexpected EOF")
		})
	}
	t.Run("chunks", func(t *testing.T) {
		f, g := deskFleet(t, answer{body: long})
		got := f.fetch(g, "HTTP/1.1", "POST", "/once/x")
		assert.NilError(t, got.err)
		assert.Assert(t, got.body == long)
		assert.Assert(t, got.chunked)
	})
	t.Run("broken chunks", func(t *testing.T) {
		f, g := deskFleet(t, answer{frame: cutChunks, body: long})
		got := f.fetch(g, "HTTP/1.1", "POST", "/once/x")
		assert.Assert(t, got.chunked)
		assert.ErrorContains(t, got.err, "unexpected EOF")
	})
}

// TestShortResponsesKeepTheirLength: what was read whole has a length of its own, and what can have no
// body has none and leaves the connection open.
func TestShortResponsesKeepTheirLength(t *testing.T) {
	for name, c := range map[string]struct {
		method string
		answer answer
		length int64
	}{
		"chunks":     {"POST", answer{body: "whole"}, 5},
		"length":     {"POST", answer{frame: lengthGiven, body: "whole"}, 5},
		"no content": {"POST", answer{frame: untilClose, status: 204}, 0},
		"unchanged":  {"GET", answer{frame: untilClose, status: 304}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f, g := deskFleet(t, c.answer)
			got := f.fetch(g, "HTTP/1.1", c.method, "/safe/x")
			assert.NilError(t, got.err)
			assert.Equal(t, got.length, c.length)
			assert.Equal(t, got.header.Get("Connection"), "")
		})
	}
	t.Run("head", func(t *testing.T) {
		f, g := deskFleet(t, answer{frame: untilClose})
		got := f.fetch(g, "HTTP/1.1", "HEAD", "/safe/x")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.header.Get("Connection"), "")
	})
}

// TestAStreamWhoseLastEventHasNoIDIsNotResumed: no upstream can be asked for what follows that event, so
// that it would come again.
func TestAStreamWhoseLastEventHasNoIDIsNotResumed(t *testing.T) {
	for name, body := range map[string]string{"none has": "data: 1\n\n", "the last has none": numbered(1) + "data: 2\n\n"} {
		t.Run(name, func(t *testing.T) {
			f, g, s := streamFleet(t, 2, answer{frame: cutChunks, body: body}, answer{body: body + numbered(3)})
			got := f.fetch(g, "HTTP/1.1", "POST", "/stream/x")
			assert.Equal(t, got.body, body)
			assert.ErrorContains(t, got.err, "unexpected EOF")
			assert.Equal(t, len(s.asked()), 1)
		})
		t.Run(name+", without proof", func(t *testing.T) {
			f, g, s := streamFleet(t, 2, answer{frame: untilClose, body: body}, answer{body: body + numbered(3)})
			got := f.fetch(g, "HTTP/1.1", "POST", "/stream/x")
			assert.Equal(t, got.body, body)
			assert.NilError(t, got.err)
			assert.Assert(t, !got.framed())
			assert.Equal(t, len(s.asked()), 1)
		})
	}
}

// TestEventsWithoutDataDoNotKeepAStreamFromBeingResumed: such an event is no part of what the stream
// brings.
func TestEventsWithoutDataDoNotKeepAStreamFromBeingResumed(t *testing.T) {
	first := numbered(1) + ": still here\n\n"
	f, g, s := streamFleet(t, 2, answer{frame: cutChunks, body: first}, answer{body: numbered(2, 3)})
	got := f.fetch(g, "HTTP/1.1", "POST", "/stream/x")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, first+numbered(2, 3))
	assert.DeepEqual(t, s.asked(), []string{"", "1"})
}
