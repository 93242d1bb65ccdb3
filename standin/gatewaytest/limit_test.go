package gatewaytest

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/worker"
)

// The promise about an upstream that names a limit, in the platform's published form: from learnTime after it
// was first named, the upstream gets in any limitWindow at most limitFactor times what the limit allows, and
// limitSlack more.
const (
	learnTime   = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// allowed returns how many requests may arrive in any limitWindow.
func allowed(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds() + limitSlack)
}

// offered is the result of a load on the gateways.
type offered struct {
	mu sync.Mutex
	// served and refused count the responses; retryAfter holds the Retry-After of the refused, in seconds.
	served, refused int
	retryAfter      []float64
	// leaked counts the responses that name the limit to the client.
	leaked int
}

// count records a response.
func (o *offered) count(got response) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if got.header.Get("Server-Limit") != "" {
		o.leaked++
	}
	switch got.status {
	case http.StatusOK:
		o.served++
	case http.StatusServiceUnavailable:
		o.refused++
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if err == nil {
			o.retryAfter = append(o.retryAfter, seconds)
		}
	}
}

// offer sends a number of requests a second to the gateways for a time, a third of them to the first, and
// waits for the responses. Send sends one request.
func (f *fleet) offer(perSecond int, length time.Duration, gateways []*runningGateway, send func(g *runningGateway, id string) response) *offered {
	f.t.Helper()
	o := &offered{}
	ctx, cancel := context.WithTimeout(f.t.Context(), length)
	defer cancel()
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	var clients sync.WaitGroup
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			clients.Wait()
			return o
		case <-ticker.C:
		}
		g := gateways[0]
		if number%3 > 0 {
			g = gateways[1+number%(len(gateways)-1)]
		}
		clients.Go(func() { o.count(send(g, fmt.Sprintf("l%d", number))) })
	}
}

// startMany starts gateways and waits until each knows all others.
func (f *fleet) startMany(count int) []*runningGateway {
	f.t.Helper()
	var gateways []*runningGateway
	for i := range count {
		gateways = append(gateways, f.start(fmt.Sprintf("g%d", i+1)))
	}
	last := `"g` + strconv.Itoa(count) + `"`
	for i := range count - 1 {
		f.waitLines(1, "members_changed", fmt.Sprintf(`"process":"g%d"`, i+1), last)
	}
	return gateways
}

// stopOne stops a gateway as planned and waits until it has ended.
func (f *fleet) stopOne(g *runningGateway) {
	f.t.Helper()
	g.stop()
	err := <-g.ended
	g.ended <- err // stopAll reads it again
	assert.NilError(f.t, err)
}

// assertLimit checks what arrived at a worker that has named a limit since a given time.
func assertLimit(t *testing.T, w *worker.Worker, perSecond float64, since time.Time) {
	t.Helper()
	assert.Check(t, len(w.Arrivals()) > 0, "nothing reached %s, so that the limit was not tried", w.ID)
	most := worker.MostWithin(w.Arrivals(), since.Add(learnTime), limitWindow)
	assert.Check(t, most <= allowed(perSecond), "%s named a limit of %v a second and got %d requests in %v; %d are allowed", w.ID, perSecond, most, limitWindow, allowed(perSecond))
}

// assertLimitsUsed checks that workers which all named a limit at a given time, and were offered more for loadTime
// since then, got what they allow and at least nine tenths of it.
func assertLimitsUsed(t *testing.T, limited []*worker.Worker, perSecond float64, since time.Time) {
	t.Helper()
	arrived := 0
	for _, w := range limited {
		assertLimit(t, w, perSecond, since)
		for _, arrival := range w.Arrivals() {
			if arrival.At.After(since.Add(learnTime)) && arrival.At.Before(since.Add(loadTime)) {
				arrived++
			}
		}
	}
	used := float64(arrived) / (perSecond * float64(len(limited)) * (loadTime - learnTime).Seconds())
	assert.Check(t, used >= 0.9, "%.2f of the limits were used", used)
}

// loadTime is how long the tests offer requests: learnTime and two windows.
const loadTime = learnTime + 2*limitWindow

// plain sends a request to a plain service.
func (f *fleet) plain(g *runningGateway, id string) response {
	return f.send(g, id, "GET", "/safe/x", "")
}

func TestAnUpstreamInNeedGetsWhatItTakesFromAllGatewaysTogether(t *testing.T) {
	for _, drawn := range []struct {
		gateways, limited, others, perSecond int
		limit                                float64
	}{{5, 1, 3, 40, 1}, {5, 1, 3, 40, 0.4}, {8, 3, 0, 30, 0.5}, {12, 2, 2, 60, 1}} {
		t.Run(fmt.Sprintf("%+v", drawn), func(t *testing.T) {
			f := newFleet(t)
			var limited []*worker.Worker
			for i := range drawn.limited + drawn.others {
				w := f.startWorker(fmt.Sprintf("desk-%d", i+1), "desk", worker.Plain)
				if i < drawn.limited {
					limited = append(limited, w)
				}
			}
			f.apply(baseConfig(1))
			gateways := f.startMany(drawn.gateways)
			for _, w := range limited {
				w.NameLimit(drawn.limit)
			}
			since := time.Now()
			got := f.offer(drawn.perSecond, loadTime, gateways, f.plain)
			for _, w := range limited {
				assertLimit(t, w, drawn.limit, since)
			}
			if drawn.others > 0 {
				assert.Check(t, got.refused == 0, "%d refused although others could serve", got.refused)
			}
			assert.Check(t, got.leaked == 0, "%d responses name the limit to clients", got.leaked)
		})
	}
}

// TestLimitsThatAllUpstreamsNameAreUsedAndTheRestIsRefusedAtOnce: nine tenths of what the limits allow are used,
// and the refused clients are told to return over more than a moment.
func TestLimitsThatAllUpstreamsNameAreUsedAndTheRestIsRefusedAtOnce(t *testing.T) {
	f := newFleet(t)
	const limit, count = 3.0, 4
	var limited []*worker.Worker
	for i := range count {
		limited = append(limited, f.startWorker(fmt.Sprintf("desk-%d", i+1), "desk", worker.Plain))
	}
	f.apply(baseConfig(1))
	gateways := f.startMany(5)
	since := time.Now()
	for _, w := range limited {
		w.NameLimit(limit)
	}
	got := f.offer(40, loadTime, gateways, f.plain)
	assertLimitsUsed(t, limited, limit, since)
	assert.Check(t, got.refused > 0 && len(got.retryAfter) == got.refused, "%d refused, %d of them with a Retry-After", got.refused, len(got.retryAfter))
	distinct := make(map[float64]bool)
	for _, seconds := range got.retryAfter {
		distinct[seconds] = true
	}
	assert.Check(t, len(distinct) > got.refused/2, "%d refused clients return at %d moments", got.refused, len(distinct))
}

func TestStageCallsAndThoseAroundThemKeepALimit(t *testing.T) {
	f := newFleet(t)
	f.startWorker("llm-1", "llm", worker.Engine)
	limited := f.startWorker("enc-1", "enc", worker.Stage)
	f.startWorker("enc-2", "enc", worker.Stage)
	f.apply(baseConfig(1))
	gateways := f.startMany(3)
	limited.NameLimit(1)
	since := time.Now()
	got := f.offer(20, loadTime, gateways, f.sendStream)
	assertLimit(t, limited, 1, since)
	assert.Check(t, got.refused == 0, "%d refused although another upstream could serve", got.refused)
}

func TestAPoolWhoseUpstreamsAllHaveLimitsUsesThemAndRefusesTheRest(t *testing.T) {
	f := newFleet(t)
	const limit = 2.0
	f.startWorker("llm-1", "llm", worker.Engine)
	limited := []*worker.Worker{f.startWorker("enc-1", "enc", worker.Stage), f.startWorker("enc-2", "enc", worker.Stage)}
	f.apply(baseConfig(1))
	gateways := f.startMany(3)
	for _, w := range limited {
		w.NameLimit(limit)
	}
	since := time.Now()
	got := f.offer(40, loadTime, gateways, f.sendStream)
	assertLimitsUsed(t, limited, limit, since)
	assert.Check(t, got.served > 0 && got.refused > 0 && len(got.retryAfter) == got.refused, "%d served, %d refused, %d of them with a Retry-After", got.served, got.refused, len(got.retryAfter))
}

// TestALimitedUpstreamOfAnIdlePoolIsAskedAgain: the other upstream could do all the work.
func TestALimitedUpstreamOfAnIdlePoolIsAskedAgain(t *testing.T) {
	f := newFleet(t)
	f.startWorker("llm-1", "llm", worker.Engine)
	limited := f.startWorker("enc-1", "enc", worker.Stage)
	f.startWorker("enc-2", "enc", worker.Stage)
	f.apply(baseConfig(1))
	gateways := f.startMany(2)
	limited.NameLimit(1)
	f.offer(4, time.Second, gateways, f.sendStream)
	f.waitLines(2, "rate_limit_changed", `"upstream":"enc-1"`, `"per_second":1`)
	limited.NameLimitAs()
	f.offer(4, limitWindow+learnTime, gateways, f.sendStream)
	f.waitLines(2, "rate_limit_changed", `"upstream":"enc-1"`, `"ended":true`)
}

func TestRetriesAndResumedStreamsKeepALimit(t *testing.T) {
	f := newFleet(t)
	failing := f.startWorker("llm-1", "llm", worker.Engine)
	limited := f.startWorker("llm-2", "llm", worker.Engine)
	f.startWorker("enc-1", "enc", worker.Stage)
	f.apply(baseConfig(1))
	gateways := f.startMany(3)
	failing.SetFaults(worker.Faults{Cut: 1 << 20})
	limited.NameLimit(1)
	since := time.Now()
	f.offer(20, loadTime, gateways, f.sendStream)
	assertLimit(t, limited, 1, since)
}

func TestARestartedGatewayKeepsALimit(t *testing.T) {
	f := newFleet(t)
	limited := f.startWorker("desk-1", "desk", worker.Plain)
	f.startWorker("desk-2", "desk", worker.Plain)
	f.apply(baseConfig(1))
	gateways := f.startMany(5)
	limited.NameLimit(1)
	since := time.Now()
	for i := range 2 {
		restarted := gateways[4-i]
		f.offer(40, limitWindow, gateways[:4-i], f.plain)
		f.stopOne(restarted)
		gateways[4-i] = f.start(restarted.settings.Process.Name)
	}
	f.offer(40, limitWindow, gateways, f.plain)
	assertLimit(t, limited, 1, since)
}

// TestAGatewayKnowsALimitThatAnotherWasTold: the first request to the upstream through any gateway but the
// one that got the response needs a permit.
func TestAGatewayKnowsALimitThatAnotherWasTold(t *testing.T) {
	f := newFleet(t)
	limited := f.startWorker("desk-1", "desk", worker.Plain)
	f.apply(baseConfig(1))
	gateways := f.startMany(4)
	limited.NameLimit(0.01)
	assert.Equal(t, f.plain(gateways[0], "first").status, http.StatusOK)
	f.waitLines(4, "rate_limit_changed", `"upstream":"desk-1"`, `"per_second":0.01`)
	for i, g := range gateways[1:] {
		assert.Check(t, f.send(g, fmt.Sprintf("r%d", i), "GET", "/safe/x", "").status != http.StatusOK)
	}
	started := f.start("g5")
	f.waitLines(1, "rate_limit_changed", `"process":"g5"`)
	assert.Check(t, f.plain(started, "late").status != http.StatusOK)
	assert.Equal(t, len(limited.Arrivals()), 1)
}

func TestALimitEndsWithItsUpstreamsNeedAndWithItsIncarnation(t *testing.T) {
	f := newFleet(t)
	limited := f.startWorker("desk-1", "desk", worker.Plain)
	f.apply(baseConfig(1))
	gateways := f.startMany(3)
	limited.NameLimit(2)
	assert.Equal(t, f.plain(gateways[0], "first").status, http.StatusOK)
	f.waitLines(3, "rate_limit_changed", `"upstream":"desk-1"`, `"per_second":2`)
	limited.NameLimitAs()
	f.waitUntil(func() bool { return f.plain(gateways[1], "again").status == http.StatusOK }, "a request has a permit")
	f.waitLines(3, "rate_limit_changed", `"upstream":"desk-1"`, `"ended":true`)
	got := f.offer(40, time.Second, gateways, f.plain)
	assert.Check(t, got.refused == 0 && got.served > 20, "%d served and %d refused after the limit had ended", got.served, got.refused)

	limited.NameLimit(0.01)
	assert.Equal(t, f.plain(gateways[0], "low").status, http.StatusOK)
	f.waitLines(3, "rate_limit_changed", `"upstream":"desk-1"`, `"per_second":0.01`)
	f.store.Remove("servers", limited.ID)
	limited.Close()
	next, err := worker.StartAt(limited.ListenAddress(), "desk-1b", worker.Plain)
	assert.NilError(t, err)
	t.Cleanup(next.Close)
	f.register(next, "desk", "ready")
	f.waitLines(3, "upstream_changed", `"upstream":"desk-1b"`)
	got = f.offer(40, time.Second, gateways, f.plain)
	assert.Check(t, got.refused == 0 && got.served > 20, "%d served and %d refused by the next incarnation", got.served, got.refused)
}
