package claims

import (
	"context"
	"strings"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/chart"
	"acaciawinch/core/claim"
	"acaciawinch/core/fault"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/wirepb"
)

// drive makes the calls that a state machine of the protocol requests until the machine
// has a verdict on the claim, and logs the verdict.
func (k *Keeper) drive(ctx context.Context, action string, machine *claim.Machine) (State, error) {
	name := machine.Next().Name
	for {
		step := machine.Next()
		if step.Call == claim.CallNone {
			break
		}
		if ctx.Err() != nil {
			machine.GiveUp()
			break
		}
		if err := k.call(ctx, machine, step); err != nil {
			k.log.Warn(event.ClaimRefused, observe.Fields{"action": action, "claim": name, "error": err.Error()})
			return stateOf(machine.Verdict()), err
		}
	}
	state := stateOf(machine.Verdict())
	k.metrics.decided(action, state.Status)
	k.logVerdict(action, name, state)
	return state, nil
}

// call makes one call that the machine requests and passes it the result.
func (k *Keeper) call(ctx context.Context, machine *claim.Machine, step claim.Step) error {
	k.metrics.called(step.Call)
	switch step.Call {
	case claim.CallCreate, claim.CallUpdate:
		result, version, err := k.write(ctx, step)
		if err != nil {
			return err
		}
		return machine.Wrote(result, version)
	case claim.CallRead:
		return k.read(ctx, machine, step)
	case claim.CallWait:
		sleep(ctx, step.Wait)
		return machine.Waited()
	case claim.CallResolve:
		return machine.Resolved(k.resolve(ctx, step.Record))
	default:
		return fault.New(fault.Internal, "claim.drive", "", "unknown call %d", step.Call)
	}
}

// write makes one conditional write. It returns an error only if the record can't be
// encoded; errors of the store are part of the returned result.
func (k *Keeper) write(ctx context.Context, step claim.Step) (claim.WriteResponse, uint64, error) {
	value, err := step.Record.Encode()
	if err != nil {
		return 0, 0, err
	}
	var version uint64
	if step.Call == claim.CallCreate {
		version, err = k.objects.Create(ctx, step.Name, value)
	} else {
		version, err = k.objects.Update(ctx, step.Name, value, step.Version)
	}
	return classifyWrite(err), version, nil
}

// classifyWrite classifies the error of a write. An error that doesn't prove that the
// write had no effect is ambiguous.
func classifyWrite(err error) claim.WriteResponse {
	switch fault.CodeOf(err) {
	case "":
		return claim.WriteOK
	case fault.Conflict, fault.NotFound:
		return claim.WriteConflict
	case fault.Unavailable, fault.Invalid:
		return claim.WriteUnavailable
	default:
		return claim.WriteAmbiguous
	}
}

// read reads the claim object and passes it, or the failure, to the machine.
func (k *Keeper) read(ctx context.Context, machine *claim.Machine, step claim.Step) error {
	object, err := k.objects.Get(ctx, step.Name)
	if fault.Is(err, fault.NotFound) {
		return machine.Missing()
	}
	if err != nil {
		return machine.Unreadable()
	}
	record, err := claim.Decode(object.Value)
	if err != nil {
		return err
	}
	return machine.Found(record, object.Version)
}

// resolve requests the state of the record's attempt from the sidecar that the record
// names.
func (k *Keeper) resolve(ctx context.Context, record claim.Record) claim.SidecarResponse {
	attempt := Claim{Record: record}
	req := &wirepb.ResolveRequest{Key: attempt.AttemptKey(), Claim: attempt.ClaimKey()}
	reply, err := k.resolver.Resolve(ctx, record.Target.Addr, req)
	if err != nil {
		k.log.Warn(event.ClaimSideUnreachable, observe.Fields{
			"claim": record.Name(), "upstream": record.Target.Upstream, "addr": record.Target.Addr, "error": err.Error(),
		})
		return claim.SidecarResponse{State: claim.SidecarUnreachable}
	}
	return claim.SidecarResponse{
		State:       sidecarStates[reply.State],
		Incarnation: core.Incarnation(reply.Incarnation),
		Chunks:      reply.Chunks,
	}
}

// sidecarStates translates the state in a sidecar's response. A state that is not listed
// becomes the zero state, which the protocol treats as gone.
var sidecarStates = map[wirepb.ResolveState]claim.SidecarState{
	wirepb.ResolveState_RESOLVE_DONE:    claim.SidecarDone,
	wirepb.ResolveState_RESOLVE_RUNNING: claim.SidecarRunning,
	wirepb.ResolveState_RESOLVE_NOT_RUN: claim.SidecarNotRun,
	wirepb.ResolveState_RESOLVE_GONE:    claim.SidecarGone,
	wirepb.ResolveState_RESOLVE_FAILED:  claim.SidecarFailed,
}

// Finish records in the claim the result of its attempt. Callers should do so after they
// have sent the response, off the critical path. The calls are bounded by ctx. An error
// means that the claim stays open; the sidecar still keeps the result for some time.
func (k *Keeper) Finish(ctx context.Context, c Claim, chunks [][]byte) error {
	recorder := claim.Finish(c.Record, c.Version, chunks, k.rules)
	for {
		step := recorder.Next()
		if step.Call == claim.CallNone {
			break
		}
		if err := k.finishCall(ctx, recorder, step); err != nil {
			return err
		}
	}
	err := recorder.Err()
	if err != nil {
		k.log.Warn(event.ClaimNotRecorded, observe.Fields{"claim": c.Record.Name(), "error": err.Error()})
	}
	return err
}

// finishCall makes one call that recording a result requires, and passes its outcome to
// the recorder.
func (k *Keeper) finishCall(ctx context.Context, recorder *claim.ResultRecorder, step claim.Step) error {
	k.metrics.called(step.Call)
	if step.Call == claim.CallUpdate {
		result, _, err := k.write(ctx, step)
		if err == nil {
			recorder.Wrote(result)
		}
		return err
	}
	object, err := k.objects.Get(ctx, step.Name)
	if fault.Is(err, fault.NotFound) {
		recorder.Missing()
		return nil
	}
	if err != nil {
		recorder.Unreadable()
		return nil
	}
	record, err := claim.Decode(object.Value)
	if err != nil {
		return err
	}
	recorder.Found(record, object.Version)
	return nil
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// stateOf converts a verdict of the protocol.
func stateOf(v claim.Verdict) State {
	return State{
		Status:     v.Status,
		Claim:      Claim{Record: v.Record, Version: v.Version},
		Chunks:     v.Chunks,
		Recorded:   v.Recorded,
		KeyNotRun:  v.KeyNotRun,
		RetryAfter: v.RetryAfter,
		Reason:     reason(v.Trail),
	}
}

// reason returns the events of the claim's state chart that led to a verdict, separated
// by spaces.
func reason(trail []chart.Event) string {
	names := make([]string, len(trail))
	for i, event := range trail {
		names[i] = string(event)
	}
	return strings.Join(names, " ")
}

// logVerdict logs the verdict on a claim.
func (k *Keeper) logVerdict(action, name string, state State) {
	record := state.Claim.Record
	k.log.Event(event.ClaimDecided, observe.Fields{
		"action":   action,
		"claim":    name,
		"status":   state.Status.String(),
		"reason":   state.Reason,
		"request":  record.Request,
		"attempt":  record.Attempt,
		"nonce":    record.Nonce,
		"upstream": record.Target.Upstream,
		"version":  state.Claim.Version,
	})
}
