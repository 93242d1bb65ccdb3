// Package replica holds a process's copy of one kind of objects of the platform's store: their
// newest content, the store's revision up to which the copy is complete, and the latest changes,
// from which the copy of another process is brought up to date. It does no I/O and uses no clock.
//
// Why a copy is correct whichever process feeds it: a Delta holds all changes after one revision up
// to another. Applied to a copy whose revision lies between the two, it sets each object that it
// names to its last change, which is the object's state at the end of the Delta; objects that it
// does not name have not changed since its beginning. So changes that a copy has already seen may
// be applied again. Only a Delta that begins after the copy's revision would leave a gap; Apply
// refuses it.
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

// Delta brings a copy from one revision to another.
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

// Replica is a copy. It is not safe for concurrent use.
type Replica struct {
	objects  map[string]Object
	revision int64
	known    bool
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

// Revision returns the store's revision up to which the copy is complete; 0 before the first reset.
func (r *Replica) Revision() int64 { return r.revision }

// Size returns the number of objects.
func (r *Replica) Size() int { return len(r.objects) }

// Apply applies a Delta and reports whether the copy changed; a reset always counts as a change. It
// returns an error if the Delta begins after the copy's revision. A Delta that ends before the
// copy's revision is ignored: a copy never goes back.
func (r *Replica) Apply(d Delta) (changed bool, err error) {
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
	r.retain(d)
	r.revision = d.Revision
	return len(d.Changes) > 0, nil
}

// reset replaces all objects. The recent deltas are dropped: older copies need a reset too.
func (r *Replica) reset(d Delta) {
	r.objects = make(map[string]Object, len(d.Changes))
	for _, change := range d.Changes {
		r.set(change)
	}
	r.recent, r.recentChanges = nil, 0
	r.revision, r.known = d.Revision, true
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
	d.After = r.revision
	r.recent = append(r.recent, d)
	r.recentChanges += len(d.Changes)
	for len(r.recent) > 1 && r.recentChanges > len(r.objects) {
		r.recentChanges -= len(r.recent[0].Changes)
		r.recent = r.recent[1:]
	}
}

// Since returns the Delta that brings a copy of a revision up to date; a negative revision stands
// for an empty copy. It returns false if this copy is empty or no newer than the other one.
func (r *Replica) Since(revision int64) (Delta, bool) {
	if !r.known || revision >= r.revision {
		return Delta{}, false
	}
	if revision < 0 || len(r.recent) == 0 || r.recent[0].After > revision {
		return r.snapshot(), true
	}
	d := Delta{After: revision, Revision: r.revision}
	for _, delta := range r.recent {
		if delta.Revision > revision {
			d.Changes = append(d.Changes, delta.Changes...)
		}
	}
	return d, true
}

// snapshot returns the whole copy as a reset.
func (r *Replica) snapshot() Delta {
	d := Delta{Reset: true, Revision: r.revision, Changes: make([]Change, 0, len(r.objects))}
	for _, object := range r.objects {
		d.Changes = append(d.Changes, Change{Object: object})
	}
	return d
}
