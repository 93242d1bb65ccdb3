package routing

import "time"

// Extra latencies assumed for calls beyond the own zone until a round trip is measured.
const (
	assumedRegionRTT = time.Millisecond
	assumedOtherRTT  = 50 * time.Millisecond
)

// minRTTRiseDivisor lets the minimum round trip to a zone rise slowly, by one part in
// minRTTRiseDivisor per probe, so that a path that became longer is noticed after a while.
const minRTTRiseDivisor = 64

// Constants of the smoothed round trip and its deviation, as in TCP's retransmission timer.
const (
	srttDivisor   = 8
	rttvarDivisor = 4
	rttvarFactor  = 4
)

// pathRTT holds the measured round trips to a zone.
type pathRTT struct {
	// min measures the distance; a mean would mostly measure the load of the hosts.
	min time.Duration
	// srtt and rttvar are the smoothed round trip and its deviation, load included.
	srtt, rttvar time.Duration
}

// observeRTT records the round trip of a probe whose reply arrived, in time or late.
func (t *Table) observeRTT(zone string, rtt time.Duration) {
	if rtt <= 0 {
		return
	}
	p, ok := t.paths[zone]
	if !ok {
		t.paths[zone] = pathRTT{min: rtt, srtt: rtt, rttvar: rtt / 2}
		return
	}
	p.min = min(rtt, p.min+p.min/minRTTRiseDivisor+1)
	p.rttvar += ((rtt - p.srtt).Abs() - p.rttvar) / rttvarDivisor
	p.srtt += (rtt - p.srtt) / srttDivisor
	t.paths[zone] = p
}

// RTT returns the minimum round trip to a zone, zero if none was measured.
func (t *Table) RTT(zone string) time.Duration { return t.paths[zone].min }

// ExpectedReplyTime returns how long a probe reply from a zone may be expected to take at
// present, zero if no round trip was measured. It is short while hosts are idle and longer
// while they are busy; hosts that do not reply do not affect it.
func (t *Table) ExpectedReplyTime(zone string) time.Duration {
	p := t.paths[zone]
	return p.srtt + rttvarFactor*p.rttvar
}

// extraLatency returns the latency that a call to upstream costs beyond a call within the
// own zone.
func (t *Table) extraLatency(ownZone string, upstream Upstream) time.Duration {
	if upstream.Tier == OwnZone {
		return 0
	}
	if rtt := t.RTT(upstream.Zone); rtt > 0 {
		return max(0, rtt-t.RTT(ownZone))
	}
	if upstream.Tier == OwnRegion {
		return assumedRegionRTT
	}
	return assumedOtherRTT
}
