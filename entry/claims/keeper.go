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

// The verdicts. Package core/claim documents what each of them proves.
const (
	Owned       = claim.Owned
	Done        = claim.Done
	Running     = claim.Running
	Unknown     = claim.Unknown
	Unavailable = claim.Unavailable
	NotRun      = claim.NotRun
	Absent      = claim.Absent
	Invalid     = claim.Invalid
)

// Target is the sidecar that an attempt is sent to.
type Target = claim.Target

// OpenRequest describes the attempt for which a claim is opened.
type OpenRequest struct {
	Workspace string
	Pipeline  string
	// Key is the caller's idempotency key, or the request ID if KeyGenerated is set.
	Key string
	// KeyGenerated is set if the caller gave no key. No other request can then have the
	// key, so the keeper can prove not_run while the store is down.
	KeyGenerated bool
	// BodyDigest is claim.DigestBody of the request's body. A key that was used with
	// another body is refused with code Invalid.
	BodyDigest string
	Request    core.RequestID
	Stage      string
	Attempt    uint32
	Target     Target
	// DispatchWithin is how long the preceding stages are expected to take.
	DispatchWithin time.Duration
}

// Claim is a claim record and the version of its object in the object API.
type Claim struct {
	Record  claim.Record
	Version uint64
}

// ClaimKey returns the claim key that is sent to the sidecar with Run and Resolve.
func (c Claim) ClaimKey() *wirepb.ClaimKey {
	return &wirepb.ClaimKey{
		Claim:       c.Record.Name(),
		Nonce:       c.Record.Nonce,
		SideClockUs: c.Record.Target.SidecarClockUS,
	}
}

// AttemptKey returns the key under which the attempt runs at its sidecar. The owner of
// the claim must dispatch under this key, because other requests resolve it.
func (c Claim) AttemptKey() *wirepb.AttemptKey {
	key := c.Record.AttemptKey()
	return &wirepb.AttemptKey{
		RequestId:       string(key.Request),
		Stage:           key.Stage,
		Attempt:         key.Number,
		SideIncarnation: uint64(key.Side),
	}
}

// State is the outcome of opening, reassigning, releasing or inspecting a claim.
type State struct {
	Status Status
	// Claim is the claim that the status is based on: the caller's with Owned, another
	// request's with Done, Running and Unknown. It is empty if none was seen.
	Claim Claim
	// Chunks are the chunks of the result, with Done.
	Chunks [][]byte
	// Recorded is set, with Done, if the claim object already holds the result;
	// otherwise the caller should call Finish.
	Recorded bool
	// KeyNotRun is set if no request with this key had run the stage when the verdict
	// was reached. Otherwise not_run holds for this request only, and a caller that
	// gave the key must be told unknown, because an earlier request may have run.
	KeyNotRun bool
	// RetryAfter is the delay after which a retry may have another outcome; zero if a
	// retry is of no use.
	RetryAfter time.Duration
	// Reason lists the events of the claim's state chart that led to the status.
	Reason string
}

// Addr returns the IP:port of the sidecar to attach to with Running.
func (s State) Addr() string { return s.Claim.Record.Target.Addr }

// Resolver requests the state of an attempt from its sidecar.
type Resolver interface {
	// Resolve calls the sidecar at addr. An error means that there was no response.
	Resolve(ctx context.Context, addr string, req *wirepb.ResolveRequest) (*wirepb.ResolveReply, error)
}

// Options configure a Keeper.
type Options struct {
	Objects  objects.API
	Resolver Resolver
	Log      *observe.Logger
	// Scope is where metrics are registered; nil drops them.
	Scope tally.Scope
	// Rules are the bounds of the protocol; zero means claim.DefaultRules.
	Rules claim.Rules
	// Rand generates the nonces; nil means a randomly seeded source.
	Rand *rand.Rand
	// Now is the wall clock that claims are stamped with for their expiry; nil means
	// time.Now.
	Now func() time.Time
}

// Keeper opens, reassigns, releases, inspects and finishes claims. It is safe for
// concurrent use.
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

// Open claims the stage for an attempt, or returns the state of an earlier attempt with
// the same key. If nothing fails and no claim exists, it takes a single write. Waiting
// is bounded by ctx; the verdict is correct also when ctx ends the wait. Errors have
// code Invalid if the key was used with another body.
func (k *Keeper) Open(ctx context.Context, request OpenRequest) (State, error) {
	machine := claim.Open(k.attemptSpec(request), k.rules, k.newRand())
	return k.drive(ctx, "open", machine)
}

// Reassign replaces an owned attempt by one for another target. The caller must have
// proof that the owned attempt has not run: its sidecar refused every Run, or no Run
// was sent. The verdict is Owned with a new claim, or the state of the claim that
// another request has replaced it by.
func (k *Keeper) Reassign(ctx context.Context, owned Claim, target Target) (State, error) {
	machine := claim.Reassign(owned.Record, owned.Version, target, k.rules, k.newRand())
	return k.drive(ctx, "reassign", machine)
}

// Release abandons an owned attempt. The caller must have sent no Run for it, or the
// sidecar must have refused every Run, and the caller must send none later. The next
// request with the key need not call Resolve at the sidecar.
func (k *Keeper) Release(ctx context.Context, owned Claim) (State, error) {
	machine := claim.Release(owned.Record, owned.Version, k.rules, k.newRand())
	return k.drive(ctx, "release", machine)
}

// Inspect returns the state of a stage's claim without claiming it. It has a side
// effect: an attempt that has not been dispatched yet will be refused from now on.
func (k *Keeper) Inspect(ctx context.Context, workspace, pipeline, key, stage string) (State, error) {
	id := claim.Identity{Workspace: workspace, Pipeline: pipeline, Key: key, Stage: stage}
	return k.drive(ctx, "look", claim.Lookup(id, k.rules, k.newRand()))
}

// attemptSpec converts an OpenRequest to the AttemptSpec of the protocol.
func (k *Keeper) attemptSpec(request OpenRequest) claim.AttemptSpec {
	return claim.AttemptSpec{
		Identity: claim.Identity{
			Workspace:  request.Workspace,
			Pipeline:   request.Pipeline,
			Key:        request.Key,
			Stage:      request.Stage,
			BodyDigest: request.BodyDigest,
		},
		Request:        request.Request,
		Attempt:        request.Attempt,
		Target:         request.Target,
		KeyGenerated:   request.KeyGenerated,
		DispatchWithin: request.DispatchWithin,
		NowUnix:        k.now().Unix(),
	}
}

// newRand returns a separate random source for one machine, seeded from that of the
// keeper.
func (k *Keeper) newRand() *rand.Rand {
	k.mu.Lock()
	defer k.mu.Unlock()
	return rand.New(rand.NewPCG(k.rng.Uint64(), k.rng.Uint64()))
}
