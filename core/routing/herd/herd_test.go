package herd_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/routing"
	"acaciawinch/core/routing/herd"
)

// seed fixes all draws.
const seed = 42

// TestHerd produces the herd that pushed loads make, and beats it.
func TestHerd(t *testing.T) {
	const length = 8 * time.Second
	run := func(c herd.Case) herd.Figures {
		f := herd.Run(c, length, seed)
		t.Logf("%s: %+v", c.Name, f)
		return f
	}
	crowd := run(herd.PushedToAll("pushed", time.Second))
	probed := run(herd.Named(routing.Probe2))
	assert.Assert(t, crowd.MaxOverMean > 2*probed.MaxOverMean, "there was no herd")
	assert.Assert(t, crowd.WaitP99 > time.Second && probed.WaitP99 < 50*time.Millisecond)

	slow := herd.Named(routing.Probe2)
	slow.Slow = true
	assert.Assert(t, run(slow).First < 0.002, "the straggler got work")

	warm := herd.Named(routing.Probe2)
	warm.Affinity = true
	cached := run(warm)
	assert.Assert(t, cached.Cached > 1.5*probed.Cached, "affinity did not pay")
	assert.Assert(t, cached.MaxOverMean < 2 && cached.WaitP99 < 100*time.Millisecond, "affinity went over the bound")
}

// BenchmarkHerd prints the figures of docs/design/routing.md; run it with
// -benchtime 1x.
func BenchmarkHerd(b *testing.B) {
	for _, c := range herd.Cases() {
		b.Run(c.Name, func(b *testing.B) {
			var f herd.Figures
			for b.Loop() {
				f = herd.Run(c, 25*time.Second, seed)
			}
			b.ReportMetric(f.MaxOverMean, "max/mean")
			b.ReportMetric(float64(f.WaitP50.Milliseconds()), "wait-p50-ms")
			b.ReportMetric(float64(f.WaitP99.Milliseconds()), "wait-p99-ms")
			b.ReportMetric(f.Probes, "probes/choice")
			b.ReportMetric(100*f.First, "%first")
			b.ReportMetric(100*f.Cached, "%cached")
			b.ReportMetric(0, "ns/op")
		})
	}
}
