// Package fairshare measures how the items that a pool serves are divided between workspaces. It finds
// the workspaces with more than their share, so that a burst of one large workspace does not take
// the pool from the others.
//
// The package does no I/O and reads no clock. It is not safe for concurrent use.
package fairshare

import (
	"math"
	"time"
)

const (
	// window is the time that the shares cover: some ten calls of an upstream.
	window = 5 * time.Second
	// decayTime is the time constant of the counts. The mean age of what they hold is that of the
	// items of a window.
	decayTime = window / 2
	// overFactor is how many times its equal share a workspace may have. Shares differ by some tens
	// of percent by chance when few calls are in the window.
	overFactor = 2
	// maxWorkspaces bounds the workspaces that are kept, at some 100 bytes each: at 810 requests a
	// second, no more can have work within the window. Others are treated as within their share.
	maxWorkspaces = 4096
	// sweepInterval is the time between two removals of workspaces without recent work.
	sweepInterval = time.Second
)

// Shares holds the recent work of workspaces at one pool.
type Shares struct {
	workspaces map[string]*recent
	total      count
	lastSweep  time.Time
}

// recent is the recent work of one workspace.
type recent struct {
	served count
	// lastWork is when the workspace last had work: waiting or served.
	lastWork time.Time
}

// count is a number of items that decays with time.
type count struct {
	items float64
	at    time.Time
}

// value returns the count at a time.
func (c *count) value(now time.Time) float64 {
	if age := now.Sub(c.at); age > 0 {
		return c.items * math.Exp(-float64(age)/float64(decayTime))
	}
	return c.items
}

// add adds items to the count.
func (c *count) add(items int, now time.Time) {
	c.items = c.value(now) + float64(items)
	c.at = now
}

// New returns Shares without work.
func New() *Shares { return &Shares{workspaces: make(map[string]*recent)} }

// Waiting records that a workspace has work at the pool. A workspace that gets nothing counts as one
// of those that the pool is shared between.
func (s *Shares) Waiting(workspace string, now time.Time) { s.recentOf(workspace, now) }

// Served records that items of a workspace are served.
func (s *Shares) Served(workspace string, items int, now time.Time) {
	if r := s.recentOf(workspace, now); r != nil {
		r.served.add(items, now)
		s.total.add(items, now)
	}
}

// OverShare reports whether a workspace got more than overFactor times its equal share of the items
// within the window. No workspace is over its share unless there are others.
func (s *Shares) OverShare(workspace string, now time.Time) bool {
	s.sweep(now)
	r := s.workspaces[workspace]
	if r == nil || len(s.workspaces) < 2 {
		return false
	}
	return r.served.value(now)*float64(len(s.workspaces)) > overFactor*s.total.value(now)
}

// recentOf returns the entry of a workspace that has work now; nil for requests without a workspace, or
// if there are too many.
func (s *Shares) recentOf(workspace string, now time.Time) *recent {
	if workspace == "" {
		return nil
	}
	s.sweep(now)
	r := s.workspaces[workspace]
	if r == nil && len(s.workspaces) >= maxWorkspaces {
		return nil
	}
	if r == nil {
		r = &recent{}
		s.workspaces[workspace] = r
	}
	r.lastWork = now
	return r
}

// sweep removes the workspaces that had no work within the window, with their items.
func (s *Shares) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = now
	for name, r := range s.workspaces {
		if now.Sub(r.lastWork) > window {
			s.total.add(0, now)
			s.total.items = max(0, s.total.items-r.served.value(now))
			delete(s.workspaces, name)
		}
	}
}
