package route

import (
	"context"
	"fmt"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
	"acaciawinch/core/routing"
	"acaciawinch/observe"
	"acaciawinch/wire/wirepb"
)

// mute is a Prober whose sides answer nothing until it is closed.
type mute chan struct{}

// Probe implements Prober.
func (m mute) Probe(ctx context.Context, _ string, _ *wirepb.ProbeRequest) (*wirepb.ProbeReply, error) {
	<-m
	return nil, ctx.Err()
}

// TestASideThatADecisionLeavesIsSuspectedAtOnce: the next decision must not ask it again, however
// late the probe's own timer runs on a busy host.
func TestASideThatADecisionLeavesIsSuspectedAtOnce(t *testing.T) {
	prober := make(mute)
	defer close(prober)
	logger, err := observe.NewLogger(io.Discard, "entry-1", "error")
	assert.NilError(t, err)
	for round := range 50 {
		r := New(Options{Prober: prober, Logger: logger, Settings: Settings{ProbeTimeoutMS: 2}})
		var ask routing.Ask
		for i := range 8 {
			ask.Upstreams = append(ask.Upstreams, routing.Upstream{ID: core.UpstreamID(fmt.Sprint("u", i)), Zone: "a"})
		}
		newInquiry(r, Need{}).ask(t.Context(), ask)
		r.mu.Lock()
		for _, u := range ask.Upstreams {
			assert.Check(t, r.table.Suspected(u.ID), "%s in round %d", u.ID, round)
		}
		r.mu.Unlock()
	}
}
