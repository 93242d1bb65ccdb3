package view

import (
	"sync"
	"time"

	"acaciawinch/core/replica"
	"acaciawinch/gateway/clock"
)

// Receiver receives the objects of one kind and their changes. It is called by one goroutine
// at a time and must not block.
type Receiver interface {
	// Reset replaces all objects.
	Reset(objects []replica.Object)
	// Apply applies changes to the objects.
	Apply(changes []replica.Change)
}

// EraReceiver is a Receiver that must know when the store has returned from an older copy.
type EraReceiver interface {
	// EraChanged is called right before the first Reset with the objects of a later era than those
	// received before. What the store had acknowledged since its copy was made may be missing until
	// it is written again. EraChanged is called by the goroutine that calls Reset and must not block.
	EraChanged(era int64)
}

// kindReplica is this process's copy of the objects of one kind, updated by the store or by
// another gateway.
type kindReplica struct {
	name     string
	receiver Receiver
	proof    *proofTracker

	mu      sync.Mutex
	replica *replica.Replica
}

// apply brings the copy up to date and passes what is new to the receiver. It returns an error
// if changes are missing between the copy and d.
func (k *kindReplica) apply(d replica.Delta) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed, err := k.replica.Apply(d)
	switch {
	case err != nil || !changed:
		return err
	case d.Reset:
		k.receiver.Reset(objectsOf(d.Changes))
	default:
		k.receiver.Apply(d.Changes)
	}
	k.proof.notify()
	return nil
}

// objectsOf returns the objects of changes.
func objectsOf(changes []replica.Change) []replica.Object {
	list := make([]replica.Object, len(changes))
	for i, change := range changes {
		list[i] = change.Object
	}
	return list
}

// unknownRevision is the revision of a copy that holds nothing yet.
const unknownRevision = -1

// revision returns the store's revision of the copy, or unknownRevision.
func (k *kindReplica) revision() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.replica.Known() {
		return unknownRevision
	}
	return k.replica.Revision()
}

// since returns the changes that a copy at a revision lacks, and false if it lacks none.
func (k *kindReplica) since(revision int64) (replica.Delta, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.replica.Since(revision)
}

// Proof is a freshness proof: this process knows of every API key that was revoked up to the time
// At.
type Proof struct {
	// At is a boot time.
	At time.Duration
	// Hops counts the processes that passed the proof on: 0 if the store gave it.
	Hops int
	// From is the gateway that passed the proof on, or FromStore.
	From string
}

// FromStore is the From of a proof that this process got from the store itself.
const FromStore = "store"

// proofTracker holds the newest Proof and notifies those that wait for a proof or a change.
type proofTracker struct {
	mu     sync.Mutex
	newest Proof
	known  bool
	// gapEnded is the boot time at which the last proof arrived later than maxProofGap after the one
	// before.
	gapEnded time.Duration
	changed  chan struct{}
}

// maxProofGap is the greatest age of a proof while the store responds in time. It is shorter than an
// outage during which discovery loses entries of upstreams that run.
const maxProofGap = 2 * time.Second

// newProofTracker returns a tracker without a proof.
func newProofTracker() *proofTracker { return &proofTracker{changed: make(chan struct{})} }

// confirm records a proof, unless a newer one is known.
func (p *proofTracker) confirm(candidate Proof) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known && candidate.At <= p.newest.At {
		return
	}
	if now := clock.Boot(); p.known && now-p.newest.At > maxProofGap {
		p.gapEnded = now
	}
	p.newest, p.known = candidate, true
	p.notifyLocked()
}

// get returns the newest proof, and false if there is none.
func (p *proofTracker) get() (Proof, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newest, p.known
}

// unbrokenFor reports whether no proof has been older than maxProofGap for the given time.
func (p *proofTracker) unbrokenFor(length time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Boot()
	return p.known && now-p.newest.At <= maxProofGap && (p.gapEnded == 0 || now-p.gapEnded >= length)
}

// notify notifies those that wait for a change.
func (p *proofTracker) notify() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notifyLocked()
}

// notifyLocked is notify for callers that hold p.mu.
func (p *proofTracker) notifyLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// nextChange returns a channel that is closed at the next change or proof.
func (p *proofTracker) nextChange() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}
