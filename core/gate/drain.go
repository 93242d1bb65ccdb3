package gate

import (
	"slices"
	"time"
)

// DrainSource is one of the signals that end the admission of new work.
type DrainSource string

// The sources of a drain. Any one of them suffices.
const (
	DrainHostList DrainSource = "host_list"
	DrainNotice   DrainSource = "upstream_notice"
	DrainCall     DrainSource = "drain_call"
	DrainOperator DrainSource = "operator"
	DrainStop     DrainSource = "process_stop"
)

// drainState is which sources ask for a drain.
type drainState struct {
	sources []DrainSource
	since   time.Duration
}

// SetDrain notes whether source asks for a drain. It tells whether that changed.
// Each source only takes back its own wish.
func (g *Gate) SetDrain(now time.Duration, source DrainSource, on bool) bool {
	changed := g.noteDrain(now, source, on)
	g.updateState()
	return changed
}

// noteDrain adds or removes a source. It tells whether that changed anything.
func (g *Gate) noteDrain(now time.Duration, source DrainSource, on bool) bool {
	at := slices.Index(g.drain.sources, source)
	if on == (at >= 0) {
		return false
	}
	if !on {
		g.drain.sources = slices.Delete(g.drain.sources, at, at+1)
		return true
	}
	if len(g.drain.sources) == 0 {
		g.drain.since = now
	}
	g.drain.sources = append(g.drain.sources, source)
	return true
}

// DrainSources returns the sources that ask for a drain, the first one first.
func (g *Gate) DrainSources() []DrainSource { return slices.Clone(g.drain.sources) }

// refuseDrained refuses what still waits when the drain window is over. Within
// the window waiting attempts may start, so that a short queue costs nobody a
// retry; behind it the upstream gets no new work.
func (g *Gate) refuseDrained(now time.Duration) {
	if len(g.drain.sources) == 0 || now-g.drain.since < g.options.DrainWindow {
		return
	}
	for _, r := range g.queue.all() {
		g.refuseQueued(now, r, Decision{Reason: ReasonDraining, Detail: "the upstream is draining"})
	}
}
