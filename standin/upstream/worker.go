// Package upstream is the part that all stand-in upstreams share: the HTTP
// protocol that side processes speak to them, the ledger and the fault switches.
package upstream

import (
	"context"
	"errors"
)

// Call is the body of POST /v1/run.
type Call struct {
	ID        string   `json:"id"`
	Workspace string   `json:"workspace"`
	Model     string   `json:"model"`
	Version   string   `json:"version"`
	Prefix    uint64   `json:"prefix"`
	Priority  int      `json:"priority"`
	MaxTokens int      `json:"max_tokens"`
	Input     []byte   `json:"input"`
	Resume    [][]byte `json:"resume"`
}

// Status is the body of GET /v1/status.
type Status struct {
	InFlight    int      `json:"in_flight"`
	Capacity    int      `json:"capacity"`
	Leaving     bool     `json:"leaving"`
	Models      []string `json:"models"`
	LastFencing uint64   `json:"last_fencing"`
}

// Order is the body of POST /v1/orders.
type Order struct {
	Fencing uint64 `json:"fencing"`
	// Action is "load" or "unload".
	Action  string `json:"action"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// CacheEvent tells that the engine stored or evicted a prompt prefix.
type CacheEvent struct {
	Number uint64 `json:"number"`
	Prefix uint64 `json:"prefix"`
	// Action is "stored" or "evicted".
	Action string `json:"action"`
}

// Errors of a Worker.
var (
	// ErrNotRun means that the call was refused and did not start.
	ErrNotRun = errors.New("not run")
	// ErrStaleFencing means that the order's fencing number is too old.
	ErrStaleFencing = errors.New("stale fencing number")
	// ErrNoOrders means that the upstream takes no orders.
	ErrNoOrders = errors.New("takes no orders")
)

// Output receives what a call does. Both functions are called by one goroutine.
type Output struct {
	// Started is called once, when the work begins.
	Started func()
	// Emit is called with each chunk, in order.
	Emit func(chunk []byte) error
}

// Worker carries out calls. It is used by many goroutines.
type Worker interface {
	// Run carries out call and returns the work spent. It fails with ErrNotRun,
	// or with ctx's error when the call is cancelled.
	Run(ctx context.Context, call Call, out Output) (cost uint64, err error)
	// Status returns the state at this moment.
	Status() Status
	// Order obeys an order or fails with ErrStaleFencing or ErrNoOrders.
	Order(order Order) error
	// CacheEvents returns the events from cursor on that are known by now.
	CacheEvents(cursor uint64) []CacheEvent
}
