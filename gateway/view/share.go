package view

import (
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/replica"
)

// What a View takes from other gateways and tells them. All methods may be called by many
// goroutines.

// Position is how far the copy of one kind reaches: the store's revision, or -1 if it knows
// nothing.
type Position struct {
	Kind     string
	Revision int64
}

// KindDelta is what brings the copy of one kind up to date.
type KindDelta struct {
	Kind string
	replica.Delta
}

// Positions returns how far the copies reach.
func (v *View) Positions() []Position {
	positions := make([]Position, len(v.kinds))
	for i, k := range v.kinds {
		positions[i] = Position{Kind: k.name, Revision: k.revision()}
	}
	return positions
}

// Since returns what copies of these positions lack, with the newest proof that it holds
// for: the proof is read first, so that the changes are at least as new.
func (v *View) Since(positions []Position) ([]KindDelta, Proof, bool) {
	proved, known := v.proof.get()
	var deltas []KindDelta
	for _, position := range positions {
		k := v.kind(position.Kind)
		if k == nil {
			continue
		}
		if d, told := k.since(position.Revision); told {
			deltas = append(deltas, KindDelta{Kind: k.name, Delta: d})
		}
	}
	return deltas, proved, known
}

// Changed returns what is closed at the next change or proof.
func (v *View) Changed() <-chan struct{} { return v.proof.next() }

// Take takes over what another gateway tells. A kind that this one does not follow is
// passed over: the other one may be of another version. The error is that of changes that
// do not fit to what is known.
func (v *View) Take(delta KindDelta) error {
	k := v.kind(delta.Kind)
	if k == nil {
		return nil
	}
	return fault.Wrap(fault.Invalid, "view.take", "", k.take(delta.Delta))
}

// Confirm takes over another gateway's proof. It holds for the changes that were taken
// before.
func (v *View) Confirm(proved Proof) { v.proof.confirm(proved) }

// Proof returns the newest proof, and false if there is none.
func (v *View) Proof() (Proof, bool) { return v.proof.get() }

// Failing tells whether the store does not answer this process, which reads it. One that
// follows another gateway knows nothing of that.
func (v *View) Failing() bool { return v.failing.Load() }

// StoreProved returns the time of the newest proof that the store gave this process
// itself, and false if there is none.
func (v *View) StoreProved() (time.Duration, bool) {
	at := time.Duration(v.storeProved.Load())
	return at, at >= 0
}

// kind returns the copy of a kind, nil if it is not followed.
func (v *View) kind(name string) *kind {
	for _, k := range v.kinds {
		if k.name == name {
			return k
		}
	}
	return nil
}
