package flow

import (
	"strings"

	"acaciawinch/core/pool"
)

// transfers returns the data that each item of a stage moves between zones: its inputs from the
// zones where they are kept and, if the request itself uses the result, the result to the zone
// that the request is likely to be sent to.
func (rq *request) transfers(stage int, isLast bool, inputs []string) []pool.Transfer {
	var transfers []pool.Transfer
	for _, handle := range inputs {
		if zone := rq.zoneOf(handle); zone != "" {
			transfers = addTransfer(transfers, zone, rq.inputBytes(stage))
		}
	}
	if !isLast {
		return transfers
	}
	if zone := rq.likelyZone(); zone != "" {
		transfers = addTransfer(transfers, zone, rq.route.Stages[stage].ResultBytes)
	}
	return transfers
}

// addTransfer adds bytes to the transfer of a zone.
func addTransfer(transfers []pool.Transfer, zone string, bytes int64) []pool.Transfer {
	for i := range transfers {
		if transfers[i].Zone == zone {
			transfers[i].Bytes += bytes
			return transfers
		}
	}
	return append(transfers, pool.Transfer{Zone: zone, Bytes: bytes})
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
