package gatewaytest

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/gateway/quarantine"
	"acaciawinch/gateway/streamversion"
	"acaciawinch/gateway/view"
	"acaciawinch/platform/document"
	"acaciawinch/standin/metastore"
	"acaciawinch/standin/worker"
)

// unheard makes the store ignore the calls that begin until heard is called, as in a short silence.
func (f *fleet) unheard(kind string) (heard func()) {
	f.store.SetFaults(metastore.Faults{SilentKind: kind})
	return func() { f.store.SetFaults(noFaults) }
}

// silenceAfter makes the store ignore the watch of a kind that follows a change.
func (f *fleet) silenceAfter(kind string, change func()) {
	heard := f.unheard(kind)
	calls := f.store.CallsFor(kind)
	change()
	f.waitUntil(func() bool { return f.store.CallsFor(kind) > calls }, "the next watch began")
	heard()
}

// TestAChangeIsKnownAfterAnUnansweredWatch guards against a watch whose call the store never got, and
// which hides all changes until its own timeout: a short silence after one change hid the next one.
func TestAChangeIsKnownAfterAnUnansweredWatch(t *testing.T) {
	record := func(f *fleet, name string) {
		f.store.Put(quarantine.RecordKind, name, map[string]any{"crashes": []map[string]string{{"request": fmt.Sprintf("%032x", 7), "upstream": "desk/" + name}}})
	}
	member := func(f *fleet, name string) {
		f.store.Put(view.MemberKind, name, map[string]any{"address": "127.0.0.1:1", "incarnation": name, "zone": "z2"})
	}
	for _, test := range []struct {
		kind        string
		first, next func(f *fleet)
		line        []string
	}{
		{document.UpstreamKind, func(f *fleet) { f.startWorker("desk-1", "desk", worker.Plain) }, func(f *fleet) { f.startWorker("desk-2", "desk", worker.Plain) }, []string{"upstream_changed", "desk-2"}},
		{document.EvacuationKind, func(f *fleet) { f.evacuate("z2") }, func(f *fleet) { f.evacuate("z3") }, []string{"zone_evacuated", `"zone":"z3"`}},
		{view.MemberKind, func(f *fleet) { member(f, "x1") }, func(f *fleet) { member(f, "x2") }, []string{"members_changed", "x2"}},
		{quarantine.RecordKind, func(f *fleet) { record(f, "x1") }, func(f *fleet) { record(f, "x2") }, []string{"crashes_learned", "x2"}},
	} {
		t.Run(test.kind, func(t *testing.T) {
			f := newFleet(t)
			f.apply(baseConfig(1))
			f.start("g1")
			f.waitLines(1, "members_changed")
			f.silenceAfter(test.kind, func() { test.first(f) })
			test.next(f)
			f.waitLines(1, test.line...)
			lost, _ := f.log.lines("watch_lost", fmt.Sprintf("%q", test.kind))
			assert.Equal(t, len(lost), 0, "the change was known only after the watch had timed out")
		})
	}
}

// TestChangesAreKnownAfterSilencesInSeries guards against the same for silences one after the other, for gateways that follow
// the one that reads the store, and for the configuration.
func TestChangesAreKnownAfterSilencesInSeries(t *testing.T) {
	f := newFleet(t)
	f.apply(baseConfig(1))
	f.start("g1")
	f.start("g2") // follows g1
	f.waitLines(1, "members_changed", `"process":"g1"`, "g2")
	for i := range 3 {
		f.silenceAfter(document.EvacuationKind, func() { f.evacuate(fmt.Sprintf("first-%d", i)) })
		f.evacuate(fmt.Sprintf("second-%d", i))
		f.waitLines(2, "zone_evacuated", fmt.Sprintf("second-%d", i))
		f.silenceAfter(document.ConfigKind, func() {})
		f.apply(baseConfig(int64(2 + i)))
		f.waitLines(2, "table_in_force", fmt.Sprintf(`"version":%d`, 2+i))
	}
	lost, _ := f.log.lines("watch_lost", fmt.Sprintf("%q", document.EvacuationKind))
	assert.Equal(t, len(lost), 0)
}

// TestAWriteInASilenceIsMadeAgain guards against what the store never got: a gateway that is never listed, a crash that
// no other gateway learns of, and software versions that are never settled.
func TestAWriteInASilenceIsMadeAgain(t *testing.T) {
	for _, test := range []struct {
		kind string
		// prepare comes before the silence, write makes the gateway write in it. The failure is logged, and the store holds
		// want under a name at last.
		prepare, write     func(f *fleet)
		failed, name, want string
	}{
		{view.MemberKind, func(*fleet) {}, func(f *fleet) { f.launchIn("g1", "z1") }, "register_failed", "g1", "incarnation"},
		{quarantine.RecordKind, func(f *fleet) { f.startCrashingEngines(3); f.start("g1") }, func(f *fleet) { f.send(f.gateways[0], "crash", "POST", "/strict/x", crashBody) },
			"crash_record_unwritten", "g1", "llm-"},
		{streamversion.RegisterKind, func(f *fleet) { f.startVersion("v1", 1) }, func(f *fleet) { f.launchIn("g1", "z1") }, "stream_register_unsynced", "llm", "v1"},
	} {
		t.Run(test.kind, func(t *testing.T) {
			f := newFleet(t)
			f.apply(baseConfig(1))
			test.prepare(f)
			heard := f.unheard(test.kind)
			test.write(f)
			f.waitLines(1, test.failed)
			heard()
			f.waitUntil(func() bool {
				stored, _ := f.store.Get(test.kind, test.name)
				return strings.Contains(string(stored.Spec), test.want)
			}, "the store holds what was written")
		})
	}
}

// TestAnAnswerThatIsLostHidesNoChange guards against a watch that the store got and whose answer was lost.
func TestAnAnswerThatIsLostHidesNoChange(t *testing.T) {
	f := newFleet(t)
	f.apply(baseConfig(1))
	f.start("g1")
	f.waitLines(1, "members_changed")
	f.store.LoseNextAnswer(document.EvacuationKind)
	f.evacuate("z2")
	f.waitLines(1, "zone_evacuated", `"zone":"z2"`)
	lost, _ := f.log.lines("watch_lost", fmt.Sprintf("%q", document.EvacuationKind))
	assert.Equal(t, len(lost), 0)
}

// TestChangesThatWatchesReturnCostNoFurtherCalls: the watches of other kinds are not made again for changes that
// the watch of their own kind returned.
func TestChangesThatWatchesReturnCostNoFurtherCalls(t *testing.T) {
	f := newFleet(t)
	f.apply(baseConfig(1))
	f.start("g1")
	f.waitLines(1, "members_changed")
	for i := range 5 {
		f.startWorker(fmt.Sprintf("desk-%d", i), "desk", worker.Plain)
		f.waitLines(1, "upstream_changed", fmt.Sprintf("desk-%d", i))
	}
	calls := f.store.CallsFor(document.ConfigKind)
	f.waitUntil(func() bool { return f.store.CallsFor(document.ConfigKind) > calls+4 }, "the store was asked again")
	again, _ := f.log.lines("watch_unanswered")
	assert.Equal(t, len(again), 0)
}
