// Package replica holds a process's copy of one kind of objects of the platform's
// store: their newest content, the store's revision up to which it is whole, and the
// latest changes, from which another process's copy is brought up to date. It does no I/O
// and knows no clock.
//
// Why a copy is right whatever it is fed from: a Delta holds all changes after one
// revision up to another. Applied to a copy whose revision lies between the two, it
// leaves each object that it names as its last change says, which is its state at the end
// of the Delta, and those that it does not name had no change after its beginning. So
// changes that a copy has seen may be applied again, and only a Delta that begins after
// the copy's revision would leave a gap; Apply refuses it.
package replica

import (
	"encoding/json"

	"acaciawinch/core/fault"
)

// Object is one object of the store.
type Object struct {
	Name string
	// Revision is that of its last change.
	Revision int64
	Spec     json.RawMessage
}

// Change is one object's change.
type Change struct {
	Object  Object
	Deleted bool
}

// Delta is what brings a copy from one revision to another.
type Delta struct {
	// Reset is set if Changes are all objects there are, none deleted, whatever was before.
	Reset bool
	// After is the revision up to which the copy must be whole; nothing with Reset.
	After int64
	// Revision is the store's up to which the copy is whole afterwards.
	Revision int64
	Changes  []Change
}

// Replica is a copy. It is not safe for concurrent use.
type Replica struct {
	objects  map[string]Object
	revision int64
	known    bool
	// recent are the latest deltas, oldest first, each beginning where the one before ends.
	recent []Delta
	// recentChanges is how many changes they hold together.
	recentChanges int
}

// New returns a Replica that knows nothing.
func New() *Replica { return &Replica{objects: make(map[string]Object)} }

// Known tells whether the copy has been whole once.
func (r *Replica) Known() bool { return r.known }

// Revision returns the store's revision up to which the copy is whole; 0 before the first.
func (r *Replica) Revision() int64 { return r.revision }

// Size returns the number of objects.
func (r *Replica) Size() int { return len(r.objects) }

// Apply takes a Delta over and tells whether it was news. The error is that of a Delta
// that begins after what the copy knows. One that ends before is passed over: a copy never
// goes back.
func (r *Replica) Apply(d Delta) (news bool, err error) {
	if r.known && d.Revision < r.revision {
		return false, nil
	}
	if d.Reset {
		r.reset(d)
		return true, nil
	}
	if !r.known || d.After > r.revision {
		return false, fault.New(fault.Invalid, "replica.apply", "", "changes after revision %d do not fit a copy of revision %d", d.After, r.revision)
	}
	if d.Revision == r.revision {
		return false, nil
	}
	for _, change := range d.Changes {
		r.set(change)
	}
	r.remember(d)
	r.revision = d.Revision
	return len(d.Changes) > 0, nil
}

// reset takes over all objects. Copies of before are brought up to date by a reset too.
func (r *Replica) reset(d Delta) {
	r.objects = make(map[string]Object, len(d.Changes))
	for _, change := range d.Changes {
		r.set(change)
	}
	r.recent, r.recentChanges = nil, 0
	r.revision, r.known = d.Revision, true
}

// set takes one change over.
func (r *Replica) set(change Change) {
	if change.Deleted {
		delete(r.objects, change.Object.Name)
		return
	}
	r.objects[change.Object.Name] = change.Object
}

// remember keeps a delta for copies that follow this one. Deltas without changes only
// move the end of the one before. When there are more changes than objects, a reset is the
// shorter way, and the oldest deltas are dropped.
func (r *Replica) remember(d Delta) {
	if len(d.Changes) == 0 && len(r.recent) > 0 {
		r.recent[len(r.recent)-1].Revision = d.Revision
		return
	}
	d.After = r.revision
	r.recent = append(r.recent, d)
	r.recentChanges += len(d.Changes)
	for len(r.recent) > 1 && r.recentChanges > len(r.objects) {
		r.recentChanges -= len(r.recent[0].Changes)
		r.recent = r.recent[1:]
	}
}

// Since returns what brings a copy of a revision up to date; a negative revision is that of
// a copy that knows nothing. It returns false if there is nothing to tell: this copy knows
// nothing itself, or no more than the other one.
func (r *Replica) Since(revision int64) (Delta, bool) {
	if !r.known || revision >= r.revision {
		return Delta{}, false
	}
	if revision < 0 || len(r.recent) == 0 || r.recent[0].After > revision {
		return r.all(), true
	}
	d := Delta{After: revision, Revision: r.revision}
	for _, one := range r.recent {
		if one.Revision > revision {
			d.Changes = append(d.Changes, one.Changes...)
		}
	}
	return d, true
}

// all returns the whole copy.
func (r *Replica) all() Delta {
	d := Delta{Reset: true, Revision: r.revision, Changes: make([]Change, 0, len(r.objects))}
	for _, object := range r.objects {
		d.Changes = append(d.Changes, Change{Object: object})
	}
	return d
}
