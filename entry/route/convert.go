package route

import (
	"time"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/latency"
	"acaciawinch/core/routing"
	"acaciawinch/wire/wirepb"
)

// queryOf converts a need to a routing query with the time remaining.
func queryOf(need Need, remaining time.Duration) routing.Query {
	return routing.Query{
		Service:   need.Service,
		Engine:    need.Kind == config.KindEngine,
		Model:     routing.Model{Name: need.Model, Version: need.Version},
		Prefix:    need.PrefixHash,
		MaxTokens: need.MaxTokens,
		Remaining: remaining,
		Exclude:   need.Exclude,
	}
}

// responseOf converts the reply to a probe.
func responseOf(upstream routing.Upstream, reply *wirepb.ProbeReply, sent time.Time, rtt time.Duration) routing.ProbeResult {
	return routing.ProbeResult{
		Upstream:       upstream,
		Replied:        true,
		Load:           loadOf(reply.GetLoad()),
		Incarnation:    core.Incarnation(reply.GetIncarnation()),
		ClockUS:        reply.GetSideClockUs(),
		PrefixCached:   reply.GetPrefixCached(),
		QueryWait:      microseconds(reply.GetWaitUs()),
		QueryWaitKnown: true,
		SentAt:         sent,
		RTT:            rtt,
	}
}

// loadOf converts a load report. Nil is treated as an empty report.
func loadOf(load *wirepb.Load) routing.Load {
	converted := routing.Load{
		Estimate: estimateOf(load),
		Queued:   int(load.GetQueued()),
		InFlight: int(load.GetInFlight()),
		Capacity: int(load.GetCapacity()),
		Draining: load.GetDraining(),
		Stalled:  load.GetStalled(),
		Finished: load.GetFinished(),
		Failed:   load.GetFailed(),
	}
	for _, model := range load.GetModels() {
		converted.Models = append(converted.Models, routing.Model{Name: model.GetModel(), Version: model.GetVersion()})
	}
	return converted
}

// estimateOf returns the latencies of a load report.
func estimateOf(load *wirepb.Load) latency.Estimate {
	return latency.Estimate{
		Wait:          microseconds(load.GetWaitUs()),
		ServiceP50:    microseconds(load.GetServiceP50Us()),
		ServiceP95:    microseconds(load.GetServiceP95Us()),
		FirstChunkP50: microseconds(load.GetFirstP50Us()),
		FirstChunkP95: microseconds(load.GetFirstP95Us()),
		ChunkGapP95:   microseconds(load.GetGapP95Us()),
	}
}

// reportOf returns the latency report that a load report contains.
func reportOf(load *wirepb.Load, now time.Time) latency.Report {
	return latency.Report{Estimate: estimateOf(load), Finished: load.GetFinished(), At: now}
}

// microseconds converts a reported duration to a time.Duration.
func microseconds(us uint64) time.Duration { return time.Duration(us) * time.Microsecond }
