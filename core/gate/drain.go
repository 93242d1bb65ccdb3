package gate

import (
	"slices"
	"time"
)

// DrainSource is an independent signal that stops the admission of new work.
type DrainSource string

// The sources of a drain. One active source is enough to drain the upstream.
const (
	DrainHostList DrainSource = "host_list"
	DrainNotice   DrainSource = "upstream_notice"
	DrainCall     DrainSource = "drain_call"
	DrainOperator DrainSource = "operator"
	DrainStop     DrainSource = "process_stop"
)

// drainState holds the active drain sources and when the drain began.
type drainState struct {
	sources []DrainSource
	since   time.Duration
}

// SetDrain activates or clears the drain request of source and reports whether that
// changed anything. Clearing one source leaves the requests of the others in place.
func (g *Gate) SetDrain(now time.Duration, source DrainSource, on bool) bool {
	changed := g.recordDrain(now, source, on)
	g.updateState()
	return changed
}

// recordDrain adds or removes a source and reports whether that changed anything.
func (g *Gate) recordDrain(now time.Duration, source DrainSource, on bool) bool {
	i := slices.Index(g.drain.sources, source)
	if on == (i >= 0) {
		return false
	}
	if !on {
		g.drain.sources = slices.Delete(g.drain.sources, i, i+1)
		return true
	}
	if len(g.drain.sources) == 0 {
		g.drain.since = now
	}
	g.drain.sources = append(g.drain.sources, source)
	return true
}

// DrainSources returns the active drain sources in the order of their activation.
func (g *Gate) DrainSources() []DrainSource { return slices.Clone(g.drain.sources) }

// refuseAfterDrainWindow refuses the waiting attempts once the drain window is over.
// Within the window they may still start, so that a short queue causes no retries;
// after it the upstream gets no new work.
func (g *Gate) refuseAfterDrainWindow(now time.Duration) {
	if len(g.drain.sources) == 0 || now-g.drain.since < g.options.DrainWindow {
		return
	}
	for _, r := range g.queue.all() {
		g.refuseQueued(now, r, Decision{Reason: ReasonDraining, Detail: "the upstream is draining"})
	}
}
