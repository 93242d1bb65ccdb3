package clean

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"acaciawinch/core/config/retention"
	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/objects"
)

// passInterval is the time between two passes, retryInterval the time after a pass that
// was not completed.
const (
	passInterval  = 24 * time.Hour
	retryInterval = 15 * time.Minute
)

// ownerKey is hashed together with each entry's name to determine the owner.
const ownerKey = "config\x00"

// Options configure a Cleaner.
type Options struct {
	// Self is the entry's name in the host list.
	Self    string
	Objects objects.API
	Log     *observe.Logger
	// Scope is where metrics are registered; nil drops them.
	Scope    tally.Scope
	Settings Settings
	// Hosts returns the host list. It is empty until the list is known.
	Hosts func() []fleet.Host
	// Now is the wall clock; nil means time.Now.
	Now func() time.Time
	// Rate bounds the calls per second; 0 means Settings.CallsPerSecond.
	Rate rate.Limit
}

// Cleaner deletes configuration objects that need not be kept any longer.
type Cleaner struct {
	options Options
	limiter *rate.Limiter
	metrics *metrics
}

// New returns a Cleaner. It does nothing until Run is called.
func New(opts Options) *Cleaner {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Rate == 0 {
		opts.Rate = rate.Limit(opts.Settings.CallsPerSecond)
	}
	return &Cleaner{options: opts, limiter: rate.NewLimiter(opts.Rate, 1), metrics: newMetrics(opts.Scope)}
}

// Run makes passes while this entry is the owner, until ctx ends, or returns at once if
// the settings keep all revisions. It always returns nil.
func (c *Cleaner) Run(ctx context.Context) error {
	if c.options.Settings.Revisions == 0 {
		return nil
	}
	next := rand.N(c.options.Settings.firstPass())
	for sleep(ctx, next) {
		next = c.passIfOwner(ctx)
	}
	return nil
}

// passIfOwner makes a pass if this entry is the owner, and returns the time until the
// next call. While the host list is not known, no entry knows whether it is the owner,
// and a wait of passInterval would delay the pass by a day.
func (c *Cleaner) passIfOwner(ctx context.Context) time.Duration {
	switch {
	case len(c.options.Hosts()) == 0:
		return c.options.Settings.firstPass()
	case c.isOwner() && !c.pass(ctx):
		return retryInterval
	}
	return passInterval
}

// sleep waits for d, or until ctx ends, and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// isOwner reports whether this entry is the owner: the entry with the highest rendezvous
// weight among those that are not leaving.
func (c *Cleaner) isOwner() bool {
	owner, maxWeight := "", uint64(0)
	for _, host := range c.options.Hosts() {
		if host.Role != fleet.RoleEntry || host.Leaving {
			continue
		}
		if weight := xxhash.Sum64String(ownerKey + host.Name); owner == "" || weight > maxWeight {
			owner, maxWeight = host.Name, weight
		}
	}
	return owner != "" && owner == c.options.Self
}

// pass makes one pass and reports whether it was completed. A pass that was ended by
// ctx is neither logged nor counted: another entry continues the work.
func (c *Cleaner) pass(ctx context.Context) bool {
	machine := retention.New(c.options.Settings.policy(), c.options.Now())
	for {
		result, ended := machine.Result()
		if ended {
			c.report(result)
			return result.Outcome == retention.Done
		}
		if c.limiter.Wait(ctx) != nil {
			return false
		}
		action := machine.Next()
		c.metrics.called(action.Kind)
		reply := c.call(ctx, action)
		if ctx.Err() != nil {
			return false
		}
		machine.Handle(reply)
	}
}

// call makes one call to the object API that the protocol requests.
func (c *Cleaner) call(ctx context.Context, action retention.Action) retention.Reply {
	var reply retention.Reply
	var err error
	switch action.Kind {
	case retention.ActionGet:
		var object objects.Object
		object, err = c.options.Objects.Get(ctx, action.Key)
		reply.Value, reply.Version = object.Value, object.Version
	case retention.ActionList:
		var page []objects.Object
		page, err = c.options.Objects.List(ctx, action.Key, action.After, action.Limit)
		for _, object := range page {
			reply.Objects = append(reply.Objects, retention.Object{Key: object.Key, Value: object.Value, Version: object.Version})
		}
	case retention.ActionUpdate:
		reply.Version, err = c.options.Objects.Update(ctx, action.Key, action.Value, action.Version)
	case retention.ActionDelete:
		err = c.options.Objects.Delete(ctx, action.Key, action.Version)
	}
	if err != nil {
		reply.Code, reply.Detail = fault.CodeOf(err), err.Error()
	}
	return reply
}

// report logs and counts a pass that has ended.
func (c *Cleaner) report(r retention.Result) {
	c.metrics.ended(r)
	fields := observe.Fields{
		"outcome": string(r.Outcome), "oldest": uint64(r.Oldest), "listed": r.Listed,
		"copies": r.Copies, "parts": r.Parts, "spared": r.Spared, "detail": r.Detail,
	}
	if r.Outcome == retention.Done {
		c.options.Log.Event(event.ConfigCleaned, fields)
		return
	}
	c.options.Log.Warn(event.ConfigCleanUnfinished, fields)
}
