// Package limit enforces the limits on the requests in flight of each workspace over the
// whole fleet. The protocol is package core/share; this package makes its calls.
//
// The limit of a workspace is called its bound. It is divided into parts, and each part
// has a home: an entry, determined from the host list, that counts the requests in
// flight in a ledger. If the home does not respond, its deputy counts them instead. An
// entry needs a permit of a home to run a request. If no home responds, it runs requests
// without a permit, unchecked, up to its own even share of the bound.
package limit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"acaciawinch/core"
	"acaciawinch/core/fleet"
	"acaciawinch/core/share"
	"acaciawinch/observe"
	"acaciawinch/wire/link"
)

// Intervals and timeouts of a Limiter.
const (
	// homeCheckInterval is the time between two checks whether the running requests are counted
	// by the homes that the current host list gives them.
	homeCheckInterval = time.Second
	// releaseTimeout bounds a call that releases a permit. A permit whose release is
	// lost expires.
	releaseTimeout = time.Second
	// retryAfter is the retry delay that refused callers are given.
	retryAfter = time.Second
)

// Options configure a Limiter.
type Options struct {
	// Self is the entry's name in the host list, Region its region.
	Self   string
	Region string
	// Incarnation identifies this start of the entry's process. Other entries recognize
	// by it that the ledger of a home is new.
	Incarnation core.Incarnation
	// Hosts returns the host list and its version.
	Hosts  func() ([]fleet.Host, uint64)
	Dialer *link.Dialer
	Log    *observe.Logger
	// Scope is where metrics are registered; nil drops them.
	Scope tally.Scope
}

// Limiter enforces the bounds of workspaces. It is safe for concurrent use.
type Limiter struct {
	opts    Options
	metrics *metrics

	mu     sync.Mutex
	client *share.Client
	ledger *share.Ledger
	// homes are the homes according to the host list at homesVersion.
	homes        *share.Homes
	homesVersion uint64
	// running holds the permits of the running requests.
	running map[share.PermitID]*Permit
}

// New returns a Limiter.
func New(opts Options) *Limiter {
	return &Limiter{
		opts:    opts,
		metrics: newMetrics(opts.Scope),
		client:  share.NewClient(),
		ledger:  share.NewLedger(),
		running: make(map[share.PermitID]*Permit),
	}
}

// Acquire starts to acquire a permit for a request of a workspace and returns at once;
// see Permit.Decided. The deadline is the time within which the request must complete.
func (l *Limiter) Acquire(request core.RequestID, workspace string, bound int, deadline time.Duration) *Permit {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Permit{
		limiter: l,
		request: request,
		bound:   bound,
		start:   time.Now(),
		decided: make(chan struct{}),
		cancel:  cancel,
		held: share.Held{
			Workspace: workspace,
			Permit:    share.PermitID(rand.Uint64()),
			ExpiresAt: time.Now().Add(deadline + share.Grace),
		},
	}
	go p.search(ctx)
	return p
}

// Run makes the homes that the current host list gives the running requests count them,
// checking at intervals until ctx ends. It always returns nil.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(homeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.changeHomes(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// currentHomes returns the homes according to the current host list. The caller holds
// mu.
func (l *Limiter) currentHomes() *share.Homes {
	hosts, version := l.opts.Hosts()
	if l.homes == nil || version != l.homesVersion {
		l.homes = share.NewHomes(hosts, l.opts.Region)
		l.homesVersion = version
	}
	return l.homes
}
