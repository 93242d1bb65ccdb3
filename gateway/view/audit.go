package view

import (
	"sync"
	"sync/atomic"
	"time"

	"acaciawinch/core/missed"
	"acaciawinch/core/replica"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// Delays from an answer of the store that names a newer revision until a watch that did not return
// the change is made again. They exceed every batch delay, so that the watch of another kind can
// return the change first.
const (
	// upstreamAuditDelay and the longest wait for an answer about the configuration leave half of the
	// 2 s after which a leaving upstream must get no new requests.
	upstreamAuditDelay = 500 * time.Millisecond
	// defaultAuditDelay leaves most of the 5 s within which an evacuation must be in force, and a crash
	// be known everywhere.
	defaultAuditDelay = time.Second
)

// audit makes watches again that missed a change. A call that the store never got, or whose answer
// was lost, looks like one that waits for a change; nothing but the answers to other calls tells
// them apart. The watch of the configuration waits so shortly that its own timeout suffices, and its
// answers show within that wait that the store has made a change of any kind.
type audit struct {
	view *View

	mu       sync.Mutex
	ledger   *missed.Ledger
	watchers []*watcher
}

// newAudit returns an audit without watchers.
func newAudit(v *View) *audit { return &audit{view: v, ledger: missed.New()} }

// start begins the audit of the watchers of a call of Read.
func (a *audit) start(watchers []*watcher) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger, a.watchers = missed.New(), watchers
}

// forget drops all revisions: they are of a store that is used no more.
func (a *audit) forget() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger = missed.New()
}

// began records that a call begins.
func (a *audit) began(kind string, after replica.Position) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Began(kind, after)
}

// answered records an answer of the store, and schedules the check of each watch that lacks a change
// of which the answer tells.
func (a *audit) answered(kind string, d replica.Delta) {
	revisions := make([]int64, len(d.Changes))
	for i, change := range d.Changes {
		revisions[i] = change.Object.Revision
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Answered(kind, d.End(), revisions)
	newest := a.ledger.Newest()
	for _, w := range a.watchers {
		if w.auditDelay > 0 && !w.auditPending && a.ledger.Missed(w.replica.name, newest) {
			w.auditPending = true
			time.AfterFunc(w.auditDelay, func() { a.check(w, newest) })
		}
	}
}

// check makes a watch again that has not returned the changes up to a revision.
func (a *audit) check(w *watcher, upTo int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w.auditPending = false
	if !a.ledger.Missed(w.replica.name, upTo) || !w.phase.mayRestart() {
		return
	}
	a.view.options.Logger.Event(event.WatchUnanswered, observe.Fields{"kind": w.replica.name, "revision": w.replica.position().Revision,
		"store_revision": upTo, "waited_ms": (clock.Boot() - w.phase.since()).Milliseconds()})
	w.verify.Store(true)
	w.restartCall()
}

// phase is what a watcher does. It is safe for concurrent use.
type phase struct {
	waits atomic.Bool
	began atomic.Int64
}

// enter records that the watcher begins to wait, for changes or after a failure.
func (p *phase) enter() {
	p.began.Store(int64(clock.Boot()))
	p.waits.Store(true)
}

// leave records that the watcher waits no more.
func (p *phase) leave() { p.waits.Store(false) }

// mayRestart reports whether the watcher waits: a call that ends soon is not made again.
func (p *phase) mayRestart() bool { return p.waits.Load() }

// since returns the boot time at which the watcher began to wait.
func (p *phase) since() time.Duration { return time.Duration(p.began.Load()) }
