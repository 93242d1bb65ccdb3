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

// Rate and times of the deletion of expired claims.
const (
	// fleetSweepRate bounds the calls per second to the store from all entries
	// together; each entry gets an equal share.
	fleetSweepRate = 200
	// sweepPageSize is how many claims one List call returns. A claim takes up to 700 KB.
	sweepPageSize = 20
	// sweepInterval is the time between two passes. It is long, because a pass reads
	// all claims to find the few that have expired.
	sweepInterval = 6 * time.Hour
	// maxFirstSweepDelay bounds the random delay of the first pass.
	maxFirstSweepDelay = 10 * time.Minute
	// shardDigits are the hex digits. The first two digits of a claim's name, after
	// claim.Prefix, are its shard.
	shardDigits = "0123456789abcdef"
)

// SweeperOptions configure a Sweeper.
type SweeperOptions struct {
	// Self is the entry's name in the host list.
	Self    string
	Objects objects.API
	Log     *observe.Logger
	// Hosts returns the host list. It is empty until the list is known.
	Hosts func() []fleet.Host
	// Now is the wall clock; nil means time.Now.
	Now func() time.Time
}

// Sweeper deletes expired claims; see claim.Expiry. Claims are divided by name
// into 256 shards, and each entry sweeps the shards that rendezvous hashing over the
// host list assigns to it. Two entries whose host lists differ may sweep the same shard;
// that is safe, because deletions are conditional on the version.
type Sweeper struct {
	options SweeperOptions
	limiter *rate.Limiter
	expiry  claim.Expiry
}

// passCounts counts the claims listed and deleted, and the failures, in one pass over an
// entry's shards.
type passCounts struct {
	listed, deleted, failed int
}

// NewSweeper returns a Sweeper. It does nothing until Run is called.
func NewSweeper(opts SweeperOptions) *Sweeper {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Sweeper{options: opts, limiter: rate.NewLimiter(fleetSweepRate, 1)}
}

// Run makes passes over this entry's shards until ctx ends. It always returns nil.
func (s *Sweeper) Run(ctx context.Context) error {
	sleep(ctx, rand.N(maxFirstSweepDelay))
	for ctx.Err() == nil {
		s.pass(ctx)
		sleep(ctx, sweepInterval)
	}
	return nil
}

// pass sweeps this entry's shards once. It stops at the first List call that fails.
func (s *Sweeper) pass(ctx context.Context) {
	var counts passCounts
	for _, shard := range shardPrefixes() {
		if s.owns(shard) && !s.sweepShard(ctx, shard, &counts) {
			break
		}
	}
	s.options.Log.Event(event.ClaimsExpired, observe.Fields{
		"listed": counts.listed, "deleted": counts.deleted, "failed": counts.failed,
	})
}

// shardPrefixes returns the key prefix of each shard.
func shardPrefixes() []string {
	all := make([]string, 0, len(shardDigits)*len(shardDigits))
	for _, high := range shardDigits {
		for _, low := range shardDigits {
			all = append(all, claim.Prefix+string(high)+string(low))
		}
	}
	return all
}

// owns reports whether this entry sweeps a shard. It also sets the rate of this entry's
// calls to its share of fleetSweepRate.
func (s *Sweeper) owns(shard string) bool {
	entries := 0
	var owner string
	var maxWeight uint64
	for _, host := range s.options.Hosts() {
		if host.Role != fleet.RoleEntry || host.Leaving {
			continue
		}
		entries++
		if weight := xxhash.Sum64String(shard + "\x00" + host.Name); weight >= maxWeight {
			maxWeight, owner = weight, host.Name
		}
	}
	if entries > 0 {
		s.limiter.SetLimit(rate.Limit(fleetSweepRate) / rate.Limit(entries))
	}
	return owner == s.options.Self
}

// sweepShard deletes the expired claims of one shard. It reports whether the pass can
// continue.
func (s *Sweeper) sweepShard(ctx context.Context, shard string, counts *passCounts) bool {
	after := ""
	for s.limiter.Wait(ctx) == nil {
		page, err := s.options.Objects.List(ctx, shard, after, sweepPageSize)
		if err != nil {
			counts.failed++
			return false
		}
		s.sweepPage(ctx, page, counts)
		if len(page) < sweepPageSize {
			return true
		}
		after = page[len(page)-1].Key
	}
	return false
}

// sweepPage deletes the expired claims of one page. Objects that can't be decoded as claims
// are kept.
func (s *Sweeper) sweepPage(ctx context.Context, page []objects.Object, counts *passCounts) {
	records := make([]claim.Record, len(page))
	for i, object := range page {
		counts.listed++
		record, err := claim.Decode(object.Value)
		if err != nil {
			counts.failed++
			continue
		}
		records[i] = record
		s.expiry.Observe(record)
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
			counts.failed++
			continue
		}
		counts.deleted++
	}
}
