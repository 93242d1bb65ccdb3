package view

import (
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/replica"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
)

// upstreamObject returns an upstream's object in the store.
func upstreamObject(name, state string, born int64) replica.Object {
	spec := fmt.Sprintf(`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,"state":%q,"born":%d}`, state, born)
	return replica.Object{Name: name, Spec: json.RawMessage(spec)}
}

// newTestReceiver returns a receiver of upstreams and its View.
func newTestReceiver(t *testing.T) (*upstreamReceiver, *View) {
	t.Helper()
	logger, err := observe.NewLogger(io.Discard, "test", "error")
	assert.NilError(t, err)
	v := New(Options{Logger: logger})
	return newUpstreamReceiver(v), v
}

func TestUnreadableEntryRemovesOnlyItsUpstream(t *testing.T) {
	f, v := newTestReceiver(t)
	broken := replica.Object{Name: "b", Spec: json.RawMessage(`{"service":7}`)}
	f.Reset([]replica.Object{upstreamObject("a", "ready", 1), broken, upstreamObject("c", "ready", 1)})
	assert.Equal(t, len(v.Upstreams().Of("s")), 2)

	f.Apply([]replica.Change{{Object: replica.Object{Name: "a", Spec: json.RawMessage(`"x"`)}}})
	assert.Assert(t, !v.Upstreams().Knows("a"), "the earlier entry no longer counts")
	assert.Assert(t, v.Upstreams().Knows("c"))
	f.Apply([]replica.Change{{Object: upstreamObject("a", "ready", 1)}})
	assert.Assert(t, v.Upstreams().Knows("a"))
}

func TestEntryOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	f, v := newTestReceiver(t)
	f.Reset([]replica.Object{upstreamObject("a", "ready", 9)})
	f.Apply([]replica.Change{{Object: upstreamObject("a", "draining", 8)}})
	upstream, _ := v.Upstreams().Find("a")
	assert.Assert(t, !upstream.Leaving && upstream.Incarnation == 9)
	f.Apply([]replica.Change{{Object: upstreamObject("a", "draining", 9)}})
	upstream, _ = v.Upstreams().Find("a")
	assert.Assert(t, upstream.Leaving)
}

// TestReadyEntryDoesNotCancelAReportThatTheUpstreamIsLeaving: an operator who drained an upstream
// for a while writes that it is ready again, although the upstream itself has reported meanwhile
// that it is leaving.
func TestReadyEntryDoesNotCancelAReportThatTheUpstreamIsLeaving(t *testing.T) {
	f, v := newTestReceiver(t)
	f.Reset([]replica.Object{upstreamObject("a", "ready", 1)})
	upstream, _ := v.Upstreams().Find("a")
	f.recordReport(UpstreamReport{Upstream: upstream, Leaving: true}, time.Now())
	for _, state := range []string{"draining", "ready"} {
		f.Apply([]replica.Change{{Object: upstreamObject("a", state, 1)}})
		upstream, _ = v.Upstreams().Find("a")
		assert.Assert(t, upstream.Leaving, state)
	}
	f.Apply([]replica.Change{{Object: upstreamObject("a", "ready", 2)}})
	upstream, _ = v.Upstreams().Find("a")
	assert.Assert(t, !upstream.Leaving, "another incarnation")
}

// confirmAt confirms the configuration as of a time before now.
func confirmAt(v *View, age time.Duration) {
	v.proof.confirm(Proof{At: clock.Boot() - age, From: FromStore})
}

// TestUpstreamsLeaveOnceTheirEntryIsGoneOrSaysSo: the entry of an incarnation that another one has taken
// over tells nothing of the first.
func TestUpstreamsLeaveOnceTheirEntryIsGoneOrSaysSo(t *testing.T) {
	f, v := newTestReceiver(t)
	confirmAt(v, 0)
	f.Reset([]replica.Object{upstreamObject("a", "ready", 1)})
	a, _ := v.Upstreams().Find("a")
	assert.Assert(t, !v.Leaves(a))
	f.Apply([]replica.Change{{Object: upstreamObject("a", "draining", 1)}})
	assert.Assert(t, v.Leaves(a))
	f.Apply([]replica.Change{{Object: upstreamObject("a", "ready", 2)}})
	assert.Assert(t, !v.Leaves(a))
	f.Apply([]replica.Change{{Object: upstreamObject("a", "ready", 2), Deleted: true}})
	assert.Assert(t, v.Leaves(a))
}

// TestAnEntryThatMayBeLostInAnOutageTellsNothing: discovery restores the entries of upstreams that run.
func TestAnEntryThatMayBeLostInAnOutageTellsNothing(t *testing.T) {
	f, v := newTestReceiver(t)
	confirmAt(v, 2*maxProofGap)
	f.Reset([]replica.Object{upstreamObject("a", "ready", 1)})
	a, _ := v.Upstreams().Find("a")
	f.Reset(nil)
	assert.Assert(t, !v.Leaves(a), "the store does not respond")
	confirmAt(v, 0)
	assert.Assert(t, !v.Leaves(a), "the store has just come back")
	v.proof.gapEnded -= entryRestoreTime
	assert.Assert(t, v.Leaves(a))
}
