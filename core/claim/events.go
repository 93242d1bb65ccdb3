package claim

import (
	"acaciawinch/core/chart"
	"acaciawinch/core/fault"
)

// claimChart is the state chart that every Machine goes through.
var claimChart = chart.MustLoad("claim")

// States of the claim chart in which a call is awaited.
const (
	stateCreating chart.State = "creating"
	stateReading  chart.State = "reading"
	stateWaiting  chart.State = "waiting"
	stateAsking   chart.State = "asking"
	stateUpdating chart.State = "updating"
)

// Events of the claim chart.
const (
	eventOpen            chart.Event = "open"
	eventLook            chart.Event = "look"
	eventReplace         chart.Event = "replace"
	eventWritten         chart.Event = "written"
	eventRetired         chart.Event = "retired"
	eventConflict        chart.Event = "conflict"
	eventAmbiguous       chart.Event = "ambiguous"
	eventStoreDown       chart.Event = "store_down"
	eventLostSight       chart.Event = "lost_sight"
	eventMissing         chart.Event = "missing"
	eventNoClaim         chart.Event = "no_claim"
	eventExpired         chart.Event = "expired"
	eventOwnNonce        chart.Event = "own_nonce"
	eventUnchanged       chart.Event = "unchanged"
	eventRecorded        chart.Event = "recorded"
	eventOmitted         chart.Event = "omitted"
	eventAbandoned       chart.Event = "abandoned"
	eventClosed          chart.Event = "closed"
	eventOtherOpen       chart.Event = "other_open"
	eventContended       chart.Event = "contended"
	eventMismatch        chart.Event = "mismatch"
	eventWaited          chart.Event = "waited"
	eventSideDone        chart.Event = "side_done"
	eventSideRunning     chart.Event = "side_running"
	eventSideNotRun      chart.Event = "side_not_run"
	eventSideGone        chart.Event = "side_gone"
	eventSideFailed      chart.Event = "side_failed"
	eventSideUnreachable chart.Event = "side_unreachable"
	eventResultLost      chart.Event = "result_lost"
	eventOutOfTime       chart.Event = "out_of_time"
	eventGaveUp          chart.Event = "gave_up"
)

// verdictOf translates the chart's final states.
var verdictOf = map[chart.State]Status{
	"mine":        Mine,
	"done":        Done,
	"running":     Running,
	"unknown":     Unknown,
	"unavailable": Unavailable,
	"not_run":     NotRun,
	"absent":      Absent,
	"invalid":     Invalid,
}

// fire takes an event of the chart. The first error stays, and the input that
// caused it returns it.
func (m *Machine) fire(event chart.Event) {
	m.trail = append(m.trail, event)
	if err := m.chart.Fire(event); err != nil && m.err == nil {
		m.err = err
	}
}

// end takes an event that leads to a verdict and fills the verdict in.
func (m *Machine) end(event chart.Event, v Verdict) {
	m.fire(event)
	if m.err != nil {
		return
	}
	v.Status = verdictOf[m.chart.State()]
	if m.everSeen {
		v.Record = m.seen
		v.Version = m.seenVersion
	}
	v.Trail = m.trail
	m.verdict = v
}

// await checks that the machine awaits an answer of a kind.
func (m *Machine) await(states ...chart.State) error {
	for _, state := range states {
		if m.chart.State() == state {
			return nil
		}
	}
	return fault.New(fault.Internal, "claim."+string(m.chart.State()), m.peer(), "the answer is not awaited")
}

// peer names who the next call is for, for errors.
func (m *Machine) peer() string {
	if m.chart.State() == stateAsking {
		return string(m.seen.Target.Upstream)
	}
	return "objects"
}
