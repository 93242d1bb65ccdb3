package feed

import (
	"context"
	"sync"
	"sync/atomic"

	"acaciawinch/core"
	"acaciawinch/core/fault"
	"acaciawinch/wire/wirepb"
)

// Feed keeps one process's State up to date. It may be used by many goroutines.
type Feed struct {
	opts  Options
	state atomic.Pointer[State]

	mu      sync.Mutex
	changed chan struct{}
}

// New returns a Feed that holds nothing until Run.
func New(opts Options) *Feed {
	if opts.RelaysPerZone == 0 {
		opts.RelaysPerZone = DefaultRelaysPerZone
	}
	return &Feed{opts: opts, changed: make(chan struct{})}
}

// State returns the present state, or nil before the first one.
func (f *Feed) State() *State { return f.state.Load() }

// Changed returns a channel that is closed at the next change of the state. To
// miss none, a caller takes the channel first and the state then.
func (f *Feed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// NoteRevision tells that a message of the peer carried a revision. If it is
// above the process's own, the feed catches up at once.
func (f *Feed) NoteRevision(revision core.Revision, peerAddr string) {}

// Subscribe serves the feed of this entry to another process.
func (f *Feed) Subscribe(req *wirepb.SubscribeRequest, stream wirepb.DRPCEntry_SubscribeStream) error {
	return fault.New(fault.Unavailable, "feed.subscribe", req.Process, "not served yet")
}

// edit replaces the state by what change returns for a copy of it, and tells all
// who wait. Only one edit runs at a time.
func (f *Feed) edit(change func(*State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := State{}
	if old := f.state.Load(); old != nil {
		next = *old
	}
	change(&next)
	f.state.Store(&next)
	close(f.changed)
	f.changed = make(chan struct{})
}

// Run keeps the state up to date until ctx ends.
func (f *Feed) Run(ctx context.Context) error { return f.readDirectly(ctx) }
