package pools

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/platform/stagecall"
)

// numbered returns a result with a handle of its own for each item.
func numbered(items []stagecall.Item) (int, []stagecall.Result) {
	results := make([]stagecall.Result, len(items))
	for i, item := range items {
		results[i].Handle = fmt.Sprintf("h/%s.%d", item.Request, item.Index)
	}
	return http.StatusOK, results
}

// TestTheNextCallFindsItsConnectionOpen guards against pools that serve less in a burst, as each call to an upstream that echoes no
// IDs begins a round trip later: while a call runs and items wait, the connection of the next call is opened.
func TestTheNextCallFindsItsConnectionOpen(t *testing.T) {
	opened, addresses := make(chan string, 10), make(chan string, 10)
	next := ""
	worker := &stageWorker{script: []func([]stagecall.Item) (int, []stagecall.Result){numbered}}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if r.URL.Path == stagecall.RunPath {
			content, err := io.ReadAll(r.Body) // the context ends with the connection only once the body was read
			assert.Check(t, err)
			r.Body = io.NopCloser(bytes.NewReader(content))
			if next == "" {
				<-opened // its own connection
				select {
				case next = <-opened:
				case <-r.Context().Done(): // the caller closes the connection when the call takes too long
				}
			}
			addresses <- r.RemoteAddr
		}
		worker.ServeHTTP(out, r)
	}))
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened <- conn.RemoteAddr().String()
		}
	}
	server.Start()
	o := newOwnerAt(t, server)
	o.StartsFirst() // the room is not asked for, so that all connections are those of run calls
	tooMany := task("a")
	tooMany.Items = 5 // one more than a call takes
	done := submit(o.Session(true), 1, tooMany, nil)
	assert.Equal(t, (<-done).Failure, Failure(""))
	<-addresses
	assert.Equal(t, <-addresses, next, "the second call's connection was not opened while the first call was running")
}
