package relay

import (
	"time"

	"acaciawinch/core/proof"
	"acaciawinch/core/replica"
	"acaciawinch/gateway/view"
	"acaciawinch/wire/wirepb"
)

// positionMessages encodes how far copies reach.
func positionMessages(positions []view.Position) []*wirepb.FollowPosition {
	list := make([]*wirepb.FollowPosition, len(positions))
	for i, one := range positions {
		list[i] = &wirepb.FollowPosition{Kind: one.Kind, Revision: one.Revision}
	}
	return list
}

// positionsOf decodes how far copies reach.
func positionsOf(list []*wirepb.FollowPosition) []view.Position {
	positions := make([]view.Position, len(list))
	for i, one := range list {
		positions[i] = view.Position{Kind: one.GetKind(), Revision: one.GetRevision()}
	}
	return positions
}

// deltaMessage encodes what a copy lacks.
func deltaMessage(d view.KindDelta) *wirepb.FollowDelta {
	return &wirepb.FollowDelta{Kind: d.Kind, Reset_: d.Reset, After: d.After, Revision: d.Revision, Changes: changeMessages(d.Changes)}
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

// deltaOf decodes what a copy lacks; its changes are given apart, as they may have come in
// pieces.
func deltaOf(m *wirepb.FollowDelta, changes []*wirepb.FollowChange) view.KindDelta {
	d := view.KindDelta{Kind: m.GetKind(), Delta: replica.Delta{Reset: m.GetReset_(), After: m.GetAfter(), Revision: m.GetRevision()}}
	d.Changes = make([]replica.Change, len(changes))
	for i, change := range changes {
		d.Changes[i] = replica.Change{
			Object:  replica.Object{Name: change.GetName(), Revision: change.GetRevision(), Spec: change.GetSpec()},
			Deleted: change.GetDeleted(),
		}
	}
	return d
}

// proofMessage encodes a word on a proof that came through a number of processes.
func proofMessage(word proof.Word, hops int) *wirepb.FollowProof {
	return &wirepb.FollowProof{Number: word.Number, AfterUs: word.After.Microseconds(), Hops: uint32(hops)}
}

// wordOf decodes a word on a proof. The part of a microsecond that is lost makes it older.
func wordOf(m *wirepb.FollowProof) proof.Word {
	return proof.Word{Number: m.GetNumber(), After: time.Duration(m.GetAfterUs()-1) * time.Microsecond}
}
