package quarantine

import (
	"time"

	"acaciawinch/core/routes"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// Timing of the check whether an upstream has ended as planned.
const (
	// plannedWindow is how long after an upstream has closed its connections its end may turn out to be
	// planned. An upstream that leaves announces that or has its entry in discovery removed, which
	// reaches this process within half a second; the entry of one that has crashed stays for
	// longer than plannedWindow and a stall that is too short to be noted.
	plannedWindow = 800 * time.Millisecond
	// plannedPoll is the time between two looks at discovery.
	plannedPoll = 50 * time.Millisecond
	// unstalledFor is how long this process must have run without a stall before it trusts the time at
	// which it found a connection closed: during a stall of seconds the entry of a crashed upstream is
	// removed too.
	unstalledFor = time.Second
)

// endedUpstream is an upstream that accepts no more connections.
type endedUpstream struct {
	upstream routes.Upstream
	// closed is the boot time at which it was found to have closed a connection; trusted is set if this
	// process did not stall before that.
	closed  time.Duration
	trusted bool
}

// endsAsPlanned reports whether an upstream has ended as planned, as far as discovery shows now.
func (g *Guard) endsAsPlanned(ended endedUpstream) bool {
	return ended.trusted && clock.Boot() < ended.closed+plannedWindow && g.options.Leaves(ended.upstream)
}

// watchEnd waits until an upstream turns out to have ended as planned, for plannedWindow at most. Then no
// request has crashed it.
func (g *Guard) watchEnd(ended endedUpstream) {
	for g.options.Lifetime.Err() == nil && clock.Boot() < ended.closed+plannedWindow {
		if g.endsAsPlanned(ended) {
			g.endedAsPlanned(ended)
			return
		}
		clock.Sleep(g.options.Lifetime, plannedPoll)
	}
}

// endedAsPlanned withdraws the crashes of an incarnation of an upstream that has ended as planned. Those that
// were known before its connections were found closed stay: where something in front of a crashed
// upstream accepts connections and closes them, requests are broken off there until its entry expires.
func (g *Guard) endedAsPlanned(ended endedUpstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	incarnation := IncarnationOf(ended.upstream)
	withdrawn := g.state.EndedAsPlanned(incarnation, ended.closed, clock.Boot())
	g.options.Logger.Event(event.PlannedEndFound, observe.Fields{"upstream": incarnation, "crashes": len(withdrawn)})
	g.crashesRefuted(withdrawn)
}
