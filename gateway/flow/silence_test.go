package flow

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/routes"
	"acaciawinch/gateway/events"
	"acaciawinch/gateway/httpconn"
)

// givingUp is the body of a response whose send is given up just before its next bytes arrive.
type givingUp struct {
	io.Reader
	watch *sendWatch
}

// Read implements io.Reader.
func (r givingUp) Read(p []byte) (int, error) {
	r.watch.mu.Lock()
	r.watch.gaveUp = true
	r.watch.mu.Unlock()
	return r.Reader.Read(p)
}

// TestAnEventThatComesAfterItsSendWasGivenUpIsDropped guards against events of two upstreams in one stream.
func TestAnEventThatComesAfterItsSendWasGivenUpIsDropped(t *testing.T) {
	w := &sendWatch{rq: &request{Server: &Server{silences: newSilences()}, route: &routes.Route{Stream: true}}}
	for name, body := range map[string]string{"event": "id: 1\ndata: a\n\n", "end": ""} {
		w.gaveUp = false
		next, err := w.next(events.NewReader(givingUp{strings.NewReader(body), w}))
		assert.ErrorContains(t, err, "silent", name)
		assert.Assert(t, !errors.Is(err, io.EOF), name)
		assert.Equal(t, len(next.Bytes), 0, name)
	}
}

// TestAResponseThatComesAfterItsSendWasGivenUpIsDropped guards against two responses to one request, and against
// an upstream that goes on working on a response that nobody reads.
func TestAResponseThatComesAfterItsSendWasGivenUpIsDropped(t *testing.T) {
	closed := make(chan struct{})
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "100")
		_ = http.NewResponseController(w).Flush() // the client has the head
		<-r.Context().Done()
		close(closed)
	}))
	defer upstream.Close()
	client := httpconn.New(httpconn.Codec{
		SetID:    func(http.Header, string) {},
		ReadInfo: func(int, http.Header) httpconn.ResponseInfo { return httpconn.ResponseInfo{} },
	}, nil)
	defer client.Close()
	response, err := client.Do(context.Background(), strings.TrimPrefix(upstream.URL, "http://"), httpconn.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
	assert.NilError(t, err)

	w := &sendWatch{gaveUp: true}
	assert.ErrorContains(t, w.head(response, nil), "silent")
	<-closed
}

// TestResultsAreKeptWhereAPoolAtItsFullRateHasRoom guards against kept results that take the room which the next calls
// of a busy pool need: one keeps results of 6 kB in 0.72 MB, the other results of 1.5 MB in 32 MB.
func TestResultsAreKeptWhereAPoolAtItsFullRateHasRoom(t *testing.T) {
	small := routes.Pool{Slots: 1, Batch: 54, CallTime: 200 * time.Millisecond, ItemTime: 3200 * time.Microsecond, RoomBytes: 720_000}
	large := routes.Pool{Slots: 1, Batch: 14, CallTime: 200 * time.Millisecond, ItemTime: 12 * time.Millisecond, RoomBytes: 32_000_000}
	assert.Assert(t, hasRoomToKeep(small, 6_000))
	assert.Assert(t, !hasRoomToKeep(small, 8_000))
	assert.Assert(t, !hasRoomToKeep(large, 1_500_000))
}
