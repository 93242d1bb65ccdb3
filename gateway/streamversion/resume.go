package streamversion

import (
	"context"
	"errors"
	"syscall"
	"time"

	core "acaciawinch/core/streamversion"
	"acaciawinch/gateway/clock"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/wirepb"
)

// resumeWait bounds how long a client that takes a stream up waits for the version: it abandons a stream after two
// seconds without an event, and another gateway may know more.
const resumeWait = time.Second

// Origin is where a stream began that a client takes up.
type Origin struct {
	// Service is the service that began it, empty if only the version is known.
	Service, Version string
}

// Refusal is the error for a stream that can't go on.
type Refusal struct {
	// Reason says why.
	Reason string
	// Final is set if the stream can't go on later either.
	Final bool
}

// Error implements error.
func (r *Refusal) Error() string { return "the stream can't go on: " + r.Reason }

// TakenUp is a stream that a client takes up.
type TakenUp struct {
	Key core.Key
	// Request is the ID of the attempt that takes it up.
	Request string
	Service string
	// After is the ID of the last event that the client has.
	After string
}

// Resume returns where a stream began that a client takes up. Its error is a *Refusal.
func (k *Keeper) Resume(ctx context.Context, stream TakenUp) (Origin, error) {
	started := time.Now()
	waiting, cancel := context.WithTimeout(ctx, resumeWait)
	defer cancel()
	found := k.gather(waiting, stream)
	decision := core.Decide(found.Evidence)
	k.options.Logger.Event(event.StreamTakenUp, observe.Fields{"request": stream.Request, "stream": stream.Key.Attempt, "after": stream.After, "service": stream.Service,
		"outcome": outcomeNames[decision.Outcome], "software": decision.Version, "reason": decision.Reason, "source": found.source, "asked": found.asked, "silent": found.Silent,
		"waited_us": time.Since(started).Microseconds()})
	switch decision.Outcome {
	case core.GoesOn:
		k.metrics.resumed.Inc(1)
		origin := Origin{Version: decision.Version}
		if found.Record != nil {
			origin.Service = found.Record.Service
		}
		return origin, nil
	case core.NotNow:
		k.metrics.postponed.Inc(1)
	default:
		k.metrics.refused.Inc(1)
	}
	return Origin{}, &Refusal{Reason: decision.Reason, Final: decision.Outcome == core.Never}
}

// outcomeNames holds the names of outcomes in log lines.
var outcomeNames = map[core.Outcome]string{core.GoesOn: "goes_on", core.NotNow: "not_now", core.Never: "refused"}

// evidence is what was found of a stream, and where.
type evidence struct {
	core.Evidence
	// source is the gateway that had the record, or "store".
	source string
	asked  int
}

// gather collects the evidence on a stream: this process's own records, the register unless it is known to be
// mixed, and the records of other gateways.
func (k *Keeper) gather(ctx context.Context, stream TakenUp) evidence {
	var found evidence
	k.mu.Lock()
	s := k.service(stream.Service)
	if record, known := k.find(stream.Key, clock.Boot()); known {
		k.mu.Unlock()
		found.Record, found.source = &record, k.options.Self.Name
		return found
	}
	var call *syncCall
	if !s.state.Mixed() {
		call = k.startSync(s)
	}
	k.mu.Unlock()
	if call == nil {
		found.RegisterKnown = true
	} else {
		k.awaitSync(ctx, call, &found)
	}
	if found.Register.Settled {
		found.source = "store"
	}
	if found.Register.Settled && !call.changed {
		return found
	}
	k.lookUp(ctx, stream, &found)
	k.mu.Lock()
	found.Changing = s.mixedAt > 0 && clock.Boot()-s.mixedAt < changingTime
	k.mu.Unlock()
	return found
}

// find returns a record of this process, and false if it has none. k.mu must be held.
func (k *Keeper) find(key core.Key, now time.Duration) (core.Record, bool) {
	if key.Attempt == "" {
		return core.Record{}, false
	}
	own, began := k.begun.Get(key, now)
	copied, holds := k.held.Get(key, now)
	if began && holds {
		own.Conflict = own.Conflict || copied.Conflict || own.Version != copied.Version
	}
	if began {
		return own, true
	}
	return copied, holds
}

// isFresh reports whether what this process knows of versions may be used.
func (k *Keeper) isFresh() bool {
	age, known := k.options.Fleet.ProofAge()
	return known && age <= core.MaxStateAge
}

// awaitSync waits for a read of the register.
func (k *Keeper) awaitSync(ctx context.Context, call *syncCall, found *evidence) {
	select {
	case <-call.done:
		found.RegisterKnown, found.Register = call.read, call.found
	case <-ctx.Done():
	}
}

// lookUp asks the gateways that may hold the record of a stream, all at once.
func (k *Keeper) lookUp(ctx context.Context, stream TakenUp, found *evidence) {
	if stream.Key.Attempt == "" {
		return // the client does not name the attempt
	}
	k.mu.Lock()
	targets, spare := k.targets(k.gateways.Candidates(stream.Key))
	k.mu.Unlock()
	asked := append(targets, spare...)
	found.asked = len(asked)
	replies := make(chan lookupReply, len(asked))
	lookup := &wirepb.StreamLookup{Workspace: stream.Key.Workspace, Attempt: stream.Key.Attempt, Service: stream.Service}
	for _, member := range asked {
		go func() {
			reply, err := k.ask(member, lookup)
			replies <- lookupReply{from: member, record: reply.GetRecord(), err: err}
		}()
	}
	for range asked {
		select {
		case reply := <-replies:
			if k.takeReply(reply, found) {
				k.metrics.found.Inc(1)
				return
			}
		case <-ctx.Done():
			found.Silent++
		}
	}
	k.metrics.missing.Inc(1)
}

// lookupReply is the response of a gateway to a lookup.
type lookupReply struct {
	from   view.Member
	record *wirepb.StreamRecord
	err    error
}

// takeReply takes the response of a gateway, and reports whether it had the record. A gateway whose process has
// ended counts as one that has none.
func (k *Keeper) takeReply(reply lookupReply, found *evidence) bool {
	switch {
	case reply.record != nil:
		record := recordOf(reply.record, clock.Boot())
		found.Record, found.source = &record, reply.from.Name
		return true
	case reply.err != nil && !errors.Is(reply.err, syscall.ECONNREFUSED):
		found.Silent++
	}
	return false
}
