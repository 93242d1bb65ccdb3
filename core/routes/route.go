// Package routes holds the configuration of the gateways: the route of a request, what may
// be retried, who may call, and the services and their upstreams. A Table is immutable and
// safe for concurrent use; a new configuration is a new Table.
package routes

import (
	"slices"
	"time"
)

// RetryPolicy is the retry policy for requests whose response was lost. The zero value is the
// strictest.
type RetryPolicy int

const (
	// AtMostOnce means that a request that may have run is never sent again.
	AtMostOnce RetryPolicy = iota
	// Idempotent means that a request may run more than once.
	Idempotent
	// Resumable means that an event stream may be resumed at another upstream after its last
	// event.
	Resumable
)

// Regions is a list of the regions that may process a request; an empty list allows all.
type Regions []string

// Allow reports whether a region is allowed.
func (r Regions) Allow(region string) bool {
	return len(r) == 0 || slices.Contains(r, region)
}

// Target is one service that a route sends to, with its share of the requests.
type Target struct {
	Service string
	// Weight is relative to the other targets' weights and above 0.
	Weight int
}

// Stage is a step of work that must be done before the request itself can run.
type Stage struct {
	// Service is the pool whose upstreams do the work.
	Service string
	// After lists the indexes of the stages whose results are the inputs of this stage.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// Route configures how requests of one host and path prefix are served.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix      string
	RetryPolicy RetryPolicy
	// Stream is set if the response is a stream of events.
	Stream bool
	// Timeout bounds the whole request.
	Timeout time.Duration
	// Objective is the latency objective for the response, or for the first event of a stream.
	Objective time.Duration
	// StartWithin is how long clients wait for a stream's first event; 0 on other routes.
	StartWithin time.Duration
	// GapObjective is the latency objective for the time between two events of a stream.
	GapObjective time.Duration
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts bounds the upstreams to which one request may be sent.
	MaxAttempts int
	Stages      []Stage
	// Anonymous routes need no API key.
	Anonymous bool
	// Regions are the regions whose upstreams may run the route's requests.
	Regions Regions
}

// CanResume reports whether a stream of the route may be resumed at another upstream.
func (r *Route) CanResume() bool { return r.Stream && r.RetryPolicy == Resumable }

// Pool describes the upstreams of a stage service.
type Pool struct {
	// Slots is how many calls an upstream runs at once, Queue how many can wait there.
	Slots, Queue int
	// Batch is the maximum number of items in a call.
	Batch int
	// CallTime is the approximate fixed time of a call, ItemTime the additional time per item.
	CallTime, ItemTime time.Duration
	// RoomBytes is an upstream's capacity for results that are not freed yet.
	RoomBytes int64
	// KeepTime is how long a result is stored after its call unless it is freed earlier.
	KeepTime time.Duration
}

// Service is a group of upstreams that do the same work.
type Service struct {
	Name string
	// MaxConnections is how many connections an upstream accepts from all processes together.
	MaxConnections int
	// ColdStart is how long an upstream is cold after its start, and ColdPerSecond how many
	// requests a second a cold upstream takes; 0 if it takes any number.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Pool is set for services whose upstreams run stages.
	Pool *Pool
	// Engine is set for services whose upstreams are model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int
	// CacheTokens is the memory, in tokens, for running requests and cached prompt prefixes.
	CacheTokens int64
}

// Limits bounds the requests of clients.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a customer with its API keys.
type Workspace struct {
	Name string
	// Priority replaces the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	Keys        []string
	// Regions are the regions whose upstreams may run the workspace's requests. The regions of
	// the route apply as well.
	Regions Regions
}
