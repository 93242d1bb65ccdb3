package ratelimit

import (
	"context"
	"slices"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/proof"
	core "acaciawinch/core/ratelimit"
	"acaciawinch/gateway/clock"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/wirepb"
)

const (
	// silenceTimeout is the time after which a coordinator that sends nothing is given up: it replies to each
	// vote.
	silenceTimeout = time.Second
	// linkIdleTime is how long a link without votes and asks is kept.
	linkIdleTime = 5 * time.Second
	// requestQueueSize bounds the messages queued for a slow coordinator.
	requestQueueSize = 1024
)

// coordinatorLink is the stream to a coordinator. A broken link is not reopened. The Limiter's lock
// guards its state.
type coordinatorLink struct {
	limiter *Limiter
	to      view.Member
	send    chan *wirepb.RateLimitRequest
	close   context.CancelFunc
	// requests holds the times of the votes sent; lastVoted are the services of the last of them.
	requests   proof.Follower
	lastNumber uint64
	lastVoted  []string
	// lastHeard is when the coordinator last replied, or when the link was made; usedAt is when the link last
	// carried a vote or an ask.
	lastHeard, usedAt time.Duration
}

// link returns the link to a coordinator, and opens one if there is none; nil if the coordinator is no
// member. l.mu must be held.
func (l *Limiter) link(to core.Candidate) *coordinatorLink {
	if open := l.links[to.Incarnation]; open != nil {
		return open
	}
	member, known := l.members[to.Incarnation]
	if !known {
		return nil
	}
	now := clock.Boot()
	ctx, cancel := context.WithCancel(l.options.Lifetime)
	opened := &coordinatorLink{limiter: l, to: member, send: make(chan *wirepb.RateLimitRequest, requestQueueSize), close: cancel, lastHeard: now, usedAt: now}
	l.links[to.Incarnation] = opened
	opened.vote(now, nil) // later decisions relate to the time of this vote
	go opened.run(ctx)
	return opened
}

// enqueue queues a message, or returns false if the queue is full.
func (c *coordinatorLink) enqueue(m *wirepb.RateLimitRequest) bool {
	select {
	case c.send <- m:
		return true
	default:
		return false
	}
}

// vote sends the votes on services. The Limiter's lock must be held.
func (c *coordinatorLink) vote(now time.Duration, services []string) {
	if len(services) > 0 {
		c.usedAt = now
	}
	var known []*wirepb.RateLimitSeen
	for _, service := range services {
		if !slices.Contains(c.lastVoted, service) {
			known = append(known, c.limiter.knownOf(service, c.to.Incarnation)...)
		}
	}
	c.lastNumber, c.lastVoted = c.requests.NextRequest(now), services
	c.enqueue(voteMessage(c.lastNumber, c.limiter.options.Self.Name, services, known)) // a vote that is lost lapses
}

// knownOf encodes the known limits of a service for a coordinator. l.mu must be held.
func (l *Limiter) knownOf(service, coordinator string) []*wirepb.RateLimitSeen {
	var known []*wirepb.RateLimitSeen
	for _, entry := range l.entriesOf(service, coordinator) {
		known = append(known, &wirepb.RateLimitSeen{Service: service, Entry: entryMessage(entry)})
	}
	return known
}

// entriesOf returns the known limits of a service as they are told to a coordinator. l.mu must be held.
func (l *Limiter) entriesOf(service, coordinator string) []core.Entry {
	var entries []core.Entry
	for _, upstream := range l.table.Upstreams() {
		if l.serviceOf[upstream] == service {
			entries = append(entries, l.table.Entry(upstream, coordinator))
		}
	}
	return entries
}

// run carries messages until the link breaks or is closed.
func (c *coordinatorLink) run(ctx context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	err := c.serve(ctx, cancel)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	c.limiter.linkLost(c, err)
}

// serve opens the stream and receives until it breaks.
func (c *coordinatorLink) serve(ctx context.Context, cancel context.CancelCauseFunc) error {
	conn := c.limiter.options.Dialer.Conn(ctx, c.to.Address)
	stream, err := wirepb.NewDRPCRateLimitClient(conn).Coordinate(ctx)
	if err != nil {
		return fault.Wrap(fault.Unavailable, "ratelimit.open", c.to.Name, err)
	}
	defer func() { _ = stream.Close() }() // the stream is broken or no longer needed
	go c.write(ctx, cancel, stream)
	for {
		reply, err := stream.Recv()
		if err != nil {
			return fault.Wrap(fault.Unavailable, "ratelimit.receive", c.to.Name, err)
		}
		c.handleReply(reply)
	}
}

// write sends queued messages.
func (c *coordinatorLink) write(ctx context.Context, cancel context.CancelCauseFunc, stream wirepb.DRPCRateLimit_CoordinateClient) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.send:
			if err := stream.Send(m); err != nil {
				cancel(fault.Wrap(fault.Unavailable, "ratelimit.send", c.to.Name, err))
				return
			}
		}
	}
}

// handleReply handles a reply of the coordinator.
func (c *coordinatorLink) handleReply(reply *wirepb.RateLimitReply) {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Boot()
	c.lastHeard = now
	l.candidates.Responded(c.to.Incarnation)
	switch kind := reply.GetKind().(type) {
	case *wirepb.RateLimitReply_Voted:
		c.handleVoted(kind.Voted)
	case *wirepb.RateLimitReply_Decision:
		granted, known := c.requests.Proved(reportOf(kind.Decision), now)
		l.decided(kind.Decision.GetNumber(), c.to.Incarnation, outcome{decision: decisionOf(kind.Decision), grantedAt: granted, dated: known})
	}
}

// handleVoted releases the votes that the coordinator no longer counts. The Limiter's lock must be held.
func (c *coordinatorLink) handleVoted(number uint64) {
	if number != c.lastNumber {
		return
	}
	for service, voter := range c.limiter.voters {
		if !slices.Contains(c.lastVoted, service) {
			voter.Released(c.to.Incarnation)
		}
	}
}

// linkLost drops a link that broke, and gives its asks back.
func (l *Limiter) linkLost(c *coordinatorLink, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[c.to.Incarnation] != c {
		return // it was closed, as it was not needed or silent
	}
	l.dropLink(c, clock.Boot(), err)
}

// dropLink drops a link, no longer chooses its coordinator, and gives the open asks back. l.mu must be held.
func (l *Limiter) dropLink(c *coordinatorLink, now time.Duration, err error) {
	c.close()
	delete(l.links, c.to.Incarnation)
	l.candidates.Silent(now, c.to.Incarnation)
	lost := 0
	for number, ask := range l.asks {
		if ask.to == c.to.Incarnation {
			lost++
			l.decided(number, ask.to, outcome{lost: true})
		}
	}
	l.metrics.lost.Inc(1)
	l.options.Logger.Warn(event.RateLimitLinkLost, observe.Fields{"coordinator": c.to.Name, "incarnation": c.to.Incarnation, "asks": lost,
		"silent_ms": (now - c.lastHeard).Milliseconds(), "error": err.Error()})
	l.wakeRun()
}

// dropSilentLinks drops the links to coordinators that don't respond. After a stall of this process, their
// replies may still be waiting to be read. l.mu must be held.
func (l *Limiter) dropSilentLinks(now time.Duration, stalled bool) {
	for _, c := range l.links {
		if stalled {
			c.lastHeard = now
		}
		if silent := now - c.lastHeard; silent > silenceTimeout {
			l.dropLink(c, now, fault.New(fault.Unavailable, "ratelimit.receive", c.to.Name, "silent for %v", silent))
		}
	}
}

// seenMessage encodes what a response has shown.
func seenMessage(service string, seen core.Entry) *wirepb.RateLimitRequest {
	return &wirepb.RateLimitRequest{Kind: &wirepb.RateLimitRequest_Seen{Seen: &wirepb.RateLimitSeen{Service: service, Entry: entryMessage(seen)}}}
}
