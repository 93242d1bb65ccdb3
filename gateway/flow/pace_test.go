package flow

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pacing "acaciawinch/core/pace"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/events"
)

// timedBody is the body of a stream whose parts arrive at given times.
type timedBody struct {
	parts []string
	times []time.Duration
	now   time.Time
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.parts[0])
	b.now = time.Unix(1000, 0).Add(b.times[0])
	b.parts, b.times = b.parts[1:], b.times[1:]
	return n, nil
}

// TestGapsCountTheTimeBetweenArrivals replays a stream of which events come alone, several in one read, in two reads
// at once, and in two parts. It guards against gaps of 0 between events that a busy gateway reads together, which
// would make an engine look fast.
func TestGapsCountTheTimeBetweenArrivals(t *testing.T) {
	const one = "id: 1\ndata: x\n\n"
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	body := &timedBody{parts: []string{one, one + one, one, one, one[:5], one[5:]}, times: []time.Duration{at(50), at(100), at(140), at(140), at(150), at(170)}}
	rq := &request{Server: &Server{}, probe: paceProbe{sentAt: time.Unix(1000, 0), reportedAt: time.Unix(1000, 0).Add(at(40))}}
	seen := &arrivals{rq: rq, upstream: routes.Upstream{ID: "u"}, body: body, clock: func() time.Time { return body.now }}
	reader := events.NewReader(seen)
	for {
		if _, err := reader.Next(); err != nil {
			assert.Equal(t, err, io.EOF)
			break
		}
		seen.event()
	}
	seen.endArrival()
	assert.DeepEqual(t, seen.seen.Gaps, []pacing.Gap{
		{Time: at(50), Events: 2, Age: at(60)},
		{Time: at(40), Events: 2, Age: at(100)},
		{Time: at(30), Events: 1, Age: at(130)},
	})
}

// TestLimitsAreThoseThatCanStillBeMet guards against a time that has passed taking part in the choice: no engine meets it,
// so that slow engines would not be excluded for their pauses either.
func TestLimitsAreThoseThatCanStillBeMet(t *testing.T) {
	now := time.Unix(1000, 0)
	route := &routes.Route{Stream: true, Objective: time.Second, GapObjective: 200 * time.Millisecond}
	rq := &request{route: route, clientStarted: now.Add(-400 * time.Millisecond)}
	assert.DeepEqual(t, rq.paceLimits(now), pacing.Limits{FirstEvent: 600 * time.Millisecond, Pause: 200 * time.Millisecond})
	assert.DeepEqual(t, rq.paceLimits(now.Add(time.Second)), pacing.Limits{Pause: 200 * time.Millisecond})
	rq.events = 3 // the client has the first event
	assert.DeepEqual(t, rq.paceLimits(now), pacing.Limits{Pause: 200 * time.Millisecond})
	rq.route = &routes.Route{Objective: time.Second}
	assert.DeepEqual(t, rq.paceLimits(now), pacing.Limits{})
}
