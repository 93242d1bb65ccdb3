// Package replica holds a process's copy of one kind of objects of the platform's store: their
// newest content, the position up to which the copy is complete, and the latest changes, from which
// the copy of another process is brought up to date. It does no I/O and uses no clock.
//
// A position is an era of the store and a revision in it. The store may return from an older copy of
// itself: what it acknowledged since is lost, its revisions are given out again, and a new era begins.
//
// Why a copy is correct whichever process feeds it: a Delta holds all changes after one revision up
// to another. Applied to a copy whose revision lies between the two, it sets each object that it
// names to its last change, which is the object's state at the end of the Delta; objects that it
// does not name have not changed since its beginning. So changes that a copy has already seen may
// be applied again. Only a Delta that begins after the copy's revision would leave a gap; Apply
// refuses it.
//
// All of this holds within one era only: the same revision may stand for two states in two eras. So
//   - a Delta of an earlier era than the copy's changes nothing, whatever its revisions: the store no
//     longer holds that state;
//   - a reset of a later era replaces the copy, whatever its revisions: it holds all that the store
//     held then, and nothing of what the store has lost;
//   - other Deltas of a later era are refused like a gap: they continue a state that the copy does not
//     have;
//   - the recent Deltas of a copy are all of its own era, as a reset drops them, and a copy of an
//     earlier era gets a reset. No Delta joins changes of two eras.
//
// Positions, ordered by era and then by revision, therefore never go back, and two copies at one
// position are equal.
package replica

import (
	"encoding/json"

	"acaciawinch/core/fault"
)

// Object is one object of the store.
type Object struct {
	Name string
	// Revision is the revision of the object's last change.
	Revision int64
	Spec     json.RawMessage
}

// Change is the change of one object.
type Change struct {
	Object  Object
	Deleted bool
}

// Position is how far a copy is.
type Position struct {
	// Era is the store's era to which Revision belongs; 0 if the store has none.
	Era int64
	// Revision is the store's revision up to which the copy is complete; below 0 for a copy that has
	// never been complete.
	Revision int64
}

// Empty is the position of a copy that has never been complete.
var Empty = Position{Revision: -1}

// Before reports whether a copy at p lacks something that one at q has.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Revision < q.Revision
}

// Delta brings a copy from one position to another of the same era.
type Delta struct {
	// Reset is set if Changes are all existing objects, none deleted, and replace the copy.
	Reset bool
	// Era is the era of the store to which the revisions belong; 0 if the store has none.
	Era int64
	// After is the revision up to which the copy must be complete; unused with Reset.
	After int64
	// Revision is the store's revision up to which the copy is complete afterwards.
	Revision int64
	Changes  []Change
}

// End returns the position of a copy after the Delta.
func (d Delta) End() Position { return Position{Era: d.Era, Revision: d.Revision} }

// Replica is a copy. It is not safe for concurrent use.
type Replica struct {
	objects map[string]Object
	at      Position
	known   bool
	// recent holds the latest deltas, oldest first, each beginning at the revision where the
	// previous one ends.
	recent []Delta
	// recentChanges is the number of changes in all recent deltas.
	recentChanges int
}

// New returns an empty Replica.
func New() *Replica { return &Replica{objects: make(map[string]Object)} }

// Known reports whether the copy has ever been complete.
func (r *Replica) Known() bool { return r.known }

// Position returns the position up to which the copy is complete, Empty before the first reset.
func (r *Replica) Position() Position {
	if !r.known {
		return Empty
	}
	return r.at
}

// Displace makes the copy empty for Apply, Since and Position, and keeps its objects: the next reset
// replaces them, whatever its position.
func (r *Replica) Displace() { r.at, r.known, r.recent, r.recentChanges = Empty, false, nil, 0 }

// Size returns the number of objects.
func (r *Replica) Size() int { return len(r.objects) }

// Apply applies a Delta and reports whether the copy changed; a reset always counts as a change. It
// returns an error if the Delta begins after the copy's position. A Delta that ends before the
// copy's position is ignored: a copy never goes back.
func (r *Replica) Apply(d Delta) (changed bool, err error) {
	if r.known && d.End().Before(r.at) {
		return false, nil
	}
	if d.Reset {
		r.reset(d)
		return true, nil
	}
	if !r.known || d.Era != r.at.Era || d.After > r.at.Revision {
		at := r.Position()
		return false, fault.New(fault.Invalid, "replica.apply", "", "changes after revision %d of era %d do not fit a copy of revision %d of era %d", d.After, d.Era, at.Revision, at.Era)
	}
	if d.Revision == r.at.Revision {
		return false, nil
	}
	for _, change := range d.Changes {
		r.set(change)
	}
	r.retain(d)
	r.at.Revision = d.Revision
	return len(d.Changes) > 0, nil
}

// reset replaces all objects. The recent deltas are dropped: older copies need a reset too.
func (r *Replica) reset(d Delta) {
	r.objects = make(map[string]Object, len(d.Changes))
	for _, change := range d.Changes {
		r.set(change)
	}
	r.recent, r.recentChanges = nil, 0
	r.at, r.known = d.End(), true
}

// set applies one change.
func (r *Replica) set(change Change) {
	if change.Deleted {
		delete(r.objects, change.Object.Name)
		return
	}
	r.objects[change.Object.Name] = change.Object
}

// retain keeps a delta for the copies that follow this one. A delta without changes only moves the
// end of the previous one. Once there are more changes than objects, a reset is shorter, and the
// oldest deltas are dropped.
func (r *Replica) retain(d Delta) {
	if len(d.Changes) == 0 && len(r.recent) > 0 {
		r.recent[len(r.recent)-1].Revision = d.Revision
		return
	}
	d.After = r.at.Revision
	r.recent = append(r.recent, d)
	r.recentChanges += len(d.Changes)
	for len(r.recent) > 1 && r.recentChanges > len(r.objects) {
		r.recentChanges -= len(r.recent[0].Changes)
		r.recent = r.recent[1:]
	}
}

// Since returns the Delta that brings a copy at a position up to date. It returns false if this copy
// is empty or the other one lacks nothing.
func (r *Replica) Since(position Position) (Delta, bool) {
	if !r.known || position.Revision >= 0 && !position.Before(r.at) {
		return Delta{}, false
	}
	if position.Revision < 0 || position.Era != r.at.Era || len(r.recent) == 0 || r.recent[0].After > position.Revision {
		return r.snapshot(), true
	}
	d := Delta{Era: r.at.Era, After: position.Revision, Revision: r.at.Revision}
	for _, delta := range r.recent {
		if delta.Revision > position.Revision {
			d.Changes = append(d.Changes, delta.Changes...)
		}
	}
	return d, true
}

// snapshot returns the whole copy as a reset.
func (r *Replica) snapshot() Delta {
	d := Delta{Reset: true, Era: r.at.Era, Revision: r.at.Revision, Changes: make([]Change, 0, len(r.objects))}
	for _, object := range r.objects {
		d.Changes = append(d.Changes, Change{Object: object})
	}
	return d
}
