package routing

import (
	"slices"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/latency"
)

// Tier is how near an upstream is to the entry.
type Tier int

// The tiers, nearest first.
const (
	OwnZone Tier = iota
	OwnRegion
	OtherRegion
	tierCount
)

// Upstream is one member of a Picker.
type Upstream struct {
	ID      core.UpstreamID
	Service string
	// Addr is the IP:port of the upstream's sidecar.
	Addr   string
	Zone   string
	Region string
	Tier   Tier
	// hash identifies the upstream in rendezvous rankings.
	hash uint64
}

// Model names a model that an engine has loaded.
type Model struct {
	Name, Version string
}

// Load is the report of a sidecar about its upstream.
type Load struct {
	// Estimate covers the recent work of the upstream. Its ServiceP50 and ServiceP95 are
	// zero if the sidecar has no recent sample.
	latency.Estimate
	Queued, InFlight, Capacity int
	Draining, Stalled          bool
	Models                     []Model
	// Finished counts the attempts that have ended since the sidecar started, and Failed
	// those of them that failed.
	Finished, Failed uint64
}

// hasModel reports whether the engine has loaded the model. A model without a version
// matches any version, and the empty model matches any engine.
func (l Load) hasModel(model Model) bool {
	return model.Name == "" || slices.ContainsFunc(l.Models, func(loaded Model) bool {
		return loaded.Name == model.Name && (model.Version == "" || loaded.Version == model.Version)
	})
}

// occupancy returns the pending work, queued included, as a share of the capacity.
func (l Load) occupancy() float64 {
	return float64(l.Queued+l.InFlight) / float64(max(1, l.Capacity))
}

// Query describes the needs of one stage.
type Query struct {
	Service string
	// Engine is set if the stage needs Model to be loaded.
	Engine bool
	Model  Model
	// Prefix is the hash of the prompt's prefix, zero if there is none.
	Prefix uint64
	// MaxTokens bounds the number of chunks of the result, zero if unknown.
	MaxTokens int
	// Remaining is the time remaining for the stage, zero if there is no bound.
	Remaining time.Duration
	// Exclude lists upstreams that must not be chosen.
	Exclude []core.UpstreamID
}

// Obstacle returns the reason for which the probed upstream cannot take the work even if it
// is idle, or "" if there is none.
func (q Query) Obstacle(result ProbeResult) string {
	switch {
	case !result.Replied:
		return "no answer"
	case q.excludes(result.Upstream.ID):
		return "excluded"
	case result.Load.Draining:
		return "draining"
	case result.Load.Stalled:
		return "stalled"
	case q.Engine && !result.Load.hasModel(q.Model):
		return "model not loaded"
	default:
		return ""
	}
}

// excludes reports whether the query excludes an upstream.
func (q Query) excludes(id core.UpstreamID) bool { return slices.Contains(q.Exclude, id) }

// Wait returns the expected wait in the queue.
func (p ProbeResult) Wait() time.Duration {
	if p.QueryWaitKnown {
		return p.QueryWait
	}
	return p.Load.Wait
}

// ProbeResult is the result of probing one upstream.
type ProbeResult struct {
	Upstream Upstream
	// Replied is false if no reply came in time.
	Replied bool
	Load    Load
	// Incarnation identifies the sidecar process, and ClockUS is the reading of its clock
	// in microseconds.
	Incarnation core.Incarnation
	ClockUS     uint64
	// PrefixCached is set if the upstream is believed to have the prefix of the query cached.
	PrefixCached bool
	// QueryWait is the expected wait for the workspace and priority of the query, if
	// QueryWaitKnown is set. Otherwise only the wait of a workspace without pending work
	// there is known, in Load.
	QueryWait      time.Duration
	QueryWaitKnown bool
	// SentAt is when the probe was sent. Load may not include choices made since then.
	SentAt time.Time
	// RTT is the time from sending the probe to its reply.
	RTT time.Duration
}
