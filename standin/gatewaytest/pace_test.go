package gatewaytest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unevenEngines are engines of which the first two are slow.
type unevenEngines struct {
	mu sync.Mutex
	// slow counts the requests that reached a slow engine.
	slow int
}

// Pace of the engines, and the longest pause that the route allows.
const (
	fastEventTime = 10 * time.Millisecond
	slowEventTime = 100 * time.Millisecond
	pauseGoalMS   = 80
	unevenEvents  = 16
)

// ServeHTTP implements http.Handler.
func (e *unevenEngines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, gap := r.Header.Get("X-Expect-Instance"), fastEventTime
	if id == "llm-0" || id == "llm-1" {
		gap = slowEventTime
		e.mu.Lock()
		e.slow++
		e.mu.Unlock()
	}
	h := w.Header()
	h.Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	h.Set("X-Response-Stamp", "s")
	h.Set("X-Instance-Load", "1,0,8,100")
	h.Set("Content-Type", "text/event-stream")
	for i := range unevenEvents {
		time.Sleep(gap) // the pace of the engine, not a wait of the test
		if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // a caller that has disconnected needs no event
	}
}

// slowRequests returns the number of requests that reached a slow engine so far.
func (e *unevenEngines) slowRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.slow
}

// TestSlowEnginesAreLeftAsideByGatewaysThatHaveNotUsedThem replays a fleet of which a third of the engines violates the
// pause that the route allows. One gateway finds that out, and the other must know it from the first: it guards against
// observations that reach neither the choice nor the other gateways.
func TestSlowEnginesAreLeftAsideByGatewaysThatHaveNotUsedThem(t *testing.T) {
	f := newFleet(t)
	e := &unevenEngines{}
	f.startUpstreams("llm", 6, e)
	config := baseConfig(1)
	for i := range config.Routes {
		config.Routes[i].GapGoalMS = pauseGoalMS
	}
	f.apply(config)
	gateways := f.startMany(2)
	send := func(g *runningGateway, name string, number int) {
		id := fmt.Sprintf("%s-%d", name, number)
		got, err := f.trySend(g, id, "POST", "/strict/x", id, "X-Prompt-Prefix", fmt.Sprintf("part%d:300,own%d:20", number, number))
		assert.Check(t, err == nil && got.status == http.StatusOK, "%s: %v", id, err)
	}
	learning, stop := context.WithCancel(t.Context())
	var learned sync.WaitGroup
	learned.Go(func() { every(learning, 10, func(number int) { send(gateways[0], "learn", number) }) })
	name := gateways[0].settings.Process.Name
	f.waitLines(2, "engine_slow", `"process":"`+name+`"`)
	stop()
	learned.Wait()
	// The second gateway has the values with the next exchange of each.
	other := `"process":"` + gateways[1].settings.Process.Name + `"`
	for number := 0; ; number++ {
		send(gateways[1], "probe", number)
		if lines, _ := f.log.lines("gateway_sent", other, `"excluded":2`); len(lines) > 0 {
			break
		}
		assert.Assert(t, number < 100, "the second gateway excludes nothing")
	}
	before := e.slowRequests()
	var sent sync.WaitGroup // together, as an excluded engine is tried again after some seconds
	for number := range 24 {
		sent.Go(func() { send(gateways[1], "then", number) })
	}
	sent.Wait()
	assert.Equal(t, e.slowRequests(), before)
}
