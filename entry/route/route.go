// Package route chooses the upstream for each stage of a request. The policies of
// core/routing make the decisions. This package sends the probes, records responses
// and results, and logs each choice with its alternatives.
package route

import (
	"time"

	"acaciawinch/core"
	"acaciawinch/core/config"
)

// Need describes the upstream that a stage requires.
type Need struct {
	Request core.RequestID
	Stage   string
	Service string
	// Workspace and Priority are those of the request. Upstreams report the queueing
	// time for them.
	Workspace string
	Priority  int
	Kind      config.StageKind
	// Model and Version must be loaded at the upstream; empty for stages that run on
	// no engine.
	Model, Version string
	// MaxTokens bounds the number of chunks in the output, zero if unknown.
	MaxTokens int
	// PrefixHash is the hash of the prompt's prefix, zero if there is none.
	PrefixHash uint64
	// Remaining is the time remaining for the stage. Zero means no bound.
	Remaining time.Duration
	// Exclude names upstreams that earlier attempts of the stage have used.
	Exclude []core.UpstreamID
	// Hedge is set for a second attempt that runs concurrently with the first.
	Hedge bool
}

// Choice is the upstream chosen for an attempt, with the reason.
type Choice struct {
	Upstream core.UpstreamID
	Addr     string
	Zone     string
	// Incarnation and SideClockUS are the sidecar's, from the response to the probe
	// that led to this choice.
	Incarnation    core.Incarnation
	SidecarClockUS uint64
	// Expected is the expected time from dispatch to the complete result.
	Expected     time.Duration
	PrefixCached bool
	Reason       string
	Alternatives []Alternative
}

// Alternative is an upstream that was considered and not chosen.
type Alternative struct {
	Upstream core.UpstreamID `json:"upstream"`
	Zone     string          `json:"zone"`
	// Expected is zero if the upstream is excluded or did not respond.
	Expected time.Duration `json:"expected_ns"`
	Reason   string        `json:"reason"`
}

// ResultKind is the kind of result that an attempt had at its upstream.
type ResultKind string

// Kinds of results.
const (
	// ResultOK: the complete response arrived.
	ResultOK ResultKind = "ok"
	// ResultRefused: the sidecar rejected the attempt, which has not run and will not run.
	ResultRefused ResultKind = "refused"
	// ResultFailed: the upstream responded with an error.
	ResultFailed ResultKind = "failed"
	// ResultSilent: the sidecar or its upstream stopped responding.
	ResultSilent ResultKind = "silent"
	// ResultCancelled: the entry cancelled the attempt. This says nothing about the upstream.
	ResultCancelled ResultKind = "cancelled"
)

// Result is the result of one attempt. There is exactly one for each Choice, whether
// it was dispatched or abandoned, so that the count of attempts in flight is correct.
type Result struct {
	Upstream core.UpstreamID
	Stage    string
	Kind     ResultKind
	Duration time.Duration
}
