package view

import (
	"context"
	"time"

	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// Proof tells that a configuration was the store's newest a while ago. Processes hand theirs
// on, so that only those that others ask anyway must call the store often, and one that the
// store turns away can go on.
type Proof struct {
	Version int64
	// Age is how long ago it was so.
	Age time.Duration
}

// Timing of proofs that come from others.
const (
	// leanWait is the wait of a watch of the configuration while another process's proofs
	// come in. In a fleet of 27 gateways that saves six of ten calls of the store.
	leanWait = 10 * time.Second
	// leanFor is how long after another process's last proof its next is waited for: it
	// is asked each 0.4 s.
	leanFor = 1200 * time.Millisecond
	// askedFor is how long after another process asked for a proof this one counts on being
	// asked again, and follows the store itself.
	askedFor = 2 * time.Second
	// leanShare bounds the age of a proof that is enough by a part of the time for which
	// keys are trusted: a watch of this process's own still fits into the rest.
	leanShare = 2
	// leanCheck is how often a process that counts on others looks whether it still may.
	leanCheck = 200 * time.Millisecond
)

// GiveProof returns this process's proof for another one that asks, and false if there is
// none. From then on this process follows the store itself for a while.
func (v *View) GiveProof() (Proof, bool) {
	v.askedAt.Store(int64(clock.Boot()))
	table := v.Table()
	age, known := v.KeysAge()
	if table == nil || !known {
		return Proof{}, false
	}
	return Proof{Version: table.Version, Age: age}, true
}

// TakeProof takes the proof of another process that was asked at a boot time, and was Age
// old when it answered, which was later. It holds for this process's configuration if that
// is not older: whatever was taken away by then is in it.
func (v *View) TakeProof(proof Proof, asked time.Duration) {
	table := v.Table()
	if table == nil || table.Version < proof.Version {
		v.behind.Store(true)
		v.stopLeaning()
		return
	}
	v.behind.Store(false)
	v.prove(asked - proof.Age)
	v.provedByOtherAt.Store(int64(asked))
}

// prove records that at a boot time the configuration was the store's newest. It may be
// called by many goroutines; the latest time counts.
func (v *View) prove(at time.Duration) {
	for {
		old := v.confirmed.Load()
		if old >= int64(at) || v.confirmed.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// mayLean tells whether this process can count on the proofs of others for a while.
func (v *View) mayLean() bool {
	now := clock.Boot()
	age, known := v.KeysAge()
	return known && age < v.trustTime()/leanShare && !v.behind.Load() &&
		within(now, v.provedByOtherAt.Load(), leanFor) && !within(now, v.askedAt.Load(), askedFor)
}

// within tells whether a boot time, 0 for never, is less than a while ago.
func within(now time.Duration, at int64, while time.Duration) bool {
	return at > 0 && now-time.Duration(at) < while
}

// lean watches over a process that counts on others until ctx ends: when it may no longer,
// its long watch is replaced by a short one.
func (v *View) lean(ctx context.Context) error {
	ticker := time.NewTicker(leanCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if !v.mayLean() {
				v.stopLeaning()
			}
		}
	}
}

// stopLeaning ends a long watch of the configuration, once, and lets it be read anew: that
// proves it at once, where a short watch without changes would prove it at its end only.
func (v *View) stopLeaning() {
	if !v.leaning.CompareAndSwap(true, false) {
		return
	}
	v.relist.Store(true)
	v.config.again()
	age, _ := v.KeysAge()
	v.options.Logger.Event(event.ProofsEnded, observe.Fields{"version": v.Table().Version, "age_ms": age.Milliseconds(), "behind": v.behind.Load()})
}

// startLeaning begins a long watch.
func (v *View) startLeaning() {
	age, _ := v.KeysAge()
	v.leaning.Store(true)
	v.options.Logger.Event(event.ProofsTaken, observe.Fields{"version": v.Table().Version, "age_ms": age.Milliseconds()})
}
