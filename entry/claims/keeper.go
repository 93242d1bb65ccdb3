package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"acaciawinch/core"
	"acaciawinch/core/claim"
	"acaciawinch/observe"
	"acaciawinch/platform/objects"
	"acaciawinch/wire/wirepb"
)

// Status is the verdict of a claim; see core/claim.
type Status = claim.Status

// The verdicts. See core/claim for what each proves.
const (
	Mine        = claim.Mine
	Done        = claim.Done
	Running     = claim.Running
	Unknown     = claim.Unknown
	Unavailable = claim.Unavailable
	NotRun      = claim.NotRun
	Absent      = claim.Absent
	Invalid     = claim.Invalid
)

// Target is the side process that an attempt is meant for.
type Target = claim.Target

// Ask describes the attempt for which a claim is opened.
type Ask struct {
	Workspace string
	Pipeline  string
	// Key is the caller's idempotency key, or the request id if Minted.
	Key string
	// Minted is set if the caller gave no key. It lets the keeper prove not_run
	// while the store is down.
	Minted bool
	// BodyDigest is claim.DigestBody of the request's body. The same key with
	// another body is refused with code Invalid.
	BodyDigest string
	Request    core.RequestID
	Stage      string
	Attempt    uint32
	Target     Target
	// DispatchWithin is how long the stages before this one are expected to take.
	DispatchWithin time.Duration
}

// Claim is an attempt that the object API holds.
type Claim struct {
	Record  claim.Record
	Version uint64
}

// ClaimKey returns what a side is told of the claim with Run and Resolve.
func (c Claim) ClaimKey() *wirepb.ClaimKey {
	return &wirepb.ClaimKey{
		Claim:       c.Record.Name(),
		Nonce:       c.Record.Nonce,
		SideClockUs: c.Record.Target.SideClockUS,
	}
}

// AttemptKey returns the key under which the attempt runs at its side. An owner
// must dispatch under this key, because others resolve this one.
func (c Claim) AttemptKey() *wirepb.AttemptKey {
	key := c.Record.AttemptKey()
	return &wirepb.AttemptKey{
		RequestId:       string(key.Request),
		Stage:           key.Stage,
		Attempt:         key.Number,
		SideIncarnation: uint64(key.Side),
	}
}

// Held is what became of an ask.
type Held struct {
	Status Status
	// Claim is the claim that decided: owned with Mine, another request's with
	// Done, Running and Unknown. It is empty if none was seen.
	Claim Claim
	// Chunks are the result with Done.
	Chunks [][]byte
	// Recorded tells, with Done, that the claim holds the result; if not, the
	// caller should Finish.
	Recorded bool
	// KeyNotRun tells that no request with this key had run the stage when this
	// was decided. Without it, not_run is true of this request only: say unknown
	// if the caller gave the key, because an earlier request may have run.
	KeyNotRun bool
	// RetryAfter tells when asking again is worth while; zero if it is not.
	RetryAfter time.Duration
	// Reason is the events of the claim chart that led here.
	Reason string
}

// Addr returns the IP:port of the side to attach to with Running.
func (h Held) Addr() string { return h.Claim.Record.Target.Addr }

// Resolver asks a side what became of an attempt.
type Resolver interface {
	// Resolve asks the side at addr. Errors mean that there was no answer.
	Resolve(ctx context.Context, addr string, req *wirepb.ResolveRequest) (*wirepb.ResolveReply, error)
}

// Options are the parts of a Keeper.
type Options struct {
	Objects  objects.API
	Resolver Resolver
	Log      *observe.Logger
	// Scope takes the metrics; nil drops them.
	Scope tally.Scope
	// Rules are the bounds of the protocol; zero means claim.DefaultRules.
	Rules claim.Rules
	// Rand draws nonces; nil means one seeded from the system's random source.
	Rand *rand.Rand
	// Now is the wall clock for the expiry of claims; nil means time.Now.
	Now func() time.Time
}

// Keeper opens claims. It may be used by many goroutines.
type Keeper struct {
	objects  objects.API
	resolver Resolver
	log      *observe.Logger
	metrics  *metrics
	rules    claim.Rules
	now      func() time.Time

	mu  sync.Mutex
	rng *rand.Rand
}

// New returns a Keeper.
func New(opts Options) *Keeper {
	k := &Keeper{
		objects:  opts.Objects,
		resolver: opts.Resolver,
		log:      opts.Log,
		metrics:  newMetrics(opts.Scope),
		rules:    opts.Rules,
		now:      opts.Now,
		rng:      opts.Rand,
	}
	if k.rules.MaxReads == 0 {
		k.rules = claim.DefaultRules()
	}
	if k.now == nil {
		k.now = time.Now
	}
	if k.rng == nil {
		k.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return k
}

// Open claims the attempt, or tells what became of an earlier one with the key.
// It writes once if nothing fails. The context bounds the waiting; when it ends
// the verdict is still truthful. Errors have code Invalid if the key was used
// with another body.
func (k *Keeper) Open(ctx context.Context, ask Ask) (Held, error) {
	machine := claim.Open(k.ask(ask), k.rules, k.fork())
	return k.drive(ctx, "open", machine)
}

// Reassign replaces an owned attempt after proof that it has not run: its side
// answered every Run of it with Refused, or no Run was sent. The verdict is Mine
// with a new claim, or what another request has made of it since.
func (k *Keeper) Reassign(ctx context.Context, owned Claim, target Target) (Held, error) {
	machine := claim.Reassign(owned.Record, owned.Version, target, k.rules, k.fork())
	return k.drive(ctx, "reassign", machine)
}

// Release ends an owned attempt of which no Run was sent, or every Run was
// refused, and none will be sent. The next asker of the key need not ask the side.
func (k *Keeper) Release(ctx context.Context, owned Claim) (Held, error) {
	machine := claim.Release(owned.Record, owned.Version, k.rules, k.fork())
	return k.drive(ctx, "release", machine)
}

// Look finds out what became of the stage's claim, without a wish to run it. An
// attempt that has not been dispatched by then is refused from now on.
func (k *Keeper) Look(ctx context.Context, workspace, pipeline, key, stage string) (Held, error) {
	id := claim.Identity{Workspace: workspace, Pipeline: pipeline, Key: key, Stage: stage}
	return k.drive(ctx, "look", claim.Look(id, k.rules, k.fork()))
}

// ask returns the protocol's form of an ask.
func (k *Keeper) ask(ask Ask) claim.Ask {
	return claim.Ask{
		Identity: claim.Identity{
			Workspace:  ask.Workspace,
			Pipeline:   ask.Pipeline,
			Key:        ask.Key,
			Stage:      ask.Stage,
			BodyDigest: ask.BodyDigest,
		},
		Request:        ask.Request,
		Attempt:        ask.Attempt,
		Target:         ask.Target,
		Minted:         ask.Minted,
		DispatchWithin: ask.DispatchWithin,
		NowUnix:        k.now().Unix(),
	}
}

// fork returns a random source of its own for one machine.
func (k *Keeper) fork() *rand.Rand {
	k.mu.Lock()
	defer k.mu.Unlock()
	return rand.New(rand.NewPCG(k.rng.Uint64(), k.rng.Uint64()))
}
