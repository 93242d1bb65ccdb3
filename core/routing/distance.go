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

// observeRTT keeps the least round trip to a zone. The least and not the mean:
// it is the distance, while the mean is mostly the hosts' load.
func (t *Table) observeRTT(zone string, rtt time.Duration) {
	if rtt <= 0 {
		return
	}
	least, ok := t.rtts[zone]
	if !ok {
		t.rtts[zone] = rtt
		return
	}
	t.rtts[zone] = min(rtt, least+least/rttCreep+1)
}

// RTT returns the least round trip to a zone, zero if none was measured.
func (t *Table) RTT(zone string) time.Duration { return t.rtts[zone] }

// distance returns the latency that a call to upstream costs beyond that of one
// in the own zone.
func (t *Table) distance(ownZone string, upstream Upstream) time.Duration {
	if upstream.Tier == OwnZone {
		return 0
	}
	if there, ok := t.rtts[upstream.Zone]; ok {
		return max(0, there-t.rtts[ownZone])
	}
	if upstream.Tier == OwnRegion {
		return assumedRegionRTT
	}
	return assumedOtherRTT
}
