package soak

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/worker"
)

// limitedWorker returns evidence of a worker that names a limit from second 0 on, and of a request each time that
// a number of seconds has passed, through gateway 0 and up to second 20.
func limitedWorker(perSecond float64, every float64) *evidence {
	e := &evidence{runs: map[string]int{}}
	w := workerEvidence{id: "w+2", limits: []worker.LimitPeriod{{PerSecond: perSecond, From: second(0)}}}
	for at := 0.0; at < 20; at += every {
		id := fmt.Sprint("r", at)
		w.arrivals = append(w.arrivals, worker.Arrival{ID: id, At: second(at), Named: true})
		e.outcomes = append(e.outcomes, Outcome{ID: id, Route: safeRoute, Sent: second(at), Ended: second(at).Add(time.Millisecond), Complete: true})
	}
	e.workers = []workerEvidence{w}
	return e
}

// limitViolations returns what judgeLimits finds.
func (e *evidence) limitViolations() []string {
	outcomes := make(map[string]Outcome)
	for _, o := range e.outcomes {
		outcomes[o.ID] = o
	}
	return e.judgeLimits(outcomes)
}

func TestRequestsBeyondALimitAreFound(t *testing.T) {
	assert.Equal(t, len(limitedWorker(1, 0.4).limitViolations()), 0, "10 in 4 s are allowed")
	broken := limitedWorker(1, 0.3)
	assert.DeepEqual(t, broken.limitViolations(), []string{"w+2 named a limit of 1 a second and got 14 requests in 4s from gateways that it had told; 11 are allowed"})

	other := disruption{gateway: 1, from: second(0), to: second(30), process: true}
	store := disruption{gateway: allGateways, from: second(0), to: second(30)}
	broken.disruptions = []disruption{other, store}
	broken.linkDisruptions = []linkDisruption{{link: "gateway-2", from: second(0), to: second(30)}, {link: "clients of gateway-1", from: second(0), to: second(30)}}
	assert.Equal(t, len(broken.limitViolations()), 1, "neither another gateway nor the store excuses a gateway")
	for _, link := range []string{"w", "gateway-1"} {
		broken.linkDisruptions = []linkDisruption{{link: link, from: second(0), to: second(30)}}
		assert.Equal(t, len(broken.limitViolations()), 0, "the link %s excuses it", link)
	}
	broken.linkDisruptions = nil
	broken.disruptions = []disruption{{gateway: 0, from: second(0), to: second(30), process: true}}
	assert.Equal(t, len(broken.limitViolations()), 0, "a freeze excuses it")
	broken.disruptions[0].to = second(7)
	assert.Equal(t, len(broken.limitViolations()), 1, "it does so for a while only")
}

func TestOnlyGatewaysThatWereToldAreBoundByALimit(t *testing.T) {
	e := limitedWorker(1, 0.3)
	for i := range e.outcomes {
		e.outcomes[i].Gateway = i
	}
	assert.Equal(t, len(e.limitViolations()), 0)
}

func TestALimitThatEndsBindsNobodyAfterwards(t *testing.T) {
	e := limitedWorker(1, 0.3)
	e.workers[0].limits[0].To = second(6)
	assert.Equal(t, len(e.limitViolations()), 0)
}
