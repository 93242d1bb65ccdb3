package claim_test

import (
	"testing"

	"acaciawinch/core/claim"
)

// BenchmarkOpen measures the decisions of one claim without faults, including the
// encoding of its record.
func BenchmarkOpen(b *testing.B) {
	a, rng := newAttempt("k", "body")
	rules := claim.DefaultRules()
	b.ReportAllocs()
	for b.Loop() {
		m := claim.Open(a, rules, rng)
		if _, err := m.Next().Record.Encode(); err != nil {
			b.Fatal(err)
		}
		if err := m.Wrote(claim.WriteOK, 1); err != nil {
			b.Fatal(err)
		}
	}
}
