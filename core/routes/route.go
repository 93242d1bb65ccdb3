// Package routes holds the configuration that requests are served under: which
// route a request takes, what may be repeated, who may call, and the services
// behind. A Table is immutable and safe for concurrent use; a new configuration
// is a new Table.
package routes

import (
	"slices"
	"time"
)

// Repeat says what may be done again when an answer is lost.
type Repeat int

// The kinds of repetition. The zero value is the strictest.
const (
	// AtMostOnce: a request that may have run is never sent again.
	AtMostOnce Repeat = iota
	// Idempotent: a request may run more than once.
	Idempotent
	// Resumable: an event stream may go on at another upstream after its last event.
	Resumable
)

// Regions are the regions that may process something; without any, all may.
type Regions []string

// Allow tells whether a region is among them.
func (r Regions) Allow(region string) bool {
	return len(r) == 0 || slices.Contains(r, region)
}

// Target is one service that a route sends to, with its share of the requests.
type Target struct {
	Service string
	// Weight is relative to the other targets' weights and above 0.
	Weight int
}

// Stage is work that must be done before a request itself can run.
type Stage struct {
	// Service is the pool whose upstreams do the work.
	Service string
	// After lists the stages whose results are this one's inputs, by index.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// Route is how requests of one host and path prefix are served.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Repeat Repeat
	// Stream is set if the answer is a series of events.
	Stream bool
	// Timeout bounds the whole request.
	Timeout time.Duration
	// Objective is the time until the answer, or a stream's first event, that
	// counts as on time.
	Objective time.Duration
	// StartWithin is how long clients wait for a stream's first event; 0 on other routes.
	StartWithin time.Duration
	// GapObjective is the longest pause between two events that counts as on time.
	GapObjective time.Duration
	// Priority is the rank of the route; 0 goes first.
	Priority int
	Targets  []Target
	// MaxAttempts bounds the upstreams to which one request may be sent.
	MaxAttempts int
	Stages      []Stage
	// Anonymous routes need no key.
	Anonymous bool
	// Regions are those whose upstreams may run the route's requests.
	Regions Regions
}

// Pool is how the upstreams of a stage service work.
type Pool struct {
	// Slots is how many calls an upstream works on at once, Queue how many wait.
	Slots, Queue int
	// Batch is the most items of one call.
	Batch int
	// CallTime and ItemTime are the approximate times of a call and of an item in it.
	CallTime, ItemTime time.Duration
	// RoomBytes is an upstream's room for results that were not yet freed.
	RoomBytes int64
	// KeepTime is how long a result is kept after its call if nobody frees it.
	KeepTime time.Duration
}

// Service is a group of upstreams that do the same work.
type Service struct {
	Name string
	// MaxConnections is what an upstream accepts from all processes together.
	MaxConnections int
	// ColdStart is how long an upstream is cold after its start, and ColdPerSecond how many
	// requests a second it takes while it is; 0 if it takes any number.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Pool is set for services that do stages.
	Pool *Pool
	// Engine is set for services that generate.
	Engine *Engine
}

// Engine is how a service's model engines work.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int
	// CacheTokens is the memory for running requests and cached prompt parts.
	CacheTokens int64
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name string
	// Priority replaces the route's if HasPriority is set.
	Priority    int
	HasPriority bool
	Keys        []string
	// Regions are those whose upstreams may run the workspace's requests, beside the route's.
	Regions Regions
}
