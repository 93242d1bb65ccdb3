package routing

import "time"

// Constants of the probe pool.
const (
	// poolMaxAge is the maximum age of a pooled reply.
	poolMaxAge = time.Second
	// poolMaxUses is how many choices may rely on one reply. Each of them counts as one more
	// attempt in flight until the next probe.
	poolMaxUses = 3
	// poolBackgroundProbes is how many probes each choice sends for later choices.
	poolBackgroundProbes = 2
)

// probePool decides by the replies to probes that earlier choices sent, so that no decision
// waits for a probe. With an empty pool it probes like probe2.
type probePool struct{}

// Name implements Policy.
func (probePool) Name() string { return ProbePool }

// Plan implements Policy.
func (probePool) Plan(r *Round) ProbePlan {
	if r.Step > 0 {
		return probe2{}.Plan(r)
	}
	var pooled, unpooled []Upstream
	for _, tier := range []Tier{OwnZone, OwnRegion} {
		for _, u := range r.Eligible(tier) {
			if _, ok := r.Table.Remembered(u.ID, r.Now, poolMaxAge, poolMaxUses); ok {
				pooled = append(pooled, u)
			} else {
				unpooled = append(unpooled, u)
			}
		}
		if len(pooled)+len(unpooled) >= firstProbes {
			break
		}
	}
	background := r.Sample(unpooled, poolBackgroundProbes)
	if len(pooled) == 0 {
		return ProbePlan{Upstreams: r.firstProbeTargets()}
	}
	return ProbePlan{Upstreams: pooled, Age: poolMaxAge, Uses: poolMaxUses, Background: background}
}

// Decide implements Policy.
func (probePool) Decide(r *Round) Decision {
	d := r.DecideByScore()
	d.Widen = r.Step+1 < maxSteps && r.shouldWiden(d)
	return d
}
