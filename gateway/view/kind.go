package view

import (
	"sync"
	"time"

	"acaciawinch/core/era"
	"acaciawinch/core/replica"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
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
	logger   *observe.Logger

	mu      sync.Mutex
	replica *replica.Replica
	// seen is the era of the latest objects that the receiver has received; 0 if it has received none.
	seen int64
}

// apply brings the copy up to date and passes what is new to the receiver. It returns an error
// if changes are missing between the copy and d.
func (k *kindReplica) apply(d replica.Delta) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	before, size := k.replica.Position(), k.replica.Size()
	changed, err := k.replica.Apply(d)
	switch {
	case err != nil:
		return err
	case d.End().Before(before):
		k.logIgnored(d, before)
		return nil
	case !changed:
		return nil
	case d.Reset:
		k.enterEra(before, size)
		k.receiver.Reset(objectsOf(d.Changes))
	default:
		k.receiver.Apply(d.Changes)
	}
	k.proof.notify()
	return nil
}

// enterEra tells an EraReceiver, and the log, that the copy is of a later era than before. k.mu must
// be held.
func (k *kindReplica) enterEra(before replica.Position, size int) {
	now := k.replica.Position()
	if k.seen != 0 && now.Era != k.seen {
		k.logger.Event(event.StoreEraChanged, observe.Fields{"kind": k.name, "old_era": k.seen, "old_revision": before.Revision,
			"era": now.Era, "revision": now.Revision, "objects_before": size, "objects": k.replica.Size()})
		if receiver, asks := k.receiver.(EraReceiver); asks {
			receiver.EraChanged(now.Era)
		}
	}
	k.seen = now.Era
}

// logIgnored logs that a list, or changes of an earlier era, were ignored as older than the copy. Changes
// of the same era may come late, or twice, from two sources. k.mu must be held.
func (k *kindReplica) logIgnored(d replica.Delta, at replica.Position) {
	if !d.Reset && d.Era == at.Era {
		return
	}
	k.logger.Event(event.StoreDataIgnored, observe.Fields{"kind": k.name, "list": d.Reset, "era": d.Era, "revision": d.Revision,
		"known_era": at.Era, "known_revision": at.Revision})
}

// displace makes the next reset replace the copy, whatever its position.
func (k *kindReplica) displace() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.replica.Displace()
}

// objectsOf returns the objects of changes.
func objectsOf(changes []replica.Change) []replica.Object {
	list := make([]replica.Object, len(changes))
	for i, change := range changes {
		list[i] = change.Object
	}
	return list
}

// position returns the position of the copy, replica.Empty if it holds nothing yet.
func (k *kindReplica) position() replica.Position {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.replica.Position()
}

// listed reports whether the copy is complete.
func (k *kindReplica) listed() bool { return k.position() != replica.Empty }

// since returns the changes that a copy at a position lacks, and false if it lacks none.
func (k *kindReplica) since(position replica.Position) (replica.Delta, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.replica.Since(position)
}

// Proof is a freshness proof: this process's configuration was the store's at the time At. Unless the
// store has just returned from an older copy, this process then knows of every API key that was revoked
// up to At.
type Proof struct {
	// At is a boot time.
	At time.Duration
	// Era is the store's era in which the proof was made; 0 if the store has none. The proof counts
	// only for a configuration of that era.
	Era int64
	// Standing is whether the proof counts for keys.
	Standing era.Standing
	// Hops counts the processes that passed the proof on: 0 if the store gave it.
	Hops int
	// From is the gateway that passed the proof on, or FromStore.
	From string
}

// FromStore is the From of a proof that this process got from the store itself.
const FromStore = "store"

// proofTracker holds the newest Proofs and notifies those that wait for a proof or a change.
type proofTracker struct {
	mu sync.Mutex
	// newest is the newest proof that counts for keys. It may be of an earlier era than read, and
	// holds until it is too old: what it covers is known, as a configuration is never replaced by an
	// older one.
	newest Proof
	known  bool
	// read is the newest proof of the newest era, which may not count for keys yet.
	read      Proof
	readKnown bool
	// gapEnded is the boot time at which the last proof arrived that came later than maxProofGap after the
	// one before, or at which the last era began, if that was later.
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
	if candidate.Standing.Counts() && (!p.known || candidate.At > p.newest.At) {
		p.newest, p.known = candidate, true
		p.notifyLocked()
	}
	if p.readKnown && (candidate.Era < p.read.Era || candidate.Era == p.read.Era && candidate.At <= p.read.At) {
		return
	}
	if now := clock.Boot(); p.readKnown && now-p.read.At > maxProofGap {
		p.gapEnded = now
	}
	p.read, p.readKnown = candidate, true
	p.notifyLocked()
}

// get returns the newest proof that counts for keys, and false if there is none.
func (p *proofTracker) get() (Proof, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newest, p.known
}

// getRead returns the newest proof of the newest era, and false if there is none.
func (p *proofTracker) getRead() (Proof, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.read, p.readKnown
}

// forgetRead forgets the proofs of the present store. Those that count for keys hold until they are
// too old.
func (p *proofTracker) forgetRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.read, p.readKnown = Proof{}, false
}

// recordGap records that the store may lack entries of upstreams that run from now on.
func (p *proofTracker) recordGap() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gapEnded = clock.Boot()
}

// unbrokenFor reports whether no proof has been older than maxProofGap, and no new era has begun, for
// the given time.
func (p *proofTracker) unbrokenFor(length time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Boot()
	return p.readKnown && now-p.read.At <= maxProofGap && (p.gapEnded == 0 || now-p.gapEnded >= length)
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
