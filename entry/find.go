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

// Bounds of a look-up.
const (
	lookupTimeout = 500 * time.Millisecond
	lookTimeout   = 3 * time.Second
)

// looker finds out what became of a claim; *claims.Keeper is one.
type looker interface {
	Look(ctx context.Context, workspace, pipeline, key, stage string) (claims.Held, error)
}

// fleetView is the state of the fleet that a look-up reads; *feed.State is one.
type fleetView interface {
	Hosts() []fleet.Host
	Template(name string) (config.Template, bool)
}

// finder finds traces here or at the entry that a request id names.
type finder struct {
	name   string
	state  func() fleetView
	traces *trace.Ring
	dialer *link.Dialer
	looker looker
}

// Trace returns the trace of id from here or from the entry that the id names.
func (f *finder) Trace(ctx context.Context, id core.RequestID) (trace.Trace, bool) {
	if found, ok := f.traces.Get(id); ok {
		return found, true
	}
	addr, ok := f.addressOf(id)
	if !ok {
		return trace.Trace{}, false
	}
	return f.ask(ctx, addr, id)
}

// addressOf returns the address of the other entry that id names.
func (f *finder) addressOf(id core.RequestID) (string, bool) {
	cut := strings.LastIndexByte(string(id), '-')
	state := f.state()
	if cut < 0 || state == nil {
		return "", false
	}
	name := string(id)[:cut]
	for _, host := range state.Hosts() {
		if host.Role == fleet.RoleEntry && host.Name == name && name != f.name {
			return host.Addr, true
		}
	}
	return "", false
}

// ask asks another entry for a trace.
func (f *finder) ask(ctx context.Context, addr string, id core.RequestID) (trace.Trace, bool) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
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

// Find implements callers.Finder. If the trace is gone, or tells no outcome, the
// claim of the key is asked; a request without a key has its id as the key.
func (f *finder) Find(ctx context.Context, workspace, pipeline string, id core.RequestID, key string) (trace.Trace, bool) {
	found, ok := f.Trace(ctx, id)
	if ok && found.Outcome != core.OutcomeUnknown {
		return found, true
	}
	if key == "" {
		key = string(id)
	}
	claimed, known := f.look(ctx, workspace, pipeline, key)
	if !known {
		return found, ok
	}
	claimed.RequestID = id
	return claimed, true
}

// look asks the claims of a pipeline's non-idempotent stages what became of the
// key. It returns false if they tell nothing.
func (f *finder) look(ctx context.Context, workspace, pipeline, key string) (trace.Trace, bool) {
	state := f.state()
	if state == nil {
		return trace.Trace{}, false
	}
	template, ok := state.Template(pipeline)
	if !ok {
		return trace.Trace{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	found, known := trace.Trace{Workspace: workspace, Pipeline: pipeline}, false
	for _, stage := range template.Stages {
		if !stage.NonIdempotent {
			continue
		}
		held, err := f.looker.Look(ctx, workspace, pipeline, key, stage.Name)
		if err != nil {
			return trace.Trace{}, false
		}
		outcome, detail := outcomeOf(held, stage.Name)
		if outcome == "" {
			break
		}
		found.Outcome, found.Detail, found.Step = outcome, detail, "claim."+stage.Name
		known = true
		if held.Status != claims.Done {
			break
		}
	}
	return found, known
}

// outcomeOf returns what the claim of a stage tells of its request, or nothing.
func outcomeOf(held claims.Held, stage string) (core.Outcome, string) {
	switch held.Status {
	case claims.Done:
		return core.OutcomeUnknown, "stage " + stage + " has run; ask again with the same key for the whole answer"
	case claims.Running:
		return core.OutcomeRunning, "stage " + stage + " is running"
	case claims.NotRun:
		return core.OutcomeNotRun, "stage " + stage + " has not run and will not"
	case claims.Unknown:
		return core.OutcomeUnknown, "stage " + stage + " may have run"
	}
	return "", ""
}
