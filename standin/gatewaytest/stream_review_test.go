package gatewaytest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/worker"
)

// clientPatience is the shortest time without an event after which clients abandon a stream.
const clientPatience = 2 * time.Second

// TestAnEndInDoubtIsNotHeldUp: clients abandon a stream that stays silent, so that one that may be
// complete must end before that, whatever the upstream does that is asked for the remainder.
func TestAnEndInDoubtIsNotHeldUp(t *testing.T) {
	for name, second := range map[string]answer{
		"no event": {frame: stalled},
		"no head":  {frame: silent},
	} {
		t.Run(name, func(t *testing.T) {
			f, g, s := streamFleet(t, 2, answer{frame: untilClose, body: numbered(1, 2)}, second)
			d := baseConfig(2)
			d.Routes[2].Stages = nil
			d.Routes[2].GoalMS = 300 // clients wait for the longest of clientPatience and four times this
			f.apply(d)
			f.waitLines(1, "table_in_force", `"version":2`)
			started := time.Now()
			got := f.fetch(g, "HTTP/1.1", "POST", "/stream/x")
			took := time.Since(started)
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, numbered(1, 2))
			assert.DeepEqual(t, s.asked(), []string{"", "2"})
			assert.Assert(t, took < clientPatience, "the stream ended after %s", took)
		})
	}
}

// TestAPartOfAnotherEventShowsThatAStreamWasNotComplete: the rest of that event is missing, so that the
// client's connection must not end in order.
func TestAPartOfAnotherEventShowsThatAStreamWasNotComplete(t *testing.T) {
	for name, frame := range map[string]frame{"cut": cutChunks, "end in order": untilClose} {
		t.Run(name, func(t *testing.T) {
			f, g, _ := streamFleet(t, 2, answer{frame: untilClose, body: numbered(1, 2)}, answer{frame: frame, body: "id: 3\ndata: 3\n"})
			got := f.fetch(g, "HTTP/1.1", "POST", "/stream/x")
			assert.Equal(t, got.body, numbered(1, 2))
			assert.ErrorContains(t, got.err, "reset")
		})
	}
}

// TestAnEmptyRemainderWithoutProofDoesNotMendABrokenStream: the first upstream is known to have broken
// off, and the second one may have ended before its first event.
func TestAnEmptyRemainderWithoutProofDoesNotMendABrokenStream(t *testing.T) {
	for name, c := range map[string]struct {
		frame   frame
		version string
	}{
		"reset": {reset, "HTTP/1.1"}, "cut chunks, HTTP/1.0": {cutChunks, "HTTP/1.0"},
	} {
		t.Run(name, func(t *testing.T) {
			f, g, _ := streamFleet(t, 2, answer{frame: c.frame, body: numbered(1, 2)}, answer{frame: untilClose})
			got := f.fetch(g, c.version, "POST", "/stream/x")
			assert.Equal(t, got.body, numbered(1, 2))
			assert.ErrorContains(t, got.err, "reset")
		})
	}
}

// TestEndsInDoubtLeaveRetriesForBrokenStreams: upstreams may send no response with a length. Asking for
// a remainder each time must not take the retries from streams that are known to be broken.
func TestEndsInDoubtLeaveRetriesForBrokenStreams(t *testing.T) {
	const whole = 40
	f, g, s := streamFleet(t, 2)
	for range whole {
		s.set(answer{frame: untilClose, body: numbered(1, 2)}, answer{frame: untilClose})
		got := f.fetch(g, "HTTP/1.1", "POST", "/stream/x")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, numbered(1, 2))
	}
	s.set(answer{frame: cutChunks, body: numbered(1, 2)}, answer{body: numbered(3)})
	got := f.fetch(g, "HTTP/1.1", "POST", "/stream/x")
	assert.Equal(t, got.body, numbered(1, 2, 3))
	assert.NilError(t, got.err)
}

// TestAWholeResponseIsNotCutByTheRequestAfterIt: a client may send its next request early. Closing a
// connection with unread bytes resets it, and the rest of the response would be lost.
func TestAWholeResponseIsNotCutByTheRequestAfterIt(t *testing.T) {
	long := strings.Repeat("x", 4<<20)
	_, g := deskFleet(t, answer{frame: untilClose, body: long}, answer{body: "second"})
	conn, err := net.Dial("tcp", g.settings.Listen.Clients)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	request := "GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\n\r\n"
	_, err = io.WriteString(conn, request)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, err = io.WriteString(conn, request)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(body), len(long))
}

// TestTheRemainderIsNoLongerAskedForOnceTheClientHasLeft: the upstream that is asked must not go on for
// nobody.
func TestTheRemainderIsNoLongerAskedForOnceTheClientHasLeft(t *testing.T) {
	f, g, _ := streamFleet(t, 2, answer{frame: untilClose, body: numbered(1, 2)}, answer{frame: silent})
	conn, err := net.Dial("tcp", g.settings.Listen.Clients)
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\n\r\n")
	assert.NilError(t, err)
	f.waitLines(2, "gateway_sent", `"request":"r1"`)
	assert.NilError(t, conn.Close())
	f.waitLines(1, "gateway_left", `"request":"r1"`)
}

// breakOffLate serves streams that break off once clients would no longer wait for a first event. What
// follows the last event comes at once.
func breakOffLate(out http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	out.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	out.Header().Set("X-Response-Stamp", "s")
	if r.Header.Get("Last-Event-Id") != "" {
		_, _ = io.WriteString(out, numbered(3)) // a caller that has disconnected needs no event
		return
	}
	_, _ = io.WriteString(out, numbered(1))     // a caller that has disconnected needs no event
	_ = http.NewResponseController(out).Flush() // a caller that has disconnected needs no event
	select {
	case <-time.After(clientPatience + 500*time.Millisecond):
	case <-r.Context().Done():
	}
	_, _ = io.WriteString(out, numbered(2))     // a caller that has disconnected needs no event
	_ = http.NewResponseController(out).Flush() // a caller that has disconnected needs no event
	panic(http.ErrAbortHandler)
}

// TestAStreamWithStagesThatBreaksOffLateGoesOn: the time within which a stream must start says nothing of
// its remainder.
func TestAStreamWithStagesThatBreaksOffLateGoesOn(t *testing.T) {
	f := newFleet(t)
	f.startWorker("enc-1", "enc", worker.Stage)
	f.startUpstreams("llm", 2, http.HandlerFunc(breakOffLate))
	d := baseConfig(1)
	d.Routes[2].GoalMS = 400
	f.apply(d)
	got := f.fetch(f.start("g1"), "HTTP/1.1", "POST", "/stream/x", "X-Pieces", "2,2", "X-Piece-Key", "k")
	assert.Equal(t, got.body, numbered(1, 2, 3))
	assert.NilError(t, got.err)
}
