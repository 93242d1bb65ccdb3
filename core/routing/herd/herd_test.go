package herd_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/routing"
	"acaciawinch/core/routing/herd"
)

// seed fixes all random draws.
const seed = 42

// TestHerd checks that pushed loads make a thundering herd and that probing avoids it. It
// also checks that a straggler gets almost no work, and that prefix affinity raises the
// cache hits without overloading an upstream.
func TestHerd(t *testing.T) {
	const length = 8 * time.Second
	run := func(c herd.Case) herd.Results {
		results := herd.Run(c, length, seed)
		t.Logf("%s: %+v", c.Name, results)
		return results
	}
	pushed := run(herd.PushedLeastOfAll("pushed", time.Second))
	probed := run(herd.PolicyCase(routing.Probe2))
	assert.Assert(t, pushed.MaxOverMean > 2*probed.MaxOverMean, "pushed loads made no herd")
	assert.Assert(t, pushed.WaitP99 > time.Second && probed.WaitP99 < 50*time.Millisecond)

	slow := herd.PolicyCase(routing.Probe2)
	slow.Slow = true
	assert.Assert(t, run(slow).First < 0.002, "the straggler got work")

	warm := herd.PolicyCase(routing.Probe2)
	warm.Affinity = true
	cached := run(warm)
	assert.Assert(t, cached.Cached > 1.5*probed.Cached, "affinity did not raise the cache hits enough")
	assert.Assert(t, cached.MaxOverMean < 2 && cached.WaitP99 < 100*time.Millisecond, "affinity overloaded an upstream")
}

// BenchmarkHerd prints the results in docs/design/routing.md; run it with -benchtime 1x.
func BenchmarkHerd(b *testing.B) {
	for _, c := range herd.Cases() {
		b.Run(c.Name, func(b *testing.B) {
			var results herd.Results
			for b.Loop() {
				results = herd.Run(c, 25*time.Second, seed)
			}
			b.ReportMetric(results.MaxOverMean, "max/mean")
			b.ReportMetric(float64(results.WaitP50.Milliseconds()), "wait-p50-ms")
			b.ReportMetric(float64(results.WaitP99.Milliseconds()), "wait-p99-ms")
			b.ReportMetric(results.Probes, "probes/choice")
			b.ReportMetric(100*results.First, "%first")
			b.ReportMetric(100*results.Cached, "%cached")
			b.ReportMetric(0, "ns/op")
		})
	}
}
