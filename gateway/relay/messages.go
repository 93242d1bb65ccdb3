package relay

import (
	"time"

	"acaciawinch/core/era"
	"acaciawinch/core/proof"
	"acaciawinch/core/replica"
	"acaciawinch/gateway/view"
	"acaciawinch/wire/wirepb"
)

// positionMessages encodes the positions of copies.
func positionMessages(positions []view.Position) []*wirepb.FollowPosition {
	list := make([]*wirepb.FollowPosition, len(positions))
	for i, position := range positions {
		list[i] = &wirepb.FollowPosition{Kind: position.Kind, Revision: position.Revision, Era: position.Era}
	}
	return list
}

// positionsOf decodes the positions of copies.
func positionsOf(list []*wirepb.FollowPosition) []view.Position {
	positions := make([]view.Position, len(list))
	for i, position := range list {
		positions[i] = view.Position{Kind: position.GetKind(), Position: replica.Position{Era: position.GetEra(), Revision: position.GetRevision()}}
	}
	return positions
}

// deltaMessage encodes the changes that a copy lacks.
func deltaMessage(d view.KindDelta) *wirepb.FollowDelta {
	return &wirepb.FollowDelta{Kind: d.Kind, Reset_: d.Reset, Era: d.Era, After: d.After, Revision: d.Revision, Changes: changeMessages(d.Changes)}
}

// changeMessages encodes changes.
func changeMessages(changes []replica.Change) []*wirepb.FollowChange {
	list := make([]*wirepb.FollowChange, len(changes))
	for i, change := range changes {
		list[i] = &wirepb.FollowChange{
			Name:     change.Object.Name,
			Revision: change.Object.Revision,
			Spec:     change.Object.Spec,
			Deleted:  change.Deleted,
		}
	}
	return list
}

// deltaOf decodes a delta. Its changes are passed separately, as they may have come in pieces.
func deltaOf(m *wirepb.FollowDelta, changes []*wirepb.FollowChange) view.KindDelta {
	d := view.KindDelta{Kind: m.GetKind(), Delta: replica.Delta{Reset: m.GetReset_(), Era: m.GetEra(), After: m.GetAfter(), Revision: m.GetRevision()}}
	d.Changes = make([]replica.Change, len(changes))
	for i, change := range changes {
		d.Changes[i] = replica.Change{
			Object:  replica.Object{Name: change.GetName(), Revision: change.GetRevision(), Spec: change.GetSpec()},
			Deleted: change.GetDeleted(),
		}
	}
	return d
}

// proofMessage encodes a proof, whose time a report holds.
func proofMessage(report proof.Report, p view.Proof) *wirepb.FollowProof {
	return &wirepb.FollowProof{Number: report.Number, AfterUs: report.After.Microseconds(), Hops: uint32(p.Hops),
		Era: p.Era, Settled: p.Standing == era.Settled, Held: p.Standing == era.Held}
}

// proofReportOf decodes the time of a proof. The lost fraction of a microsecond makes the proof appear
// older.
func proofReportOf(m *wirepb.FollowProof) proof.Report {
	return proof.Report{Number: m.GetNumber(), After: time.Duration(m.GetAfterUs()-1) * time.Microsecond}
}

// proofOf decodes a proof that a source made or received at a boot time.
func proofOf(m *wirepb.FollowProof, at time.Duration, from string) view.Proof {
	return view.Proof{At: at, Era: m.GetEra(), Standing: standingOf(m), Hops: int(m.GetHops()) + 1, From: from}
}

// standingOf decodes the standing of a proof.
func standingOf(m *wirepb.FollowProof) era.Standing {
	switch {
	case m.GetHeld():
		return era.Held
	case m.GetSettled():
		return era.Settled
	default:
		return era.Uncertain
	}
}
