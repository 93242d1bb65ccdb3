package routing

import (
	"slices"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/latency"
)

// Tier tells how near an upstream is to the entry.
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
	// Addr is the IP:port of the upstream's side.
	Addr   string
	Zone   string
	Region string
	Tier   Tier
	// hash places the upstream in rendezvous rankings.
	hash uint64
}

// Model names what an engine has loaded.
type Model struct {
	Name, Version string
}

// Load is what a side reported about its upstream.
type Load struct {
	// Estimate is of the upstream's own recent work. Its ServiceP50 and ServiceP95
	// are zero if the side has no recent sample.
	latency.Estimate
	Queued, InFlight, Capacity int
	Draining, Stalled          bool
	Models                     []Model
	// Finished and Failed count attempts since the side started.
	Finished, Failed uint64
}

// holds tells whether the engine reports the model as loaded. A model without a
// version is held in any version, and the empty model by everybody.
func (l Load) holds(model Model) bool {
	return model.Name == "" || slices.ContainsFunc(l.Models, func(loaded Model) bool {
		return loaded.Name == model.Name && (model.Version == "" || loaded.Version == model.Version)
	})
}

// occupancy is the work held, queued included, as a share of the capacity.
func (l Load) occupancy() float64 {
	return float64(l.Queued+l.InFlight) / float64(max(1, l.Capacity))
}

// Query is what one stage asks for.
type Query struct {
	Service string
	// Engine is set if the stage needs Model to be loaded.
	Engine bool
	Model  Model
	// Prefix is the hash of the prompt's prefix, zero if there is none.
	Prefix uint64
	// MaxTokens bounds the answer's chunks, zero if unknown.
	MaxTokens int
	// Remaining is the time left for the stage, zero if there is no bound.
	Remaining time.Duration
	// Exclude names upstreams that must not be chosen.
	Exclude []core.UpstreamID
}

// Obstacle says why the upstream that gave an answer can take no work whatever
// its load, or "" if it can.
func (q Query) Obstacle(answer Answer) string {
	switch {
	case !answer.Answered:
		return "no answer"
	case q.excludes(answer.Upstream.ID):
		return "excluded"
	case answer.Load.Draining:
		return "draining"
	case answer.Load.Stalled:
		return "stalled"
	case q.Engine && !answer.Load.holds(q.Model):
		return "model not loaded"
	default:
		return ""
	}
}

// excludes tells whether the query rules an upstream out.
func (q Query) excludes(id core.UpstreamID) bool { return slices.Contains(q.Exclude, id) }

// wait returns the expected wait in the queue.
func (a Answer) wait() time.Duration {
	if a.Asked {
		return a.OwnWait
	}
	return a.Load.Wait
}

// Answer is what came of asking one upstream.
type Answer struct {
	Upstream Upstream
	// Answered is false if no answer came in time.
	Answered     bool
	Load         Load
	Incarnation  core.Incarnation
	ClockUS      uint64
	PrefixCached bool
	// OwnWait is the expected wait of the query's own workspace and priority, if Asked
	// is set. Else only that of a workspace without work there is known, in Load.
	OwnWait time.Duration
	Asked   bool
	// SentAt is when the probe was sent. Choices made since then may not be in Load.
	SentAt time.Time
	// RTT is the time from sending the probe to its answer.
	RTT time.Duration
}
