// Package route chooses the upstream for each stage of a request. The decisions
// are those of core/routing; this package sends the probes, keeps what was
// learnt and logs each choice with its alternatives.
package route

import (
	"time"

	"acaciawinch/core"
	"acaciawinch/core/config"
)

// Need is what a stage asks of an upstream.
type Need struct {
	Request core.RequestID
	Stage   string
	Service string
	// Workspace and Priority are the request's; the upstreams tell its own wait.
	Workspace string
	Priority  int
	Kind      config.StageKind
	// Model and Version must be loaded; empty for stages that are no engine's.
	Model, Version string
	// MaxTokens bounds the answer's chunks, zero if unknown.
	MaxTokens int
	// PrefixHash is the hash of the prompt's prefix, zero if it has none.
	PrefixHash uint64
	// Remaining is the time left for the stage. Zero means no bound.
	Remaining time.Duration
	// Exclude names upstreams that earlier attempts of the stage have used.
	Exclude []core.UpstreamID
	// Hedge is set for a second attempt that runs beside the first.
	Hedge bool
}

// Choice is the upstream chosen for an attempt, and why.
type Choice struct {
	Upstream core.UpstreamID
	Addr     string
	Zone     string
	// Incarnation and SideClockUS are the side's, from the probe that chose it.
	Incarnation core.Incarnation
	SideClockUS uint64
	// Expected is the time from dispatch to the whole result.
	Expected     time.Duration
	PrefixCached bool
	Reason       string
	Alternatives []Alternative
}

// Alternative is an upstream that was weighed and not chosen.
type Alternative struct {
	Upstream core.UpstreamID `json:"upstream"`
	Zone     string          `json:"zone"`
	// Expected is zero if the upstream is excluded or did not answer.
	Expected time.Duration `json:"expected_ns"`
	Reason   string        `json:"reason"`
}

// ResultKind tells how an attempt ended at its upstream.
type ResultKind string

// The ends of attempts.
const (
	// ResultOK: the whole answer came.
	ResultOK ResultKind = "ok"
	// ResultRefused: the side answered that it did not and will not run it.
	ResultRefused ResultKind = "refused"
	// ResultFailed: the upstream answered with an error.
	ResultFailed ResultKind = "failed"
	// ResultSilent: the side or its upstream stopped answering.
	ResultSilent ResultKind = "silent"
	// ResultCancelled: the entry ended the attempt; it tells nothing of the upstream.
	ResultCancelled ResultKind = "cancelled"
)

// Result is the end of one attempt. There is exactly one for each Choice that
// was dispatched or given up, so that attempts in flight are counted right.
type Result struct {
	Upstream core.UpstreamID
	Stage    string
	Kind     ResultKind
	Duration time.Duration
}
