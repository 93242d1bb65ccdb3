package relay

import (
	"context"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/proof"
	"acaciawinch/gateway/clock"
	"acaciawinch/gateway/view"
	"acaciawinch/wire/wirepb"
)

// Timing of a link to a source.
const (
	// openTimeout bounds the time until the first update: opening a connection, a handshake
	// and, with the smallest known share of a core and 20 Mbit/s, one piece of a list.
	openTimeout = 800 * time.Millisecond
	// silenceTimeout is the time after which a source that sends nothing is given up: two of its
	// heartbeats. Together with the 2 s that a proof is old at most when a source dies, and
	// openTimeout for the next source, it stays within the 4.5 s for which keys are trusted.
	silenceTimeout = 1500 * time.Millisecond
	// requestInterval is how often the source gets a request. A proof's time is relative to a
	// request, so that clocks that drift apart by 100 µs/s add no more than 0.3 ms.
	requestInterval = 3 * time.Second
)

// sourceUpdate describes an update from a source.
type sourceUpdate struct {
	incarnation string
	// failing is set if the store does not respond to the source.
	failing bool
	// partial is set if the update holds a piece of a list.
	partial bool
	// proved is the time of the proof in the update and hops the processes through which it came to the
	// source; hasProof is set if there is one of the era of this process's configuration.
	proved   time.Duration
	hops     int
	hasProof bool
}

// link is the stream to one source. A broken link is not reopened.
type link struct {
	follower  *Follower
	source    view.Member
	requests  proof.Follower
	assembler *assembler
	stream    wirepb.DRPCFleet_FollowClient
}

// run receives updates until the link breaks or ctx ends, and returns the reason.
func (l *link) run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(openTimeout, func() {
		cancel(fault.New(fault.Unavailable, "relay.receive", l.source.Name, "no update received in time"))
	})
	defer watchdog.Stop()
	err := l.follow(ctx, watchdog)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return err
}

// follow opens the stream and applies updates.
func (l *link) follow(ctx context.Context, watchdog *time.Timer) error {
	conn := l.follower.dialer.Conn(ctx, l.source.Address)
	var err error
	if l.stream, err = wirepb.NewDRPCFleetClient(conn).Follow(ctx); err != nil {
		return fault.Wrap(fault.Unavailable, "relay.open", l.source.Name, err)
	}
	defer func() { _ = l.stream.Close() }() // the stream is no longer needed
	updates := make(chan *wirepb.FollowUpdate)
	broken := make(chan error, 1)
	go func() { broken <- l.receive(ctx, updates) }()
	if err := l.sendRequest(positionMessages(l.follower.view.Positions())); err != nil {
		return err
	}
	requestTicker := time.NewTicker(requestInterval)
	defer requestTicker.Stop()
	for {
		select {
		case err := <-broken:
			return err
		case update := <-updates:
			watchdog.Reset(silenceTimeout)
			if err := l.apply(update); err != nil {
				return err
			}
		case <-requestTicker.C:
			if err := l.sendRequest(nil); err != nil {
				return err
			}
		}
	}
}

// receive reads updates until the stream breaks.
func (l *link) receive(ctx context.Context, updates chan<- *wirepb.FollowUpdate) error {
	for {
		update, err := l.stream.Recv()
		if err != nil {
			return fault.Wrap(fault.Unavailable, "relay.receive", l.source.Name, err)
		}
		select {
		case updates <- update:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// sendRequest sends a request. The time recorded for the request is read before it is sent.
func (l *link) sendRequest(positions []*wirepb.FollowPosition) error {
	request := &wirepb.FollowRequest{Number: l.requests.NextRequest(clock.Boot()), Positions: positions, Name: l.follower.self.Name, Eras: true}
	return fault.Wrap(fault.Unavailable, "relay.send", l.source.Name, l.stream.Send(request))
}

// apply passes an update to the View and to the Follower: the era first, then the changes, then the
// proof that covers them.
func (l *link) apply(update *wirepb.FollowUpdate) error {
	received := sourceUpdate{incarnation: l.source.Incarnation, failing: update.GetFailing()}
	if err := l.hearEra(update); err != nil {
		return err
	}
	for _, m := range update.GetDeltas() {
		received.partial = received.partial || len(m.GetPiece()) > 0
		delta, whole, err := l.assembler.add(m)
		if err == nil && whole {
			err = l.follower.view.ApplyDelta(delta)
		}
		if err != nil {
			return fault.Wrap(fault.Invalid, "relay.take", l.source.Name, err)
		}
	}
	if m := update.GetProof(); m != nil {
		received.hops = int(m.GetHops())
		received.proved, received.hasProof = l.confirm(m)
	}
	l.follower.reportUpdate(received)
	return nil
}

// hearEra records the store's era that the source knows. It returns an error if the store has eras and
// the source is of an older build, which knows none: its copies and proofs may be of any era.
func (l *link) hearEra(update *wirepb.FollowUpdate) error {
	if !update.GetEras() && l.follower.view.Era() != 0 {
		return fault.New(fault.Invalid, "relay.take", l.source.Name, "the store has eras, which the source does not know")
	}
	l.follower.view.HearEra(update.GetEra())
	return nil
}

// confirm passes a proof to the View and returns its time. It returns false if the proof relates to
// no known request or is not of the era of this process's configuration.
func (l *link) confirm(m *wirepb.FollowProof) (time.Duration, bool) {
	at, known := l.requests.Proved(proofReportOf(m), clock.Boot())
	if !known {
		return 0, false
	}
	return at, l.follower.view.Confirm(proofOf(m, at, l.source.Name))
}
