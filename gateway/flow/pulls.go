package flow

import (
	"strings"

	"acaciawinch/core/pool"
)

// pulls returns the data that each piece of a stage moves between zones: its inputs from the
// zones where they are kept and, if the request itself uses the result, the result to the zone
// that the request is likely to be sent to.
func (rq *request) pulls(stage int, isLast bool, inputs []string) []pool.Pull {
	var pulls []pool.Pull
	for _, handle := range inputs {
		if zone := rq.zoneOf(handle); zone != "" {
			pulls = addPull(pulls, zone, rq.inputBytes(stage))
		}
	}
	if !isLast {
		return pulls
	}
	if zone := rq.likelyZone(); zone != "" {
		pulls = addPull(pulls, zone, rq.route.Stages[stage].ResultBytes)
	}
	return pulls
}

// addPull adds bytes to the pull of a zone.
func addPull(pulls []pool.Pull, zone string, bytes int64) []pool.Pull {
	for i := range pulls {
		if pulls[i].Zone == zone {
			pulls[i].Bytes += bytes
			return pulls
		}
	}
	return append(pulls, pool.Pull{Zone: zone, Bytes: bytes})
}

// zoneOf returns the zone of the upstream that keeps the result with a handle.
func (rq *request) zoneOf(handle string) string {
	address, _, _ := strings.Cut(handle, "/")
	return rq.View.Upstreams().ZoneOf(address)
}

// inputBytes returns the size of one input of a stage: the mean result size of the stages that it
// follows.
func (rq *request) inputBytes(stage int) int64 {
	after := rq.route.Stages[stage].After
	var sum int64
	for _, earlier := range after {
		sum += rq.route.Stages[earlier].ResultBytes
	}
	return sum / int64(max(1, len(after)))
}

// likelyZone returns the zone of the upstream that would be chosen for the request now.
func (rq *request) likelyZone() string {
	choice, found := rq.preview(rq.requirements())
	if !found {
		return ""
	}
	return choice.Upstream.Zone
}
