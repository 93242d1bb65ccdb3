package routing

import "time"

// Assumed round trips beyond the own zone's while none is measured.
const (
	assumedRegionRTT = time.Millisecond
	assumedOtherRTT  = 50 * time.Millisecond
)

// rttCreep lets the least round trip of a zone rise slowly, by one part in so
// many for each probe, so that a longer path is noticed after a while.
const rttCreep = 64

// Weights of the smoothed round trip, as TCP's retransmission timer uses them.
const (
	rttWeight       = 8
	deviationWeight = 4
	deviations      = 4
)

// path is what probes have shown of the way to a zone.
type path struct {
	// least is the distance: the mean is mostly the hosts' load.
	least time.Duration
	// smoothed and deviation follow the present round trips, load included.
	smoothed, deviation time.Duration
}

// observeRTT adds the round trip of an answered probe, late ones included.
func (t *Table) observeRTT(zone string, rtt time.Duration) {
	if rtt <= 0 {
		return
	}
	p, ok := t.paths[zone]
	if !ok {
		t.paths[zone] = path{least: rtt, smoothed: rtt, deviation: rtt / 2}
		return
	}
	p.least = min(rtt, p.least+p.least/rttCreep+1)
	p.deviation += ((rtt - p.smoothed).Abs() - p.deviation) / deviationWeight
	p.smoothed += (rtt - p.smoothed) / rttWeight
	t.paths[zone] = p
}

// RTT returns the least round trip to a zone, zero if none was measured.
func (t *Table) RTT(zone string) time.Duration { return t.paths[zone].least }

// Patience returns how long an answer from a zone may well take at present, zero
// if none was measured. It is short where hosts are idle and longer where they
// are busy; hosts that don't answer have no part in it.
func (t *Table) Patience(zone string) time.Duration {
	p := t.paths[zone]
	return p.smoothed + deviations*p.deviation
}

// distance returns the latency that a call to upstream costs beyond that of one
// in the own zone.
func (t *Table) distance(ownZone string, upstream Upstream) time.Duration {
	if upstream.Tier == OwnZone {
		return 0
	}
	if there := t.RTT(upstream.Zone); there > 0 {
		return max(0, there-t.RTT(ownZone))
	}
	if upstream.Tier == OwnRegion {
		return assumedRegionRTT
	}
	return assumedOtherRTT
}
