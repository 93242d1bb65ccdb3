package gatewaytest

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// drawnEvents is the number of events of a complete drawn stream.
const drawnEvents = 6

// fate is what becomes of one send of a drawn stream.
type fate struct {
	frame frame
	// first is the ID of the first event relative to the one that is asked for, and last that of the
	// last event; nothing follows drawnEvents.
	first, last int
	// repeated is the ID of the event that is sent once more behind last, 0 for none.
	repeated int
	// isCut is set if a part of an event follows.
	isCut bool
	// status is the status of an error response, 0 for a stream.
	status int
}

// drawFate returns the fate of a send that is to go on after an event.
func drawFate(random *rand.Rand, after int) fate {
	frames := []frame{chunked, chunked, untilClose, untilClose, cutChunks, reset}
	f := fate{frame: frames[random.IntN(len(frames))], last: drawnEvents}
	if random.IntN(2) == 0 || f.frame == cutChunks || f.frame == reset {
		f.last = after + random.IntN(drawnEvents-after+1)
	}
	switch random.IntN(10) {
	case 0:
		f.first = -random.IntN(after + 1)
	case 1:
		f.repeated = random.IntN(f.last + 1)
	case 2:
		f.isCut = true
	case 3:
		f.status = []int{http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusGatewayTimeout}[random.IntN(3)]
	}
	if f.frame == chunked && f.repeated == 0 && !f.isCut {
		f.last = drawnEvents // what is framed as complete is complete
	}
	return f
}

// text returns the events that a send after an event gets.
func (f fate) text(after int) string {
	if f.status != 0 {
		return "failed"
	}
	text := ""
	for id := max(1, after+1+f.first); id <= f.last; id++ {
		text += numbered(id)
	}
	if f.repeated > 0 {
		text += numbered(f.repeated)
	}
	if f.isCut {
		text += "id: "
	}
	return text
}

// endsInOrder reports whether a send has passed on the events up to an ID and then ended like a stream
// that is complete.
func (f fate) endsInOrder() bool { return f.status == 0 && f.repeated == 0 && !f.isCut }

// drawnStreams are upstreams whose sends have drawn fates.
type drawnStreams struct {
	mu     sync.Mutex
	random *rand.Rand
	// sends holds the sends of each request, by its ID.
	sends map[string][]drawnSend
}

// drawnSend is one send of a request.
type drawnSend struct {
	after int
	fate  fate
}

// ServeHTTP implements http.Handler.
func (d *drawnStreams) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Attempt-Id")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if there is none
	d.mu.Lock()
	next := drawFate(d.random, after)
	d.sends[id] = append(d.sends[id], drawnSend{after: after, fate: next})
	d.mu.Unlock()
	serveAnswer(out, id, answer{frame: next.frame, status: next.status, body: next.text(after)})
}

// sendsOf returns the sends of a request.
func (d *drawnStreams) sendsOf(id string) []drawnSend {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]drawnSend(nil), d.sends[id]...)
}

// mayEndInDoubt reports whether, according to the sends of a request, nobody can know that a stream is
// incomplete which ends after an event: one send ended there in order and without a mark of its end, and
// nothing that came after it was more of the stream.
func mayEndInDoubt(sends []drawnSend, last int) bool {
	doubtful, incomplete := false, false
	for _, send := range sends {
		added := send.fate.addsAfter(send.after)
		if added {
			doubtful, incomplete = false, false
		}
		switch {
		case send.fate.status != 0:
		case send.fate.frame == untilClose && send.fate.endsInOrder():
			doubtful = doubtful || !incomplete && max(send.after, send.fate.last) == last
		case send.fate.isCut && send.fate.first >= 0 && send.fate.repeated == 0 && send.fate.frame != reset:
			doubtful, incomplete = false, true // a part of another event has come; a reset may have lost it
		default:
			incomplete = incomplete || !doubtful
		}
	}
	return doubtful
}

// addsAfter reports whether a send that goes on after an event adds others.
func (f fate) addsAfter(after int) bool { return f.status == 0 && f.first >= 0 && f.last > after }

// TestDrawnStreamsAreWholeOrSeenToBeBroken sends requests whose upstreams stop, repeat themselves, begin
// elsewhere, fail and end in every way, and checks what the client can conclude from each response.
func TestDrawnStreamsAreWholeOrSeenToBeBroken(t *testing.T) {
	const requests = 60
	whole := numbered(1, 2, 3, 4, 5, 6)
	for seed := range uint64(3) {
		for _, version := range versions {
			t.Run(fmt.Sprint("seed ", seed, " ", version), func(t *testing.T) {
				f := newFleet(t)
				d := &drawnStreams{random: rand.New(rand.NewPCG(seed, 0)), sends: make(map[string][]drawnSend)}
				f.startUpstreams("llm", 4, d)
				config := baseConfig(1)
				config.Routes[2].Stages = nil
				config.Routes[2].MaxAttempts = 3
				f.apply(config)
				g := f.start("g1")
				resumed := 0
				for i := range requests {
					id := fmt.Sprint("d", i)
					got := f.fetchAs(id, g, version, "POST", "/stream/x")
					sends := d.sendsOf(id)
					resumed += len(sends) - 1
					checkDrawn(t, got, whole, sends)
				}
				assert.Assert(t, resumed > 0)
			})
		}
	}
}

// checkDrawn checks the response to a request with the given sends.
func checkDrawn(t *testing.T, got received, whole string, sends []drawnSend) {
	t.Helper()
	first := sends[0].fate
	if got.status != 0 && got.status != http.StatusOK {
		assert.Assert(t, first.status != 0 || first.frame == cutChunks || first.frame == reset || first.isCut || first.first < 0 || first.repeated > 0, "%d after %+v", got.status, sends)
		return
	}
	assert.Assert(t, strings.HasPrefix(whole, got.body), "%q after %+v", got.body, sends)
	last := strings.Count(got.body, "id: ")
	switch {
	case got.err != nil || got.body == whole:
	case got.framed():
		t.Errorf("%d events framed as complete after %+v", last, sends)
	default:
		assert.Assert(t, mayEndInDoubt(sends, last), "%d events ended in order after %+v", last, sends)
	}
	if first.endsInOrder() && first.last == drawnEvents && (first.frame == chunked || first.frame == untilClose) {
		assert.Equal(t, got.body, whole, "%+v", sends)
		assert.Assert(t, got.err == nil, "%v after %+v", got.err, sends)
	}
}

// serveAnswer writes an answer to the connection of a request and ends the connection.
func serveAnswer(out http.ResponseWriter, id string, a answer) {
	conn, _, err := out.(http.Hijacker).Hijack()
	if err != nil {
		panic("script: cannot hijack the connection: " + err.Error())
	}
	defer func() { _ = conn.Close() }() // the response is sent or its reader has disconnected
	if a.frame != silent {
		_, _ = io.WriteString(conn, a.text(id))
	}
	switch a.frame {
	case reset:
		_ = conn.(*net.TCPConn).SetLinger(0)
	case stalled, silent:
		_, _ = conn.Read(make([]byte, 1)) // the caller sends no further request
	}
}
