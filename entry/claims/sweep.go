package claims

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"acaciawinch/core/claim"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/objects"
)

// Pace of the expiry of claims.
const (
	// DefaultSweepRate bounds the calls to the store a second.
	DefaultSweepRate = 20
	// sweepPage is how many claims one call lists. A claim holds up to 700 KB.
	sweepPage = 20
	// sweepIdle is the pause behind a pass, and between looks at whether this
	// process has the duty.
	sweepIdle = 10 * time.Second
)

// SweeperOptions are the parts of a Sweeper.
type SweeperOptions struct {
	Objects objects.API
	Log     *observe.Logger
	// Holding tells whether this process has the duty. Two that have it at once
	// do no harm, because deletions are conditional.
	Holding func() bool
	// Rate bounds the calls a second; zero means DefaultSweepRate.
	Rate float64
	// Now is the wall clock; nil means time.Now.
	Now func() time.Time
	// Idle is the pause behind a pass; zero means ten seconds.
	Idle time.Duration
}

// Sweeper deletes claims that are older than the retention.
type Sweeper struct {
	options SweeperOptions
	limiter *rate.Limiter
	expiry  claim.Expiry
}

// pass counts what one pass over all claims did.
type pass struct {
	listed, deleted, failed int
}

// NewSweeper returns a Sweeper that does nothing until Run.
func NewSweeper(opts SweeperOptions) *Sweeper {
	if opts.Rate == 0 {
		opts.Rate = DefaultSweepRate
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Idle == 0 {
		opts.Idle = sweepIdle
	}
	return &Sweeper{options: opts, limiter: rate.NewLimiter(rate.Limit(opts.Rate), 1)}
}

// Run makes passes over the claims until ctx ends, while this process has the
// duty. It returns nil.
func (s *Sweeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.options.Holding() {
			s.pass(ctx)
		}
		wait(ctx, s.options.Idle)
	}
	return nil
}

// pass goes over all claims once, or until a call fails or the duty ends.
func (s *Sweeper) pass(ctx context.Context) {
	var done pass
	after := ""
	for s.options.Holding() && s.limiter.Wait(ctx) == nil {
		page, err := s.options.Objects.List(ctx, claim.Prefix, after, sweepPage)
		if err != nil {
			done.failed++
			break
		}
		s.page(ctx, page, &done)
		if len(page) < sweepPage {
			break
		}
		after = page[len(page)-1].Key
	}
	if done != (pass{}) {
		s.options.Log.Event(event.ClaimsExpired, observe.Fields{
			"listed": done.listed, "deleted": done.deleted, "failed": done.failed,
		})
	}
}

// page deletes the expired claims of one page. What can't be read as a claim
// stays.
func (s *Sweeper) page(ctx context.Context, page []objects.Object, done *pass) {
	records := make([]claim.Record, len(page))
	for i, object := range page {
		done.listed++
		record, err := claim.Decode(object.Value)
		if err != nil {
			done.failed++
			continue
		}
		records[i] = record
		s.expiry.See(record)
	}
	now := s.options.Now().Unix()
	for i, object := range page {
		if records[i].CreatedUnix == 0 || !s.expiry.Expired(records[i], now) {
			continue
		}
		if s.limiter.Wait(ctx) != nil {
			return
		}
		if s.options.Objects.Delete(ctx, object.Key, object.Version) != nil {
			done.failed++
			continue
		}
		done.deleted++
	}
}
