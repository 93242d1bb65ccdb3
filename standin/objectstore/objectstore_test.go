package objectstore

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// client calls its own object store over HTTP.
type client struct {
	t      *testing.T
	server *Server
	url    string
}

// newClient starts an object store that is stopped at the end of the test.
func newClient(t *testing.T) *client {
	server := NewServer(Limits{})
	httpServer := httptest.NewServer(server)
	t.Cleanup(func() {
		server.Stop()
		httpServer.Close()
	})
	return &client{t: t, server: server, url: httpServer.URL}
}

// write sends a conditional write and returns the status and the new version.
func (c *client) write(method, key, header, condition, value string) (int, string) {
	request, err := http.NewRequest(method, c.url+"/v1/objects/"+key, bytes.NewBufferString(value))
	assert.NilError(c.t, err)
	request.Header.Set(header, condition)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(c.t, err)
	defer response.Body.Close()
	return response.StatusCode, response.Header.Get(versionHeader)
}

// create creates an object and returns its version.
func (c *client) create(key, value string) string {
	status, version := c.write(http.MethodPut, key, "If-None-Match", "*", value)
	assert.Equal(c.t, status, http.StatusOK)
	return version
}

// control sets the fault switches.
func (c *client) control(control Control) {
	body, err := json.Marshal(control)
	assert.NilError(c.t, err)
	response, err := http.Post(c.url+"/control", "application/json", bytes.NewReader(body))
	assert.NilError(c.t, err)
	response.Body.Close()
	assert.Equal(c.t, response.StatusCode, http.StatusOK)
}

// read sends a GET and returns the status and the body.
func (c *client) read(path string) (int, string) {
	response, err := http.Get(c.url + path)
	assert.NilError(c.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(c.t, err)
	return response.StatusCode, string(body)
}

// watch returns the result of one watch call.
func (c *client) watch(prefix string, cursor uint64) WatchResult {
	status, body := c.read(fmt.Sprintf("/v1/watch?prefix=%s&cursor=%d", prefix, cursor))
	assert.Equal(c.t, status, http.StatusOK)
	var result WatchResult
	assert.NilError(c.t, json.Unmarshal([]byte(body), &result))
	return result
}

func TestConditionalWritesAndRisingVersions(t *testing.T) {
	c := newClient(t)
	first := c.create("a", "1")
	status, _ := c.write(http.MethodPut, "a", "If-None-Match", "*", "2")
	assert.Equal(t, status, http.StatusPreconditionFailed)
	status, second := c.write(http.MethodPut, "a", "If-Match", `"`+first+`"`, "2")
	assert.Equal(t, status, http.StatusOK)
	status, _ = c.write(http.MethodPut, "a", "If-Match", `"`+first+`"`, "3")
	assert.Equal(t, status, http.StatusPreconditionFailed)
	status, _ = c.write(http.MethodDelete, "a", "If-Match", `"`+second+`"`, "")
	assert.Equal(t, status, http.StatusOK)
	third := c.create("a", "4")
	assert.Assert(t, third > second && second > first, "versions %s %s %s", first, second, third)
}

func TestWriteWithLostResponseTakesEffect(t *testing.T) {
	c := newClient(t)
	c.control(Control{LoseResponses: 1})
	request, err := http.NewRequest(http.MethodPut, c.url+"/v1/objects/a", bytes.NewBufferString("1"))
	assert.NilError(t, err)
	request.Header.Set("If-None-Match", "*")
	_, err = http.DefaultClient.Do(request)
	assert.Assert(t, err != nil, "the response was not lost")
	_, body := c.read("/v1/objects/a")
	assert.Equal(t, body, "1")
	c.create("b", "2")
}

func TestOutageHasNoEffectAndEndsWatches(t *testing.T) {
	c := newClient(t)
	c.create("a", "1")
	status := make(chan int, 1)
	go func() {
		code, _ := c.read("/v1/watch?prefix=a&cursor=2")
		status <- code
	}()
	c.awaitWatches(1)
	c.control(Control{Down: true})
	assert.Equal(t, <-status, http.StatusServiceUnavailable)
	code, _ := c.write(http.MethodPut, "b", "If-None-Match", "*", "1")
	assert.Equal(t, code, http.StatusServiceUnavailable)
	c.control(Control{})
	code, _ = c.read("/v1/objects/b")
	assert.Equal(t, code, http.StatusNotFound)
}

// awaitWatches waits until count watches are in progress.
func (c *client) awaitWatches(count int) {
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		_, body := c.read("/control/stats")
		var stats Stats
		if err := json.Unmarshal([]byte(body), &stats); err != nil {
			return poll.Error(err)
		}
		if stats.Waiting == count {
			return poll.Success()
		}
		return poll.Continue("%d watches are in progress", stats.Waiting)
	}, poll.WithDelay(time.Millisecond))
}

func TestWatchReportsEveryChangeInOrder(t *testing.T) {
	c := newClient(t)
	start := c.watch("a/", 0)
	assert.Equal(t, len(start.Changes), 0)
	version := c.create("a/1", "x")
	c.create("b/1", "y")
	created := c.watch("a/", start.Next)
	assert.Equal(t, len(created.Changes), 1)
	assert.Equal(t, string(created.Changes[0].Value), "x")
	status, _ := c.write(http.MethodDelete, "a/1", "If-Match", `"`+version+`"`, "")
	assert.Equal(t, status, http.StatusOK)
	deleted := c.watch("a/", created.Next)
	assert.Equal(t, len(deleted.Changes), 1)
	assert.Assert(t, deleted.Changes[0].Deleted)
	assert.Equal(t, len(c.watch("a/", start.Next).Changes), 2)
}

func TestWatchWakesAtAChange(t *testing.T) {
	c := newClient(t)
	start := c.watch("a/", 0)
	results := make(chan WatchResult, 1)
	go func() { results <- c.watch("a/", start.Next) }()
	c.awaitWatches(1)
	c.create("b/1", "other")
	c.create("a/1", "x")
	result := <-results
	assert.Equal(t, len(result.Changes), 1)
	assert.Equal(t, result.Changes[0].Key, "a/1")
}

func TestStaleCursorIsReset(t *testing.T) {
	store := NewStore()
	for range maxChanges + 2 {
		version := store.objects["a"].Version
		_, ok := store.Put("a", nil, version)
		assert.Assert(t, ok)
	}
	result, _ := store.Since("a", 1)
	assert.Assert(t, result.Reset)
	result, _ = store.Since("a", store.lastVersion-1)
	assert.Assert(t, !result.Reset)
	assert.Equal(t, len(result.Changes), 1)
}

func TestRateLimitedCallsHaveNoEffect(t *testing.T) {
	server := NewServer(Limits{WritesPerSecond: 1})
	statuses := map[int]int{}
	for i := range 50 {
		request := httptest.NewRequest(http.MethodPut, fmt.Sprintf("/v1/objects/%d", i), nil)
		request.Header.Set("If-None-Match", "*")
		response := httptest.NewRecorder()
		server.ServeHTTP(response, request)
		statuses[response.Code]++
	}
	assert.Assert(t, statuses[http.StatusServiceUnavailable] > 0, "no write was refused")
	assert.Equal(t, statuses[http.StatusOK], len(server.store.List("", "", 0)))
	assert.Equal(t, statuses[http.StatusServiceUnavailable], int(server.faults.snapshot().Limited))
}

func TestListPages(t *testing.T) {
	c := newClient(t)
	for _, key := range []string{"a/1", "a/2", "a/3", "b/1"} {
		c.create(key, key)
	}
	objects := c.server.store.List("a/", "", 2)
	assert.Equal(t, len(objects), 2)
	objects = c.server.store.List("a/", objects[1].Key, 2)
	assert.Equal(t, len(objects), 1)
	assert.Equal(t, objects[0].Key, "a/3")
}
