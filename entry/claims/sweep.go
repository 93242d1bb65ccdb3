package claims

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"acaciawinch/core/claim"
	"acaciawinch/core/fleet"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/objects"
)

// Pace of the expiry of claims.
const (
	// fleetSweepRate bounds the calls to the store a second of all entries
	// together; each has an equal part of it.
	fleetSweepRate = 200
	// sweepPage is how many claims one call lists. A claim holds up to 700 KB.
	sweepPage = 20
	// sweepInterval is the time between two passes. It is long, because a pass
	// reads all claims to find the few that are old.
	sweepInterval = 6 * time.Hour
	// firstSweep bounds the random time before the first pass.
	firstSweep = 10 * time.Minute
	// shardDigits are the hex digits of a claim's name that name its shard.
	shardDigits = "0123456789abcdef"
)

// SweeperOptions are the parts of a Sweeper.
type SweeperOptions struct {
	// Self is the entry's name in the host list.
	Self    string
	Objects objects.API
	Log     *observe.Logger
	// Hosts returns the host list; empty while it is not known.
	Hosts func() []fleet.Host
	// Now is the wall clock; nil means time.Now.
	Now func() time.Time
}

// Sweeper deletes claims that are older than the retention. The claims are split
// by their names into 256 shards, and each entry sweeps those that a hash over
// the host list gives it. Two entries that sweep the same shard, because their
// lists differ, do no harm: deletions are conditional.
type Sweeper struct {
	options SweeperOptions
	limiter *rate.Limiter
	expiry  claim.Expiry
}

// pass counts what one pass over an entry's shards did.
type pass struct {
	listed, deleted, failed int
}

// NewSweeper returns a Sweeper that does nothing until Run.
func NewSweeper(opts SweeperOptions) *Sweeper {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Sweeper{options: opts, limiter: rate.NewLimiter(fleetSweepRate, 1)}
}

// Run makes passes over this entry's shards until ctx ends. It returns nil.
func (s *Sweeper) Run(ctx context.Context) error {
	wait(ctx, rand.N(firstSweep))
	for ctx.Err() == nil {
		s.pass(ctx)
		wait(ctx, sweepInterval)
	}
	return nil
}

// pass goes over this entry's shards once, or until a call fails.
func (s *Sweeper) pass(ctx context.Context) {
	var done pass
	for _, shard := range shards() {
		if s.owns(shard) && !s.shard(ctx, shard, &done) {
			break
		}
	}
	s.options.Log.Event(event.ClaimsExpired, observe.Fields{
		"listed": done.listed, "deleted": done.deleted, "failed": done.failed,
	})
}

// shards returns the prefixes of the shards' names.
func shards() []string {
	all := make([]string, 0, len(shardDigits)*len(shardDigits))
	for _, high := range shardDigits {
		for _, low := range shardDigits {
			all = append(all, claim.Prefix+string(high)+string(low))
		}
	}
	return all
}

// owns tells whether this entry sweeps a shard, and sets its part of the rate.
func (s *Sweeper) owns(shard string) bool {
	entries := 0
	var owner string
	var most uint64
	for _, host := range s.options.Hosts() {
		if host.Role != fleet.RoleEntry || host.Leaving {
			continue
		}
		entries++
		if weight := xxhash.Sum64String(shard + "\x00" + host.Name); weight >= most {
			most, owner = weight, host.Name
		}
	}
	if entries > 0 {
		s.limiter.SetLimit(rate.Limit(fleetSweepRate) / rate.Limit(entries))
	}
	return owner == s.options.Self
}

// shard goes over the claims of one shard. It tells whether the pass can go on.
func (s *Sweeper) shard(ctx context.Context, shard string, done *pass) bool {
	after := ""
	for s.limiter.Wait(ctx) == nil {
		page, err := s.options.Objects.List(ctx, shard, after, sweepPage)
		if err != nil {
			done.failed++
			return false
		}
		s.page(ctx, page, done)
		if len(page) < sweepPage {
			return true
		}
		after = page[len(page)-1].Key
	}
	return false
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
