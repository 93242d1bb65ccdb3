package claim

import (
	"acaciawinch/core/chart"
	"acaciawinch/core/fault"
)

// claimChart is the state chart of every Machine.
var claimChart = chart.MustLoad("claim")

// States of the claim chart in which the machine expects the result of a call.
const (
	stateCreating  chart.State = "creating"
	stateReading   chart.State = "reading"
	stateWaiting   chart.State = "waiting"
	stateResolving chart.State = "asking"
	stateUpdating  chart.State = "updating"
)

// Events of the claim chart.
const (
	eventOpen             chart.Event = "open"
	eventLookup           chart.Event = "look"
	eventReplace          chart.Event = "replace"
	eventWritten          chart.Event = "written"
	eventAbandonWritten   chart.Event = "retired"
	eventConflict         chart.Event = "conflict"
	eventAmbiguous        chart.Event = "ambiguous"
	eventStoreDown        chart.Event = "store_down"
	eventStoreDownUnknown chart.Event = "lost_sight"
	eventMissing          chart.Event = "missing"
	eventNoClaim          chart.Event = "no_claim"
	eventExpired          chart.Event = "expired"
	eventOwnNonce         chart.Event = "own_nonce"
	eventUnchanged        chart.Event = "unchanged"
	eventRecorded         chart.Event = "recorded"
	eventOmitted          chart.Event = "omitted"
	eventAbandoned        chart.Event = "abandoned"
	eventClosed           chart.Event = "closed"
	eventOtherOpen        chart.Event = "other_open"
	eventContended        chart.Event = "contended"
	eventMismatch         chart.Event = "mismatch"
	eventWaited           chart.Event = "waited"
	eventSideDone         chart.Event = "side_done"
	eventSideRunning      chart.Event = "side_running"
	eventSideNotRun       chart.Event = "side_not_run"
	eventSideGone         chart.Event = "side_gone"
	eventSideFailed       chart.Event = "side_failed"
	eventSideUnreachable  chart.Event = "side_unreachable"
	eventResultLost       chart.Event = "result_lost"
	eventOutOfTime        chart.Event = "out_of_time"
	eventGaveUp           chart.Event = "gave_up"
)

// statusOf maps the chart's final states to the statuses of verdicts.
var statusOf = map[chart.State]Status{
	"mine":        Owned,
	"done":        Done,
	"running":     Running,
	"unknown":     Unknown,
	"unavailable": Unavailable,
	"not_run":     NotRun,
	"absent":      Absent,
	"invalid":     Invalid,
}

// fire fires an event of the chart. The first error is kept in m.err, and the
// method that caused it returns it.
func (m *Machine) fire(event chart.Event) {
	m.trail = append(m.trail, event)
	if err := m.chart.Fire(event); err != nil && m.err == nil {
		m.err = err
	}
}

// end fires an event that leads to a final state and completes the verdict.
func (m *Machine) end(event chart.Event, v Verdict) {
	m.fire(event)
	if m.err != nil {
		return
	}
	v.Status = statusOf[m.chart.State()]
	if m.everSeen {
		v.Record = m.seen
		v.Version = m.seenVersion
	}
	v.Trail = m.trail
	m.verdict = v
}

// expectState returns an error unless the machine is in one of the given states.
func (m *Machine) expectState(states ...chart.State) error {
	for _, state := range states {
		if m.chart.State() == state {
			return nil
		}
	}
	return fault.New(fault.Internal, "claim."+string(m.chart.State()), m.peer(), "no such response is expected in this state")
}

// peer returns the receiver of the next call, for errors: a sidecar's upstream or the
// object API.
func (m *Machine) peer() string {
	if m.chart.State() == stateResolving {
		return string(m.seen.Target.Upstream)
	}
	return "objects"
}
