package gatewaytest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/gateway/quarantine"
	"acaciawinch/gateway/streamversion"
	"acaciawinch/gateway/view"
	"acaciawinch/standin/worker"
)

// storeKinds are the kinds of objects that gateways read.
var storeKinds = []string{"servers", "config", "evacuations", view.MemberKind, quarantine.RecordKind, quarantine.TrialKind, streamversion.RegisterKind}

// oddSpecs are contents of entries that another writer has left.
var oddSpecs = map[string]string{
	"deep":                    strings.Repeat(`{"a":`, 9_998) + "{}" + strings.Repeat("}", 9_998),
	"deeper than the decoder": strings.Repeat("[", 50_000) + strings.Repeat("]", 50_000),
	"no JSON":                 `{"service":tru}`,
	"null":                    `null`,
	"text":                    `"odd"`,
}

// putOdd writes entries with a content under all kinds, as the first and as the last of each list.
func (f *fleet) putOdd(spec string) {
	for _, kind := range storeKinds {
		for _, name := range []string{"a-odd", "zz-odd"} {
			f.store.PutText(kind, name, spec)
		}
	}
}

// TestAnOddEntryHidesNoOther guards against one entry that makes a gateway blind for all of its kind: an upstream that
// starts is not used, a configuration and an evacuation are not heard, and a gateway that starts does not serve.
func TestAnOddEntryHidesNoOther(t *testing.T) {
	for name, spec := range oddSpecs {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			first := f.startWorkerIn("z1", "desk-1", "desk", worker.Plain)
			f.apply(baseConfig(1))
			gateways := []*runningGateway{f.start("g1"), f.start("g2")} // g2 follows g1
			f.putOdd(spec)

			second := f.launchWorker("desk-2", worker.Plain)
			f.registerIn("z2", second, "desk", "ready")
			f.waitLines(2, "upstream_changed", `"upstream":"desk-2"`)
			f.apply(baseConfig(2))
			f.waitLines(2, "table_in_force", `"version":2`)
			f.evacuate("z1")
			f.waitLines(2, "zone_evacuated", `"zone":"z1"`)
			gateways = append(gateways, f.start("g3"), f.startIn("g4", "z2")) // g4 lists the entries itself

			before := len(first.Runs())
			for i, g := range gateways {
				for n := range 10 {
					got := f.send(g, fmt.Sprintf("r%d-%d", i, n), "POST", "/once/x", "b")
					assert.Equal(t, got.status, http.StatusOK, g.settings.Process.Name)
				}
			}
			assert.Equal(t, len(first.Runs()), before, "an evacuated zone got requests")
			assert.Equal(t, len(second.Runs()), 10*len(gateways))
		})
	}
}

// TestEntriesWithOddNumbersDoNoHarm: numbers and ports that no upstream has.
func TestEntriesWithOddNumbersDoNoHarm(t *testing.T) {
	const entry = `{"service":"desk","address":"%s","zone":"z1","slots":%s,"state":"ready","cold_left_ms":%s,"born":%s}`
	f := newFleet(t)
	w := f.startWorker("desk-1", "desk", worker.Plain)
	f.apply(baseConfig(1))
	g := f.start("g1")
	odd := 0
	for _, fields := range [][]any{
		{"127.0.0.1:70000", "8", "0", "0"}, {"127.0.0.1:-1", "8", "0", "0"}, {"127.0.0.1:0x50", "8", "0", "0"}, {"127.0.0.1:1e3", "8", "0", "0"},
		{"127.0.0.1", "8", "0", "0"}, {"127.0.0.1:", "8", "0", "0"}, {"999.0.0.1:80", "8", "0", "0"}, {"localhost:80", "8", "0", "0"},
		{"127.0.0.1:80", "1e400", "0", "0"}, {"127.0.0.1:80", "99999999999999999999", "0", "0"}, {"127.0.0.1:80", "-1", "0", "0"}, {"127.0.0.1:80", "8.5", "0", "0"},
		{"127.0.0.1:80", "0", "0", "0"}, {"127.0.0.1:80", "8", "1e400", "0"}, {"127.0.0.1:80", "8", "0", "1e400"}, {"127.0.0.1:80", "8", "0", "99999999999999999999"},
		{"127.0.0.1:80", "8", "0", "-9223372036854775809"}, {"127.0.0.1:80", `"8"`, "0", "0"}, {"127.0.0.1:80", "[8]", "0", "0"}, {"127.0.0.1:80", "8", "{}", "0"},
	} {
		f.store.PutText("servers", fmt.Sprint("odd-", odd), fmt.Sprintf(entry, fields...))
		odd++
	}
	f.waitLines(odd, "upstream_unreadable")
	for i := range 20 {
		assert.Equal(t, f.send(g, fmt.Sprint("r", i), "POST", "/once/x", "b").status, http.StatusOK)
	}
	assert.Equal(t, len(w.Runs()), 20)
}

// TestAMemberWithoutAnAddressGetsNoWork: an object of a gateway that no gateway can have written would own a part of the
// work of stages that nobody does.
func TestAMemberWithoutAnAddressGetsNoWork(t *testing.T) {
	f := newFleet(t)
	f.startWorker("llm-1", "llm", worker.Engine)
	f.startWorker("enc-1", "enc", worker.Stage)
	odd := []string{`null`, `{}`, `{"address":"127.0.0.1:70000","incarnation":"i","zone":"z1"}`, `{"address":"localhost:80","incarnation":"i","zone":"z1"}`,
		`{"address":"127.0.0.1","incarnation":"i","zone":"z1"}`, `{"address":"127.0.0.1:80","zone":"z1"}`}
	for i, spec := range odd {
		for n := range 4 {
			f.store.PutText(view.MemberKind, fmt.Sprintf("odd-%d-%d", i, n), spec)
		}
	}
	f.apply(baseConfig(1))
	g := f.start("g1")
	for i := range 20 {
		id := fmt.Sprint("r", i)
		assert.Equal(t, f.sendStream(g, id).body, streamBody(id))
	}
}
