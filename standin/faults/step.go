package faults

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"acaciawinch/core/claim"
	"acaciawinch/standin/caller"
	"acaciawinch/standin/faults/storetap"
	"acaciawinch/standin/faults/tap"
	"acaciawinch/standin/ledger"
	"acaciawinch/standin/output"
)

// Kind groups steps by the message or work that is in progress.
type Kind int

// The kinds of steps.
const (
	// kindAdmission: the entry reads the request's body.
	kindAdmission Kind = iota
	// kindDispatch: a Run is in transit to a sidecar.
	kindDispatch
	// kindFlight: an upstream is executing.
	kindFlight
	// kindResponse: events are in transit to the entry.
	kindResponse
	// kindClaim: the write of a claim is in transit to the object API, or its response
	// to the entry.
	kindClaim
	// kindAcknowledge: an acknowledgement is in transit to a sidecar.
	kindAcknowledge
	// kindAccept: an operator's change is in transit to the object API.
	kindAccept
	// kindPropagate: a change was accepted and is propagating to all processes.
	kindPropagate
	// kindPlan: a placement plan is in transit to the object API.
	kindPlan
	// kindOrder: a sidecar has sent an order to its engine.
	kindOrder
	// kindDrain: an upstream is being drained.
	kindDrain
	// kindFence: an entry records in the head which configuration is kept.
	kindFence
	// kindDelete: an entry deletes old configuration.
	kindDelete
)

// Step is a point in the course of a request or a scenario.
type Step struct {
	Name  string
	Kind  Kind
	Stage string
	// stopsEngine marks steps at which the engines stop as soon as the first request is
	// there, so that other requests can't reach the step.
	stopsEngine bool
	// arm prepares the site so that the request stops at the step.
	arm func(ctx context.Context, s *Site, r *caller.Request) (*armedStep, error)
}

// armedStep is a step that waits for its request.
type armedStep struct {
	// reached waits until the request is at the step and returns the name of the
	// upstream whose sidecar it is at.
	reached func(ctx context.Context, p *pending) (string, error)
	// resume lets upstreams work again; release releases held messages.
	resume  func(ctx context.Context)
	release func()
}

// errMissed reports that a request had passed a step before it was noticed. The cell is
// run again.
var errMissed = errors.New("the step was missed")

// steps returns the steps of a request in their order.
func steps() []Step {
	return []Step{
		{Name: "admission", Kind: kindAdmission, Stage: stageEncode, arm: armAdmission},
		{Name: "encode before", Kind: kindDispatch, Stage: stageEncode, arm: armMessage(tap.Run, stageEncode)},
		{Name: "encode flight", Kind: kindFlight, Stage: stageEncode, arm: armFlight(stageEncode)},
		{Name: "encode answer", Kind: kindResponse, Stage: stageEncode, arm: armMessage(tap.Done, stageEncode)},
		{Name: "claim sent", Kind: kindClaim, Stage: stagePay, arm: armClaim(storetap.Before)},
		{Name: "claim written", Kind: kindClaim, Stage: stagePay, arm: armClaim(storetap.After)},
		{Name: "pay before", Kind: kindDispatch, Stage: stagePay, arm: armMessage(tap.Run, stagePay)},
		{Name: "pay flight", Kind: kindFlight, Stage: stagePay, arm: armFlight(stagePay)},
		{Name: "pay answer", Kind: kindResponse, Stage: stagePay, arm: armMessage(tap.Done, stagePay)},
		{Name: "acknowledge", Kind: kindAcknowledge, Stage: stagePay, arm: armMessage(tap.Acknowledge, stagePay)},
		{Name: "confirm before", Kind: kindDispatch, Stage: stageConfirm, arm: armMessage(tap.Run, stageConfirm)},
		{Name: "confirm flight", Kind: kindFlight, Stage: stageConfirm, stopsEngine: true, arm: armFlight(stageConfirm)},
		{Name: "first token", Kind: kindResponse, Stage: stageConfirm, stopsEngine: true, arm: armChunk(2, 1)},
		{Name: "mid-stream", Kind: kindResponse, Stage: stageConfirm, stopsEngine: true, arm: armChunk(6, 5)},
		{Name: "closing event", Kind: kindResponse, Stage: stageConfirm, arm: armMessage(tap.Done, stageConfirm)},
	}
}

// noResume is a resume function that does nothing.
func noResume(context.Context) {}

// errEnded returns the error of a request that ended before its step.
func errEnded(p *pending) error {
	return fmt.Errorf("the request ended before the step: %s %s %s", p.result.Verdict, p.result.Outcome, p.result.Detail)
}

// armAdmission stops the request while the entry reads its body. It returns an upstream
// that could serve the first stage.
func armAdmission(_ context.Context, s *Site, r *caller.Request) (*armedStep, error) {
	reading := make(chan struct{})
	open := make(chan struct{})
	r.BeforeBody = func() {
		close(reading)
		<-open
	}
	return &armedStep{
		reached: func(ctx context.Context, p *pending) (string, error) {
			select {
			case <-reading:
				return s.Fleet.Service(services[stageEncode])[0].Name, nil
			case <-p.done:
				return "", errEnded(p)
			case <-ctx.Done():
				return "", ctx.Err()
			}
		},
		resume:  noResume,
		release: sync.OnceFunc(func() { close(open) }),
	}, nil
}

// armMessage stops the first message of a stage at a point.
func armMessage(point tap.Point, stage string) func(context.Context, *Site, *caller.Request) (*armedStep, error) {
	return func(_ context.Context, s *Site, _ *caller.Request) (*armedStep, error) {
		h := s.Sides.Hold(func(m tap.Message) bool { return m.Point == point && m.Stage == stage && s.heldRequests.add(m.Request) })
		return &armedStep{
			reached: func(ctx context.Context, p *pending) (string, error) {
				select {
				case m := <-h.Stopped():
					return m.Upstream, nil
				case <-p.done:
					return awaitAfterEnd(ctx, p, point, h.Stopped())
				case <-ctx.Done():
					return "", ctx.Err()
				}
			},
			resume:  noResume,
			release: h.Release,
		}, nil
	}
}

// awaitAfterEnd waits for a message of a request that has ended: only an acknowledgement
// may follow the response.
func awaitAfterEnd(ctx context.Context, p *pending, point tap.Point, stopped <-chan tap.Message) (string, error) {
	if point != tap.Acknowledge {
		return "", errEnded(p)
	}
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	select {
	case m := <-stopped:
		return m.Upstream, nil
	case <-ctx.Done():
		return "", errors.New("no acknowledgement arrived")
	}
}

// acknowledgeTimeout bounds the wait for an acknowledgement after the response.
const acknowledgeTimeout = 5 * time.Second

// armFlight stops the upstreams of a stage while they execute.
func armFlight(stage string) func(context.Context, *Site, *caller.Request) (*armedStep, error) {
	return func(ctx context.Context, s *Site, r *caller.Request) (*armedStep, error) {
		if err := s.hang(ctx, services[stage], true); err != nil {
			return nil, err
		}
		digest := s.digestOf(*r, stage)
		return &armedStep{
			reached: func(ctx context.Context, p *pending) (string, error) {
				ctx, cancel := context.WithCancelCause(ctx)
				defer cancel(nil)
				go func() {
					select {
					case <-p.done:
						cancel(errEnded(p))
					case <-ctx.Done():
					}
				}()
				record, err := s.awaitRecord(ctx, stage+" has not started", func(r ledger.Record) bool {
					return r.Event == ledger.Start && r.InputDigest == digest
				})
				if err != nil {
					err = fmt.Errorf("%w: %w", err, context.Cause(ctx))
				}
				return record.Upstream, err
			},
			// A dead upstream can't be controlled, and need not be.
			resume:  func(ctx context.Context) { _ = s.hang(ctx, services[stage], false) },
			release: func() {},
		}, nil
	}
}

// digestOf returns the digest of a stage's input under the first configuration.
func (s *Site) digestOf(r caller.Request, stage string) string {
	steps, _ := caller.New(s.catalogs[0]).Expected(r)
	for _, step := range steps {
		if step.Stage.Name == stage {
			return output.Digest(step.Input)
		}
	}
	return ""
}

// claimPath is the path prefix of the claims in the object API.
const claimPath = "/v1/objects/" + claim.Prefix

// armClaim stops the first write of a claim, before or after it takes effect. The
// upstream is the one that the claim names.
func armClaim(point storetap.Point) func(context.Context, *Site, *caller.Request) (*armedStep, error) {
	return func(_ context.Context, s *Site, _ *caller.Request) (*armedStep, error) {
		h := s.Store.Hold(func(m storetap.Message) bool {
			return m.Point == point && m.Method == http.MethodPut && strings.HasPrefix(m.Path, claimPath) && s.heldClaims.add(m.Path)
		})
		return &armedStep{
			reached: func(ctx context.Context, p *pending) (string, error) {
				select {
				case m := <-h.Stopped():
					var record claim.Record
					err := json.Unmarshal(m.Body, &record)
					return string(record.Target.Upstream), err
				case <-p.done:
					return "", errEnded(p)
				case <-ctx.Done():
					return "", ctx.Err()
				}
			},
			resume:  noResume,
			release: h.Release,
		}, nil
	}
}

// armChunk stops a stream at the chunk with number index. It also stops the engine, and
// waits until the caller has count chunks, so that the work is still in progress.
func armChunk(index uint64, count int) func(context.Context, *Site, *caller.Request) (*armedStep, error) {
	return func(_ context.Context, s *Site, r *caller.Request) (*armedStep, error) {
		h := s.Sides.Hold(func(m tap.Message) bool {
			return m.Point == tap.Chunk && m.Stage == stageConfirm && m.Chunk == index
		})
		digest := s.digestOf(*r, stageConfirm)
		return &armedStep{
			reached: func(ctx context.Context, p *pending) (string, error) {
				select {
				case m := <-h.Stopped():
					return m.Upstream, s.stopEngine(ctx, p, digest, count)
				case <-p.done:
					return "", errEnded(p)
				case <-ctx.Done():
					return "", ctx.Err()
				}
			},
			resume:  func(ctx context.Context) { _ = s.hang(ctx, services[stageConfirm], false) },
			release: h.Release,
		}, nil
	}
}

// stopEngine stops the engines during a stream of which the caller has count chunks. It
// fails with errMissed if the work has ended already.
func (s *Site) stopEngine(ctx context.Context, p *pending, digest string, count int) error {
	if err := s.hang(ctx, services[stageConfirm], true); err != nil {
		return err
	}
	for received := 0; received < count; {
		select {
		case received = <-p.chunks:
		case <-p.done:
			return errEnded(p)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	records, err := s.Fleet.Records()
	if err != nil {
		return err
	}
	for _, r := range records {
		if r.Event == ledger.End && r.InputDigest == digest {
			return errMissed
		}
	}
	return nil
}
