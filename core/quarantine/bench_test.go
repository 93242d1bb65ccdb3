package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// stateWithRecords returns a State with the records of that many other gateways, each with that
// many crashes, as after the loss of a zone, and the records.
func stateWithRecords(gateways, crashes int) (*State, []Record) {
	s := New("g0")
	s.Reset(nil, 0)
	var records []Record
	for g := range gateways {
		var record Record
		for c := range crashes {
			record.Crashes = append(record.Crashes, crashOf(fmt.Sprint(g, "/", c), fmt.Sprint("u", (g+c)%1100)))
		}
		records = append(records, record)
		s.ReplaceRecord(fmt.Sprint("g", g+1), record, 0)
	}
	return s, records
}

// BenchmarkReplaceRecord measures one update of a record. When a zone is lost, all gateways write
// at nearly the same time, and each receives the records of all.
func BenchmarkReplaceRecord(b *testing.B) {
	for _, size := range []struct{ gateways, crashes int }{{5, 16}, {340, 14}, {340, 100}, {340, maxCrashes}} {
		b.Run(fmt.Sprintf("%dgateways/%dcrashes", size.gateways, size.crashes), func(b *testing.B) {
			state, records := stateWithRecords(size.gateways, size.crashes)
			for i := 0; b.Loop(); i++ {
				at := i % len(records)
				state.ReplaceRecord(fmt.Sprint("g", at+1), records[at], time.Second)
			}
		})
	}
}
