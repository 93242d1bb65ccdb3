package chart

import "testing"

// BenchmarkFire measures one event of the chart of a stage call.
func BenchmarkFire(b *testing.B) {
	machine := MustLoad("stage_call").StartAt("receiving", "u")
	b.ReportAllocs()
	for b.Loop() {
		if err := machine.Fire("chunk"); err != nil {
			b.Fatal(err)
		}
	}
}
