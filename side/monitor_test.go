package side

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/gate"
	"acaciawinch/wire/wirepb"
)

// TestOneMissedReportIsNoVerdict starts a side whose upstream starts a moment
// later: once the side is ready, the upstream is known to answer.
func TestOneMissedReportIsNoVerdict(t *testing.T) {
	fake := newFakeUpstream()
	fake.missing = 1
	r := newRigBefore(t, gate.Options{}, fake)
	reply, err := r.client().Probe(context.Background(), &wirepb.ProbeRequest{})
	assert.NilError(t, err)
	assert.Assert(t, !reply.Load.Stalled)
}

// TestSilentUpstreamIsAVerdict lets a side be ready, and say so, before an
// upstream that does not answer at all.
func TestSilentUpstreamIsAVerdict(t *testing.T) {
	fake := newFakeUpstream()
	fake.silent = true
	r := newRigBefore(t, gate.Options{}, fake)
	reply, err := r.client().Probe(context.Background(), &wirepb.ProbeRequest{})
	assert.NilError(t, err)
	assert.Assert(t, reply.Load.Stalled)
}
