package ratelimit

import (
	"context"
	"fmt"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/proof"
	core "acaciawinch/core/ratelimit"
	"acaciawinch/gateway/clock"
	"acaciawinch/wire/wirepb"
)

// localSession is the session of this process's own asks.
const localSession = ""

// replyQueueSize bounds the replies queued for a slow gateway. The stream of a gateway that falls further
// behind is closed; it then asks another coordinator.
const replyQueueSize = 1024

// Server serves a Limiter to the other gateways.
type Server struct {
	wirepb.DRPCRateLimitUnimplementedServer
	limiter *Limiter
}

// NewServer returns a Server for a Limiter.
func NewServer(limiter *Limiter) *Server { return &Server{limiter: limiter} }

// session is the stream of another gateway. The Limiter's lock guards its state.
type session struct {
	name    string
	source  proof.Source
	replies chan *wirepb.RateLimitReply
	cancel  context.CancelFunc
}

// Coordinate implements wirepb.DRPCRateLimitServer: it serves the votes and asks of one gateway until the
// stream ends.
func (s *Server) Coordinate(stream wirepb.DRPCRateLimit_CoordinateStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	from := s.limiter.open(cancel)
	if from == nil {
		return fault.New(fault.Refused, "ratelimit.coordinate", "", "the gateway is leaving")
	}
	defer s.limiter.end(from)
	go from.send(ctx, stream)
	for {
		request, err := stream.Recv()
		if err != nil || ctx.Err() != nil {
			return nil // a stream normally ends when the gateway closes it
		}
		s.limiter.handle(from, request)
	}
}

// Notice implements wirepb.DRPCRateLimitServer: it takes the limits that a coordinator knows.
func (s *Server) Notice(_ context.Context, m *wirepb.RateLimitNotice) (*wirepb.RateLimitNoticeReply, error) {
	s.limiter.noticed(m.GetService(), m.GetIncarnation(), entriesOf(m.GetEntries()))
	return &wirepb.RateLimitNoticeReply{}, nil
}

// send writes replies until ctx ends or the stream breaks.
func (s *session) send(ctx context.Context, stream wirepb.DRPCRateLimit_CoordinateStream) {
	defer s.cancel()
	for {
		select {
		case <-ctx.Done():
			_ = stream.Close() // the gateway asks another coordinator
			return
		case reply := <-s.replies:
			if err := stream.Send(reply); err != nil {
				return // the gateway is gone; Recv ends as well
			}
		}
	}
}

// reply queues a reply, and ends the session if the queue is full.
func (s *session) reply(m *wirepb.RateLimitReply) {
	select {
	case s.replies <- m:
	default:
		s.cancel()
	}
}

// open starts a session, or returns nil if this process is leaving.
func (l *Limiter) open(cancel context.CancelFunc) *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		return nil
	}
	l.lastSession++
	s := &session{name: fmt.Sprint(l.lastSession), replies: make(chan *wirepb.RateLimitReply, replyQueueSize), cancel: cancel}
	l.sessions[s.name] = s
	return s
}

// end drops the asks of a session.
func (l *Limiter) end(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, s.name)
	l.coordinator.Leave(s.name)
}

// handle handles a message of another gateway.
func (l *Limiter) handle(from *session, request *wirepb.RateLimitRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Boot()
	switch kind := request.GetKind().(type) {
	case *wirepb.RateLimitRequest_Vote:
		from.source.Received(kind.Vote.GetNumber(), now)
		l.coordinator.Vote(now, kind.Vote.GetGateway(), kind.Vote.GetServices())
		from.reply(&wirepb.RateLimitReply{Kind: &wirepb.RateLimitReply_Voted{Voted: kind.Vote.GetNumber()}})
		l.active.Store(true)
		for _, known := range kind.Vote.GetKnown() {
			if l.coordinator.Learn(now, known.GetService(), []core.Entry{entryOf(known.GetEntry())}) {
				l.notify(known.GetService())
			}
		}
	case *wirepb.RateLimitRequest_Ask:
		l.handleAsk(askOf(from.name, kind.Ask))
		return
	case *wirepb.RateLimitRequest_Cancel:
		l.coordinator.Cancel(now, core.Ticket{Gateway: from.name, Number: kind.Cancel})
	case *wirepb.RateLimitRequest_Unused:
		l.coordinator.Unused(now, core.Ticket{Gateway: from.name, Number: kind.Unused})
	case *wirepb.RateLimitRequest_Seen:
		l.active.Store(true)
		if l.coordinator.Observe(now, kind.Seen.GetService(), entryOf(kind.Seen.GetEntry())) {
			l.notify(kind.Seen.GetService())
		}
	}
	l.advanceLocked(now)
}

// handleAsk queues an ask and makes the decisions that can be made. l.mu must be held.
func (l *Limiter) handleAsk(ask core.Ask) {
	now := clock.Boot()
	if l.coordinator.Ask(now, ask) {
		l.active.Store(true)
		l.notify(ask.Service)
	}
	l.advanceLocked(now)
}

// advance makes the decisions that are due.
func (l *Limiter) advance() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceLocked(clock.Boot())
}

// advanceLocked makes the decisions that can be made and sends them. l.mu must be held.
func (l *Limiter) advanceLocked(now time.Duration) {
	for _, decision := range l.coordinator.Advance(now) {
		if decision.Ticket.Gateway == localSession {
			l.decided(decision.Ticket.Number, l.options.Self.Incarnation, outcome{decision: decision, grantedAt: decision.At, dated: true})
		} else if to := l.sessions[decision.Ticket.Gateway]; to != nil {
			to.reply(decisionMessage(decision, to.source.Report(decision.At)))
		}
	}
	if next, queued := l.coordinator.NextAt(now); queued {
		l.advanceTimer.Reset(max(next-now, time.Millisecond))
	}
}
