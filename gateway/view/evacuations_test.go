package view

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/replica"
	"acaciawinch/observe"
)

// zoneObject returns the object of an evacuated zone.
func zoneObject(zone string, revision int64) replica.Object {
	return replica.Object{Name: zone, Revision: revision, Spec: []byte(`{}`)}
}

// newTestEvacuations returns a receiver of evacuations with a View that has one upstream in zone z.
func newTestEvacuations(t *testing.T) (*evacuationReceiver, *View) {
	t.Helper()
	logger, err := observe.NewLogger(io.Discard, "test", "error")
	assert.NilError(t, err)
	v := New(Options{Logger: logger, Store: StoreOptions{Evacuations: true}})
	v.upstreamEntries.Reset([]replica.Object{upstreamObject("a", "ready", 1)})
	return v.evacuations, v
}

// listAfterReturn makes the store return from a copy that lists some zones.
func (r *evacuationReceiver) listAfterReturn(era int64, zones ...replica.Object) {
	r.EraChanged(era)
	r.Reset(zones)
}

// TestAnEvacuationThatTheStoreHasForgottenStaysInForce: the operator writes it again soon.
func TestAnEvacuationThatTheStoreHasForgottenStaysInForce(t *testing.T) {
	r, v := newTestEvacuations(t)
	r.Reset([]replica.Object{zoneObject("z", 60)})
	r.listAfterReturn(2)
	assert.Assert(t, !takesWork(v, "a"), "the first list")
	r.Reset(nil)
	assert.Assert(t, !takesWork(v, "a"), "another list")
	r.listAfterReturn(3)
	assert.Assert(t, !takesWork(v, "a"), "another return")
	r.Apply([]replica.Change{{Object: zoneObject("z", 45)}})
	r.Reset(nil)
	assert.Assert(t, takesWork(v, "a"), "written again and ended")
}

// TestAnEvacuationEndsWithAChange: the operator ends an evacuation after the return.
func TestAnEvacuationEndsWithAChange(t *testing.T) {
	r, v := newTestEvacuations(t)
	r.Reset([]replica.Object{zoneObject("z", 60)})
	r.listAfterReturn(2)
	r.Apply([]replica.Change{{Object: zoneObject("z", 45), Deleted: true}})
	assert.Assert(t, takesWork(v, "a"))
}

// TestAForgottenEvacuationThatIsNotWrittenAgainEnds: the operator had ended it, and the store lost both.
func TestAForgottenEvacuationThatIsNotWrittenAgainEnds(t *testing.T) {
	r, v := newTestEvacuations(t)
	r.Reset([]replica.Object{zoneObject("z", 60)})
	began := time.Now()
	r.listAfterReturn(2)
	r.endForgotten(began.Add(forgottenHold - time.Second))
	assert.Assert(t, !takesWork(v, "a"))
	r.endForgotten(time.Now().Add(forgottenHold))
	assert.Assert(t, takesWork(v, "a"))
}
