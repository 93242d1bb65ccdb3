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
	// openTimeout bounds the time until the first word: opening a connection, a handshake
	// and, at the least known share of a core and 20 Mbit/s, a piece of a list.
	openTimeout = 800 * time.Millisecond
	// silentAfter is when a source that says nothing is given up: two of its beats. With the
	// 2 s that a proof is old at the most when a source dies, and openTimeout for the next
	// one, that stays within the 4.5 s for which keys are trusted.
	silentAfter = 1500 * time.Millisecond
	// askEvery is how often the source gets a request: a proof's time relates to one, so that
	// clocks that run apart by 100 µs/s add no more than 0.3 ms.
	askEvery = 3 * time.Second
)

// heard tells of a word of the source.
type heard struct {
	incarnation string
	// failing is set if the store does not answer the source.
	failing bool
	// partial is set if more of a list is to come.
	partial bool
	// proof is known if the source told one.
	proof view.Proof
	known bool
}

// link is the stream to one source. It ends for good when it breaks.
type link struct {
	follower *Follower
	source   view.Member
	asks     proof.Follower
	gatherer *gatherer
	stream   wirepb.DRPCFleet_FollowClient
}

// run takes the source's words until the link breaks or ctx ends, and returns why.
func (l *link) run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(openTimeout, func() {
		cancel(fault.New(fault.Unavailable, "relay.receive", l.source.Name, "no word in time"))
	})
	defer silence.Stop()
	err := l.follow(ctx, silence)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return err
}

// follow opens the stream and takes what comes.
func (l *link) follow(ctx context.Context, silence *time.Timer) error {
	conn := l.follower.dialer.Conn(ctx, l.source.Address)
	var err error
	if l.stream, err = wirepb.NewDRPCFleetClient(conn).Follow(ctx); err != nil {
		return fault.Wrap(fault.Unavailable, "relay.open", l.source.Name, err)
	}
	defer func() { _ = l.stream.Close() }() // what is left of the stream is of no use
	words := make(chan *wirepb.FollowUpdate)
	broken := make(chan error, 1)
	go func() { broken <- l.receive(ctx, words) }()
	if err := l.ask(positionMessages(l.follower.view.Positions())); err != nil {
		return err
	}
	asking := time.NewTicker(askEvery)
	defer asking.Stop()
	for {
		select {
		case err := <-broken:
			return err
		case update := <-words:
			silence.Reset(silentAfter)
			if err := l.take(update); err != nil {
				return err
			}
		case <-asking.C:
			if err := l.ask(nil); err != nil {
				return err
			}
		}
	}
}

// receive reads updates until the stream breaks.
func (l *link) receive(ctx context.Context, words chan<- *wirepb.FollowUpdate) error {
	for {
		update, err := l.stream.Recv()
		if err != nil {
			return fault.Wrap(fault.Unavailable, "relay.receive", l.source.Name, err)
		}
		select {
		case words <- update:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// ask sends a request; the time noted for it is that before the sending.
func (l *link) ask(positions []*wirepb.FollowPosition) error {
	request := &wirepb.FollowRequest{Number: l.asks.Ask(clock.Boot()), Positions: positions, Name: l.follower.self.Name}
	return fault.Wrap(fault.Unavailable, "relay.send", l.source.Name, l.stream.Send(request))
}

// take hands an update to the View: the changes first, then the proof that holds for them.
func (l *link) take(update *wirepb.FollowUpdate) error {
	word := heard{incarnation: l.source.Incarnation, failing: update.GetFailing()}
	for _, m := range update.GetDeltas() {
		word.partial = word.partial || len(m.GetPiece()) > 0
		delta, whole, err := l.gatherer.take(m)
		if err == nil && whole {
			err = l.follower.view.Take(delta)
		}
		if err != nil {
			return fault.Wrap(fault.Invalid, "relay.take", l.source.Name, err)
		}
	}
	if m := update.GetProof(); m != nil {
		var at time.Duration
		at, word.known = l.asks.Proved(wordOf(m), clock.Boot())
		word.proof = view.Proof{At: at, Hops: int(m.GetHops())}
	}
	if word.known {
		l.follower.view.Confirm(view.Proof{At: word.proof.At, Hops: word.proof.Hops + 1, From: l.source.Name})
	}
	l.follower.tell(word)
	return nil
}
