package view

import (
	"time"

	"acaciawinch/core/era"
	"acaciawinch/core/fault"
	"acaciawinch/core/replica"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// The methods in this file exchange updates with other gateways. They may be called by many
// goroutines.

// Position is how far the copy of one kind is.
type Position struct {
	Kind string
	replica.Position
}

// KindDelta holds the changes that bring the copy of one kind up to date.
type KindDelta struct {
	Kind string
	replica.Delta
}

// Positions returns the positions of this process's copies.
func (v *View) Positions() []Position {
	positions := make([]Position, len(v.replicas))
	for i, k := range v.replicas {
		positions[i] = Position{Kind: k.name, Position: k.position()}
	}
	return positions
}

// DeltasSince returns what copies at the given positions lack, and the newest proof of the newest era,
// which may not count for keys yet; it returns false if there is no proof. The proof is read first, so
// that the changes are at least as new as the proof.
func (v *View) DeltasSince(positions []Position) ([]KindDelta, Proof, bool) {
	newest, known := v.proof.getRead()
	var deltas []KindDelta
	for _, position := range positions {
		k := v.replicaOf(position.Kind)
		if k == nil {
			continue
		}
		if d, stale := k.since(position.Position); stale {
			deltas = append(deltas, KindDelta{Kind: k.name, Delta: d})
		}
	}
	return deltas, newest, known
}

// Changed returns a channel that is closed at the next change or proof.
func (v *View) Changed() <-chan struct{} { return v.proof.nextChange() }

// ApplyDelta applies a delta from another gateway. It ignores kinds of which this gateway keeps no
// copy: the other one may run another version. It returns an error if changes are missing between
// the copy and the delta, or the delta's era was not heard before.
func (v *View) ApplyDelta(delta KindDelta) error {
	k := v.replicaOf(delta.Kind)
	if k == nil {
		return nil
	}
	if era := v.Era(); delta.Era > era {
		return fault.New(fault.Invalid, "view.take", "", "changes of era %d, but the store's newest era is %d", delta.Era, era)
	}
	return fault.Wrap(fault.Invalid, "view.take", "", k.apply(delta.Delta))
}

// Confirm records a proof, and reports whether it is of the era of this process's configuration;
// otherwise it proves nothing here. The deltas that came with another gateway's proof must have been
// applied before.
//
// Right after the store's return from an older copy, proofs don't count for keys (package era). The
// newest proof before holds meanwhile, until it is too old.
func (v *View) Confirm(proved Proof) bool {
	if proved.Era != v.configReplica().position().Era {
		return false
	}
	proved.Standing = v.era.judge(proved)
	v.logHold(proved)
	v.proof.confirm(proved)
	return true
}

// logHold logs the first proof of an era that is held off, and the first that counts after it.
func (v *View) logHold(proved Proof) {
	held := proved.Standing == era.Held
	if v.holding.Swap(held) == held {
		return
	}
	fields := observe.Fields{"era": proved.Era, "from": proved.From, "hops": proved.Hops, "age_ms": (clock.Boot() - proved.At).Milliseconds()}
	if held {
		v.options.Logger.Event(event.ProofHeldOff, fields)
		return
	}
	v.options.Logger.Event(event.ProofCountsAgain, fields)
}

// Proof returns the newest proof that counts for keys, and false if there is none.
func (v *View) Proof() (Proof, bool) { return v.proof.get() }

// StoreFailing reports whether the store fails to respond to this process as a reader. It is false
// in a follower, which does not call the store.
func (v *View) StoreFailing() bool { return v.failing.Load() }

// StoreProofTime returns the boot time of the newest proof that the store gave this process
// itself, whether or not it counts for keys, and false if there is none.
func (v *View) StoreProofTime() (time.Duration, bool) {
	at := time.Duration(v.storeProofAt.Load())
	return at, at >= 0
}

// replicaOf returns the copy of a kind, or nil if this process keeps none.
func (v *View) replicaOf(name string) *kindReplica {
	for _, k := range v.replicas {
		if k.name == name {
			return k
		}
	}
	return nil
}
