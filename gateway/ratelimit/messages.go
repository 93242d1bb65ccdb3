package ratelimit

import (
	"time"

	"acaciawinch/core/proof"
	core "acaciawinch/core/ratelimit"
	"acaciawinch/core/routes"
	"acaciawinch/wire/wirepb"
)

// keyOf returns the incarnation of an upstream.
func keyOf(upstream routes.Upstream) core.Upstream {
	return core.Upstream{ID: upstream.ID, Incarnation: upstream.Incarnation}
}

// entryMessage encodes a limit.
func entryMessage(e core.Entry) *wirepb.RateLimitEntry {
	return &wirepb.RateLimitEntry{Upstream: e.Upstream.ID, Incarnation: e.Upstream.Incarnation, Limited: e.Named.Limited, PerSecond: e.Named.PerSecond, Version: e.Version}
}

// entryOf decodes a limit.
func entryOf(m *wirepb.RateLimitEntry) core.Entry {
	return core.Entry{
		Upstream: core.Upstream{ID: m.GetUpstream(), Incarnation: m.GetIncarnation()},
		Named:    core.Named{Limited: m.GetLimited(), PerSecond: m.GetPerSecond()},
		Version:  m.GetVersion(),
	}
}

// entryMessages encodes limits.
func entryMessages(list []core.Entry) []*wirepb.RateLimitEntry {
	messages := make([]*wirepb.RateLimitEntry, len(list))
	for i, entry := range list {
		messages[i] = entryMessage(entry)
	}
	return messages
}

// entriesOf decodes limits.
func entriesOf(messages []*wirepb.RateLimitEntry) []core.Entry {
	list := make([]core.Entry, len(messages))
	for i, m := range messages {
		list[i] = entryOf(m)
	}
	return list
}

// askMessage encodes an ask.
func askMessage(a core.Ask) *wirepb.RateLimitRequest {
	return &wirepb.RateLimitRequest{Kind: &wirepb.RateLimitRequest_Ask{Ask: &wirepb.RateLimitAsk{
		Number:    a.Number,
		Service:   a.Service,
		Upstreams: entryMessages(a.Upstreams),
		Rank:      int32(a.Rank),
		Value:     a.Value,
		WaitMs:    uint32(a.Wait.Milliseconds()),
		Optional:  a.Optional,
		Returns:   a.Returns,
		Preview:   a.Preview,
	}}}
}

// askOf decodes an ask of a session.
func askOf(session string, m *wirepb.RateLimitAsk) core.Ask {
	return core.Ask{
		Ticket:    core.Ticket{Gateway: session, Number: m.GetNumber()},
		Service:   m.GetService(),
		Upstreams: entriesOf(m.GetUpstreams()),
		Rank:      int(m.GetRank()),
		Value:     m.GetValue(),
		Wait:      time.Duration(m.GetWaitMs()) * time.Millisecond,
		Optional:  m.GetOptional(),
		Returns:   m.GetReturns(),
		Preview:   m.GetPreview(),
	}
}

// decisionMessage encodes a decision, whose time a report holds.
func decisionMessage(d core.Decision, report proof.Report) *wirepb.RateLimitReply {
	return &wirepb.RateLimitReply{Kind: &wirepb.RateLimitReply_Decision{Decision: &wirepb.RateLimitDecision{
		Number:       d.Ticket.Number,
		Granted:      d.Granted,
		Entry:        entryMessage(d.Entry),
		Vote:         report.Number,
		AfterUs:      report.After.Microseconds(),
		RetryAfterMs: uint32(d.RetryAfter.Milliseconds()),
		WaitedMs:     uint32(d.Waited.Milliseconds()),
		Ahead:        uint32(d.Ahead),
	}}}
}

// decisionOf decodes a decision without its time.
func decisionOf(m *wirepb.RateLimitDecision) core.Decision {
	return core.Decision{
		Granted:    m.GetGranted(),
		Entry:      entryOf(m.GetEntry()),
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
		Waited:     time.Duration(m.GetWaitedMs()) * time.Millisecond,
		Ahead:      int(m.GetAhead()),
	}
}

// reportOf decodes the time of a decision. The lost fraction of a microsecond makes it appear older.
func reportOf(m *wirepb.RateLimitDecision) proof.Report {
	return proof.Report{Number: m.GetVote(), After: time.Duration(m.GetAfterUs()-1) * time.Microsecond}
}

// voteMessage encodes votes, and limits that their receiver may not know.
func voteMessage(number uint64, gateway string, services []string, known []*wirepb.RateLimitSeen) *wirepb.RateLimitRequest {
	return &wirepb.RateLimitRequest{Kind: &wirepb.RateLimitRequest_Vote{Vote: &wirepb.RateLimitVote{Number: number, Gateway: gateway, Services: services, Known: known}}}
}
