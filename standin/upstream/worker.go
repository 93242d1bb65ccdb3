// Package upstream is the part that all stand-in upstreams share: the HTTP
// protocol that sidecars use, the ledger of calls and the fault switches.
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

// CacheEvent reports that the engine stored or evicted a prompt prefix.
type CacheEvent struct {
	Number uint64 `json:"number"`
	Prefix uint64 `json:"prefix"`
	// Action is "stored" or "evicted".
	Action string `json:"action"`
}

// Errors of a Worker.
var (
	// ErrNotRun means that the call was rejected before it started.
	ErrNotRun = errors.New("not run")
	// ErrStaleFencing means that the order's fencing token is stale.
	ErrStaleFencing = errors.New("stale fencing token")
	// ErrNoOrders means that the upstream does not support orders.
	ErrNoOrders = errors.New("orders are not supported")
)

// Output receives the progress of a call. One goroutine calls both functions.
type Output struct {
	// Started is called once, when the work starts.
	Started func()
	// Emit is called with each chunk, in order.
	Emit func(chunk []byte) error
}

// Worker runs calls. Implementations must be safe for concurrent use.
type Worker interface {
	// Run runs call and returns the work spent on it. It fails with ErrNotRun,
	// with the error of out.Emit, or with ctx's error if the call is cancelled.
	Run(ctx context.Context, call Call, out Output) (cost uint64, err error)
	// Status returns the current state.
	Status() Status
	// Order carries out an order, or fails with ErrStaleFencing or ErrNoOrders.
	Order(order Order) error
	// CacheEvents returns the visible events whose numbers are at least cursor.
	CacheEvents(cursor uint64) []CacheEvent
}
