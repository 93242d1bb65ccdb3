package routing

import "time"

// Constants of the probe pool.
const (
	// poolAge is how long a pooled answer may be used.
	poolAge = time.Second
	// poolUses is how many choices may rest on one answer. Each use counts as
	// one more attempt in flight until the next probe.
	poolUses = 3
	// poolProbes is how many probes each choice sends for the coming ones.
	poolProbes = 2
)

// probePool decides on answers to probes that earlier choices sent, so that no
// decision waits. With an empty pool it asks like probe2.
type probePool struct{}

// Name implements Policy.
func (probePool) Name() string { return ProbePool }

// Ask implements Policy.
func (probePool) Ask(r *Round) Ask {
	if r.Number > 0 {
		return probe2{}.Ask(r)
	}
	var pooled, fresh []Upstream
	for _, tier := range []Tier{OwnZone, OwnRegion} {
		for _, u := range r.Eligible(tier) {
			if _, ok := r.Table.Remembered(u.ID, r.Now, poolAge, poolUses); ok {
				pooled = append(pooled, u)
			} else {
				fresh = append(fresh, u)
			}
		}
		if len(pooled)+len(fresh) >= choices {
			break
		}
	}
	background := r.Sample(fresh, poolProbes)
	if len(pooled) == 0 {
		return Ask{Upstreams: r.firstChoices()}
	}
	return Ask{Upstreams: pooled, Age: poolAge, Uses: poolUses, Background: background}
}

// Decide implements Policy.
func (probePool) Decide(r *Round) Decision {
	d := r.DecideByScore()
	d.Widen = r.Number+1 < steps && r.unsatisfied(d)
	return d
}
