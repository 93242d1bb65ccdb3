package entry

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/fleet"
	"acaciawinch/entry/claims"
	"acaciawinch/entry/trace"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// Timeouts of a lookup: of the call to another entry, and of the calls about claims.
const (
	traceTimeout = 500 * time.Millisecond
	claimTimeout = 3 * time.Second
)

// claimReader returns the state of claims. *claims.Keeper implements it.
type claimReader interface {
	Inspect(ctx context.Context, workspace, pipeline, key, stage string) (claims.State, error)
}

// fleetView is the state of the fleet that a lookup reads. *feed.State implements it.
type fleetView interface {
	Hosts() []fleet.Host
	Template(name string) (config.Template, bool)
}

// finder looks up earlier requests: their traces in this entry or in the entry that the
// request id names, or else their claims.
type finder struct {
	name   string
	state  func() fleetView
	traces *trace.Ring
	dialer *link.Dialer
	claims claimReader
}

// Trace returns the trace of a request from this entry or from the entry that the id names.
func (f *finder) Trace(ctx context.Context, id core.RequestID) (trace.Trace, bool) {
	if found, ok := f.traces.Get(id); ok {
		return found, true
	}
	addr, ok := f.addressOf(id)
	if !ok {
		return trace.Trace{}, false
	}
	return f.fetchTrace(ctx, addr, id)
}

// addressOf returns the address of the entry that id names. It returns false if that
// entry is unknown or is this one.
func (f *finder) addressOf(id core.RequestID) (string, bool) {
	separator := strings.LastIndexByte(string(id), '-')
	state := f.state()
	if separator < 0 || state == nil {
		return "", false
	}
	name := string(id)[:separator]
	for _, host := range state.Hosts() {
		if host.Role == fleet.RoleEntry && host.Name == name && name != f.name {
			return host.Addr, true
		}
	}
	return "", false
}

// fetchTrace requests a trace from another entry.
func (f *finder) fetchTrace(ctx context.Context, addr string, id core.RequestID) (trace.Trace, bool) {
	ctx, cancel := context.WithTimeout(ctx, traceTimeout)
	defer cancel()
	conn := f.dialer.Conn(ctx, addr)
	defer func() { _ = conn.Close() }() // the call is over; a connection that fails to close is not used again
	reply, err := wirepb.NewDRPCEntryClient(conn).Lookup(ctx, &wirepb.LookupRequest{RequestId: string(id)})
	if err != nil || !reply.GetFound() {
		return trace.Trace{}, false
	}
	var found trace.Trace
	if err := json.Unmarshal(reply.GetTrace(), &found); err != nil {
		return trace.Trace{}, false
	}
	return found, true
}

// Find implements callers.Finder. If there is no trace, or its outcome is unknown, it
// derives the outcome from the claims of the idempotency key. For a request without a
// key, the key is the request id.
func (f *finder) Find(ctx context.Context, workspace, pipeline string, id core.RequestID, key string) (trace.Trace, bool) {
	found, ok := f.Trace(ctx, id)
	if ok && found.Outcome != core.OutcomeUnknown {
		return found, true
	}
	if key == "" {
		key = string(id)
	}
	claimed, known := f.traceFromClaims(ctx, workspace, pipeline, key)
	if !known {
		return found, ok
	}
	claimed.RequestID = id
	return claimed, true
}

// traceFromClaims returns a trace with the outcome that the claims of the pipeline's
// non-idempotent stages imply for a request with the key. It returns false if they imply
// none.
func (f *finder) traceFromClaims(ctx context.Context, workspace, pipeline, key string) (trace.Trace, bool) {
	state := f.state()
	if state == nil {
		return trace.Trace{}, false
	}
	template, ok := state.Template(pipeline)
	if !ok {
		return trace.Trace{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	found, known := trace.Trace{Workspace: workspace, Pipeline: pipeline}, false
	for _, stage := range template.Stages {
		if !stage.NonIdempotent {
			continue
		}
		claim, err := f.claims.Inspect(ctx, workspace, pipeline, key, stage.Name)
		if err != nil {
			return trace.Trace{}, false
		}
		outcome, detail := outcomeOf(claim, stage.Name)
		if outcome == "" {
			break
		}
		found.Outcome, found.Detail, found.Step = outcome, detail, "claim."+stage.Name
		known = true
		if claim.Status != claims.Done {
			break
		}
	}
	return found, known
}

// outcomeOf returns the outcome that the claim of a stage implies for the request, or
// empty strings if it implies none.
func outcomeOf(claim claims.State, stage string) (core.Outcome, string) {
	switch claim.Status {
	case claims.Done:
		return core.OutcomeUnknown, "stage " + stage + " has run; retry with the same idempotency key to get the complete response"
	case claims.Running:
		return core.OutcomeRunning, "stage " + stage + " is running"
	case claims.NotRun:
		return core.OutcomeNotRun, "stage " + stage + " has not run and will not run"
	case claims.Unknown:
		return core.OutcomeUnknown, "stage " + stage + " may have run"
	}
	return "", ""
}
