// Package limit is the runtime of core/share: it asks the homes of workspaces'
// bounds for permits, and answers as a home.
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

// Times of a Limiter.
const (
	// moveEvery is the time between two looks whether running requests are counted
	// by the right homes.
	moveEvery = time.Second
	// releaseTimeout bounds a call that gives a permit back. A permit whose release
	// is lost ends by itself.
	releaseTimeout = time.Second
	// retryAfter is what refused callers are told.
	retryAfter = time.Second
)

// Options are what a Limiter needs.
type Options struct {
	// Self is the entry's name in the host list, Region its region.
	Self        string
	Region      string
	Incarnation core.Incarnation
	// Hosts returns the host list and its version.
	Hosts  func() ([]fleet.Host, uint64)
	Dialer *link.Dialer
	Log    *observe.Logger
	// Scope is where metrics are registered; nil drops them.
	Scope tally.Scope
}

// Limiter holds workspaces to their bounds. It may be used by many goroutines.
type Limiter struct {
	opts    Options
	metrics *metrics

	mu     sync.Mutex
	asker  *share.Asker
	ledger *share.Ledger
	// homes are those of the host list at homesVersion.
	homes        *share.Homes
	homesVersion uint64
	held         map[share.PermitID]*Permit
}

// New returns a Limiter.
func New(opts Options) *Limiter {
	return &Limiter{
		opts:    opts,
		metrics: newMetrics(opts.Scope),
		asker:   share.NewAsker(),
		ledger:  share.NewLedger(),
		held:    make(map[share.PermitID]*Permit),
	}
}

// Ask asks for a permit for a request of a workspace and returns at once. The
// deadline is the time that the request is allowed.
func (l *Limiter) Ask(request core.RequestID, workspace string, bound int, deadline time.Duration) *Permit {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Permit{
		limiter: l,
		request: request,
		bound:   bound,
		began:   time.Now(),
		decided: make(chan struct{}),
		cancel:  cancel,
		held: share.Held{
			Workspace: workspace,
			Permit:    share.PermitID(rand.Uint64()),
			End:       time.Now().Add(deadline + share.Grace),
		},
	}
	go p.search(ctx)
	return p
}

// Run lets the right homes count the running requests until ctx ends. It returns
// nil.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(moveEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.move(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// currentHomes returns the homes of the present host list. The caller holds mu.
func (l *Limiter) currentHomes() *share.Homes {
	hosts, version := l.opts.Hosts()
	if l.homes == nil || version != l.homesVersion {
		l.homes = share.NewHomes(hosts, l.opts.Region)
		l.homesVersion = version
	}
	return l.homes
}
