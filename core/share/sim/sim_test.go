package sim_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/share/sim"
)

// seed makes the simulations deterministic.
const seed = 42

// TestHomesBeatEvenSplit checks the main results of the comparison in
// docs/design/limits.md.
func TestHomesBeatEvenSplit(t *testing.T) {
	run := func(c sim.Case) sim.Results {
		length := 14 * time.Second
		if c.Partition || c.Restart {
			length = 22 * time.Second
		}
		results := sim.Run(c, length, seed)
		t.Logf("%s: %+v", c.Name, results)
		return results
	}
	evenSplit := run(sim.EvenSplit())
	exchange := run(sim.Exchange("exchange", time.Second, 0))
	homes := run(sim.Homes())
	noFlood, partition, restart := sim.Homes(), sim.Homes(), sim.Homes()
	noFlood.NoFlood, partition.Partition, restart.Restart = true, true, true
	assert.Assert(t, evenSplit.WrongQuiet > 0.1 && evenSplit.WrongBusy > 0.1 && evenSplit.OverFlood > 1.5, "the even split refuses few requests wrongly or bounds the flood")
	assert.Assert(t, exchange.WrongQuiet > evenSplit.WrongQuiet, "the exchange refuses fewer requests of small workspaces wrongly than the even split")
	assert.Assert(t, homes.WrongQuiet == 0 && homes.WrongBusy == 0, "homes refuse requests of workspaces within their bounds")
	assert.Assert(t, homes.Over <= 1, "homes let a workspace exceed its bound")
	assert.Assert(t, homes.UsedFlood > 0.9, "homes keep the flooding workspace far below its bound")
	assert.Assert(t, run(noFlood).BusiestHome < 6000, "the busiest home serves too many bytes")
	partitioned := run(partition)
	assert.Assert(t, partitioned.OverFlood <= 3 && partitioned.WrongQuiet < 0.01 && partitioned.WrongBusy < 0.01, "a partition has a larger effect than the design allows")
	restarted := run(restart)
	assert.Assert(t, restarted.Over <= 2 && restarted.WrongQuiet+restarted.WrongBusy == 0, "a restart has a larger effect than the design allows")
	assert.Assert(t, homes.Bytes < 2000, "homes cost too many bytes per entry")
}

// BenchmarkLimits reports the figures in docs/design/limits.md. Run it with
// -benchtime 1x.
func BenchmarkLimits(b *testing.B) {
	for _, c := range sim.Cases() {
		b.Run(c.Name, func(b *testing.B) {
			var results sim.Results
			for b.Loop() {
				results = sim.Run(c, time.Minute, seed)
			}
			b.ReportMetric(100*results.WrongQuiet, "%wrong-quiet")
			b.ReportMetric(100*results.WrongBusy, "%wrong-busy")
			b.ReportMetric(results.Over, "over")
			b.ReportMetric(results.OverFlood, "over-flood")
			b.ReportMetric(100*results.OverTime, "%over-time")
			b.ReportMetric(results.UsedFlood, "used-flood")
			b.ReportMetric(results.Calls, "calls/s")
			b.ReportMetric(results.Bytes, "B/s")
			b.ReportMetric(results.BusiestHome, "B/s-busiest-home")
			b.ReportMetric(results.OneHome, "calls/s-one-home")
			b.ReportMetric(float64(results.WaitP50.Microseconds())/1000, "wait-p50-ms")
			b.ReportMetric(float64(results.WaitP99.Microseconds())/1000, "wait-p99-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}
