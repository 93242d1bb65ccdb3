package side

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/gate"
	"acaciawinch/wire/wirepb"
)

// TestOneMissedReportDoesNotStallTheUpstream guards against a sidecar that marks its
// upstream as stalled after one missed report, because the upstream started a moment
// later than the sidecar.
func TestOneMissedReportDoesNotStallTheUpstream(t *testing.T) {
	fake := newFakeUpstream()
	fake.missedReports = 1
	h := newHarnessWith(t, gate.Options{}, fake)
	reply, err := h.client().Probe(context.Background(), &wirepb.ProbeRequest{})
	assert.NilError(t, err)
	assert.Assert(t, !reply.Load.Stalled)
}

// TestSilentUpstreamIsStalledOnceTheSideIsReady guards against a sidecar that never gets
// ready, or gets ready without reporting the stall, because its upstream never responds.
func TestSilentUpstreamIsStalledOnceTheSideIsReady(t *testing.T) {
	fake := newFakeUpstream()
	fake.silent = true
	h := newHarnessWith(t, gate.Options{}, fake)
	reply, err := h.client().Probe(context.Background(), &wirepb.ProbeRequest{})
	assert.NilError(t, err)
	assert.Assert(t, reply.Load.Stalled)
}
