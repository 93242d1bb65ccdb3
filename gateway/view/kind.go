package view

import (
	"sync"
	"time"

	"acaciawinch/core/replica"
)

// Receiver takes what there is of one kind. It is called by one goroutine at a time and must
// return at once.
type Receiver interface {
	// Reset replaces all objects.
	Reset(objects []replica.Object)
	// Apply takes changes.
	Apply(changes []replica.Change)
}

// kind is this process's copy of one kind of objects, fed by the store or by another
// gateway.
type kind struct {
	name  string
	to    Receiver
	proof *proof

	mu   sync.Mutex
	copy *replica.Replica
}

// take brings the copy up to date and hands on what is news. The error is that of changes
// that leave a gap.
func (k *kind) take(d replica.Delta) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	news, err := k.copy.Apply(d)
	switch {
	case err != nil || !news:
		return err
	case d.Reset:
		k.to.Reset(objects(d.Changes))
	default:
		k.to.Apply(d.Changes)
	}
	k.proof.wake()
	return nil
}

// objects returns the objects of changes.
func objects(changes []replica.Change) []replica.Object {
	list := make([]replica.Object, len(changes))
	for i, change := range changes {
		list[i] = change.Object
	}
	return list
}

// unknown is the revision of a copy that knows nothing.
const unknown = -1

// revision returns how far the copy reaches, or unknown.
func (k *kind) revision() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.copy.Known() {
		return unknown
	}
	return k.copy.Revision()
}

// since returns what another copy lacks.
func (k *kind) since(revision int64) (replica.Delta, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.copy.Since(revision)
}

// Proof tells that up to a time no key was taken away of which this process does not know.
type Proof struct {
	// At is the boot time.
	At time.Duration
	// Hops is through how many processes it came: 0 if the store gave it.
	Hops int
	// From is the gateway that passed it on, or FromStore.
	From string
}

// FromStore is where a proof is from that the store gave this process itself.
const FromStore = "store"

// proof holds the newest Proof, and wakes who waits for it or for changes.
type proof struct {
	mu      sync.Mutex
	newest  Proof
	known   bool
	changed chan struct{}
}

// newProof returns a proof of nothing.
func newProof() *proof { return &proof{changed: make(chan struct{})} }

// confirm notes a proof, unless a newer one is known.
func (p *proof) confirm(new Proof) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known && new.At <= p.newest.At {
		return
	}
	p.newest, p.known = new, true
	p.wakeLocked()
}

// get returns the newest proof, and false if there is none.
func (p *proof) get() (Proof, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newest, p.known
}

// wake wakes who waits.
func (p *proof) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeLocked()
}

// wakeLocked wakes who waits. The lock is held.
func (p *proof) wakeLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// next returns what is closed at the next change or proof.
func (p *proof) next() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}
