package side

import (
	"fmt"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/gate"
	"acaciawinch/platform/upstream"
	"acaciawinch/wire/wirepb"
)

// refusalReasons maps the gate's reasons to those of messages. Messages have no reason
// of their own for a rejection by the upstream itself.
var refusalReasons = map[gate.Reason]wirepb.RefusalReason{
	gate.ReasonQueueFull:      wirepb.RefusalReason_REFUSAL_QUEUE_FULL,
	gate.ReasonDeadline:       wirepb.RefusalReason_REFUSAL_DEADLINE,
	gate.ReasonDraining:       wirepb.RefusalReason_REFUSAL_DRAINING,
	gate.ReasonIncarnation:    wirepb.RefusalReason_REFUSAL_INCARNATION,
	gate.ReasonTombstone:      wirepb.RefusalReason_REFUSAL_TOMBSTONE,
	gate.ReasonTicketExpired:  wirepb.RefusalReason_REFUSAL_TICKET_EXPIRED,
	gate.ReasonModelNotLoaded: wirepb.RefusalReason_REFUSAL_MODEL_NOT_LOADED,
	gate.ReasonStalled:        wirepb.RefusalReason_REFUSAL_STALLED,
	gate.ReasonCancelled:      wirepb.RefusalReason_REFUSAL_CANCELLED,
	gate.ReasonUnknownAttempt: wirepb.RefusalReason_REFUSAL_UNKNOWN_ATTEMPT,
	gate.ReasonInvalid:        wirepb.RefusalReason_REFUSAL_INVALID,
	gate.ReasonUpstream:       wirepb.RefusalReason_REFUSAL_UNSPECIFIED,
}

// cancelCauses maps the reasons of Cancel calls to the causes that costs are charged to.
var cancelCauses = map[wirepb.CancelReason]gate.Cause{
	wirepb.CancelReason_CANCEL_UNSPECIFIED: gate.CauseCallerGone,
	wirepb.CancelReason_CANCEL_HEDGE_LOST:  gate.CauseHedgeLost,
	wirepb.CancelReason_CANCEL_DEADLINE:    gate.CauseDeadline,
	wirepb.CancelReason_CANCEL_CALLER_GONE: gate.CauseCallerGone,
	wirepb.CancelReason_CANCEL_SUPERSEDED:  gate.CauseSuperseded,
}

// resolveStates maps the gate's states of a resolved attempt to those of messages.
var resolveStates = map[gate.State]wirepb.ResolveState{
	gate.StateDone:    wirepb.ResolveState_RESOLVE_DONE,
	gate.StateRunning: wirepb.ResolveState_RESOLVE_RUNNING,
	gate.StateNotRun:  wirepb.ResolveState_RESOLVE_NOT_RUN,
	gate.StateGone:    wirepb.ResolveState_RESOLVE_GONE,
	gate.StateFailed:  wirepb.ResolveState_RESOLVE_FAILED,
}

// attemptKeyOf converts the message of an attempt key to the key; a missing message yields the
// zero key.
func attemptKeyOf(m *wirepb.AttemptKey) core.AttemptKey {
	return core.AttemptKey{
		Request: core.RequestID(m.GetRequestId()),
		Stage:   m.GetStage(),
		Number:  m.GetAttempt(),
		Side:    core.Incarnation(m.GetSideIncarnation()),
	}
}

// attemptKeyMessage converts the key of an attempt to its message.
func attemptKeyMessage(key core.AttemptKey) *wirepb.AttemptKey {
	return &wirepb.AttemptKey{
		RequestId:       string(key.Request),
		Stage:           key.Stage,
		Attempt:         key.Number,
		SideIncarnation: uint64(key.Side),
	}
}

// ticketOf returns the ticket of a claim, or nil if there is none.
func ticketOf(claim *wirepb.ClaimKey) *gate.Ticket {
	if claim == nil {
		return nil
	}
	return &gate.Ticket{
		Nonce: claim.GetNonce(),
		Clock: time.Duration(claim.GetSideClockUs()) * time.Microsecond,
	}
}

// submissionOf converts a Run message to the gate's input. Cost is in tokens for an
// engine, where a resumed attempt has fewer tokens remaining, and 1 for other upstreams.
func submissionOf(request *wirepb.RunRequest, engine bool) gate.Attempt {
	cost := 1
	if engine {
		cost = max(1, int(request.GetMaxTokens())-len(request.GetResume()))
	}
	return gate.Attempt{
		Key:       attemptKeyOf(request.GetKey()),
		Workspace: request.GetWorkspace(),
		Ticket:    ticketOf(request.GetClaim()),
		Remaining: time.Duration(request.GetRemainingMs()) * time.Millisecond,
		Priority:  int(request.GetPriority()),
		Weight:    int(request.GetWeight()),
		Committed: request.GetCommitted(),
		Cost:      float64(cost),
		Model:     request.GetModel(),
		Version:   request.GetVersion(),
	}
}

// callOf returns the upstream call of an attempt.
func callOf(key core.AttemptKey, request *wirepb.RunRequest) upstream.Call {
	return upstream.Call{
		ID:        callID(key),
		Workspace: request.GetWorkspace(),
		Model:     request.GetModel(),
		Version:   request.GetVersion(),
		Prefix:    request.GetPrefixHash(),
		Priority:  int(request.GetPriority()),
		MaxTokens: int(request.GetMaxTokens()),
		Input:     request.GetInput(),
		Resume:    request.GetResume(),
	}
}

// callID returns the id of an attempt at the upstream.
func callID(key core.AttemptKey) string {
	return fmt.Sprintf("%s/%s/%d", key.Request, key.Stage, key.Number)
}

// refusedEvent returns the event that refuses an attempt.
func refusedEvent(key core.AttemptKey, refused *wirepb.Refused) *wirepb.RunEvent {
	return &wirepb.RunEvent{Key: attemptKeyMessage(key), Event: &wirepb.RunEvent_Refused{Refused: refused}}
}

// failedEvent returns the event that ends an attempt without a result.
func failedEvent(key core.AttemptKey, failed *wirepb.Failed) *wirepb.RunEvent {
	return &wirepb.RunEvent{Key: attemptKeyMessage(key), Event: &wirepb.RunEvent_Failed{Failed: failed}}
}

// loadMessage converts the upstream's load to its message.
func loadMessage(load gate.Load) *wirepb.Load {
	models := make([]*wirepb.LoadedModel, 0, len(load.Models))
	for _, name := range load.Models {
		models = append(models, modelMessage(name))
	}
	return &wirepb.Load{
		Queued:       uint32(load.Queued),
		InFlight:     uint32(load.InFlight),
		Capacity:     uint32(load.Capacity),
		WaitUs:       uint64(load.Wait.Microseconds()),
		ServiceP50Us: uint64(load.ServiceP50.Microseconds()),
		ServiceP95Us: uint64(load.ServiceP95.Microseconds()),
		FirstP50Us:   uint64(load.FirstChunkP50.Microseconds()),
		FirstP95Us:   uint64(load.FirstChunkP95.Microseconds()),
		GapP95Us:     uint64(load.ChunkGapP95.Microseconds()),
		Draining:     load.Draining,
		Stalled:      load.Stalled,
		Models:       models,
		Finished:     load.Finished,
		Failed:       load.Failed,
	}
}
