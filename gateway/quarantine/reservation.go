package quarantine

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/fingerprint"
	"acaciawinch/core/replica"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// A trial reserves the incarnation of the upstream that it is sent to. Without the reservation, a
// request that crashes nothing could share its upstream with the trial of one that does, and would
// be taken for the cause.
const (
	// reservationPrefix begins the names of reservations among the objects of TrialKind; the name of
	// the incarnation follows.
	reservationPrefix = "at-"
	// reservationTTL is how long a reservation holds. An upstream that a trial crashes ends as soon as
	// it runs the trial, and the reservation of a gateway that has ended must not keep other trials
	// waiting for longer than their requests wait.
	reservationTTL = 3 * time.Second
	// sendWithin is how long after its reservation a trial may be sent; the rest of reservationTTL is
	// for the time until it crashes its upstream.
	sendWithin = reservationTTL / 2
	// ReservationWait bounds the wait for a reservation: by then one that is not released has expired.
	ReservationWait = reservationTTL + time.Second
)

// reservationSpec identifies the trial that an upstream is reserved for.
type reservationSpec struct {
	// Trial is the name of the trial's object.
	Trial       string `json:"trial"`
	Gateway     string `json:"gateway"`
	Incarnation string `json:"incarnation"`
}

// reservation is an upstream that is reserved for a trial of this gateway.
type reservation struct {
	name string
	version
	sendBy time.Duration
}

// version is the revision of an object in an era of the store. Revisions are given out again in a
// later era.
type version struct {
	era, revision int64
}

// Reserved is the outcome of Reserve.
type Reserved int

// The outcomes of Reserve.
const (
	// ReservationHeld means that the trial may be sent to the upstream.
	ReservationHeld Reserved = iota
	// ReservationBusy means that the upstream is reserved for another trial.
	ReservationBusy
	// ReservationFailed means that the trial must not be sent: the store did not respond, or another
	// gateway has ended the trial.
	ReservationFailed
)

// String implements fmt.Stringer.
func (r Reserved) String() string {
	return [...]string{"held", "busy", "failed"}[r]
}

// reservationName returns the name of the reservation of an incarnation of an upstream. Names in the
// store are part of a path.
func reservationName(incarnation string) string {
	return reservationPrefix + strings.ReplaceAll(incarnation, "/", ".")
}

// Reserve reserves an upstream for the trial of a Pass and records in the store that the trial is
// sent there. It must be called before the trial is sent, and Release afterwards.
func (g *Guard) Reserve(ctx context.Context, attempt string, pass Pass, upstream routes.Upstream) Reserved {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	incarnation := IncarnationOf(upstream)
	outcome, err := g.reserve(ctx, trialName(pass.Suspect, pass.trial), incarnation)
	if outcome == ReservationHeld && err == nil {
		err = g.recordSend(ctx, pass.Suspect, pass.trial, incarnation)
	}
	if outcome == ReservationBusy && err == nil {
		return outcome // the caller waits or refuses the request
	}
	fields := observe.Fields{"fingerprint": pass.Suspect.String(), "request": attempt, "trial": pass.trial, "upstream": incarnation, "error": ""}
	if err != nil {
		g.Release(pass)
		outcome = ReservationFailed
		fields["error"] = err.Error()
	}
	fields["outcome"] = outcome.String()
	g.options.Logger.Event(event.TrialReserved, fields)
	return outcome
}

// reserve creates the reservation of an incarnation of an upstream for a trial.
func (g *Guard) reserve(ctx context.Context, trial, incarnation string) (Reserved, error) {
	name := reservationName(incarnation)
	wanted := reservationSpec{Trial: trial, Gateway: g.options.Name, Incarnation: g.options.Incarnation}
	era := g.options.Era()
	found, err := g.options.Store().Create(ctx, TrialKind, name, wanted)
	if fault.Is(err, fault.Conflict) || fault.Is(err, fault.Ambiguous) {
		return g.reserveExisting(ctx, name, wanted, era, found)
	}
	if err != nil {
		return ReservationFailed, err
	}
	g.holdReservation(trial, name, version{era: era, revision: found.Revision})
	return ReservationHeld, nil
}

// reserveExisting decides on a reservation that exists, in an era that was known before it was read.
// One of the same trial is held, as the response of the store was lost, and one that has expired is
// removed.
func (g *Guard) reserveExisting(ctx context.Context, name string, wanted reservationSpec, era int64, found replica.Object) (Reserved, error) {
	if found.Revision == 0 {
		var err error
		if found, err = g.options.Store().Get(ctx, TrialKind, name); err != nil {
			return ReservationFailed, err
		}
	}
	var existing reservationSpec
	if err := json.Unmarshal(found.Spec, &existing); err != nil {
		return ReservationFailed, fault.Wrap(fault.Invalid, "quarantine.reserve", name, err)
	}
	seen := version{era: era, revision: found.Revision}
	if existing == wanted {
		g.holdReservation(wanted.Trial, name, seen)
		return ReservationHeld, nil
	}
	if !g.hasExpired(name, seen) || g.options.Era() != era {
		return ReservationBusy, nil
	}
	err := g.options.Store().Delete(ctx, TrialKind, name, found.Revision)
	if fault.Is(err, fault.NotFound) || fault.Is(err, fault.Conflict) {
		err = nil // another gateway was faster
	}
	return ReservationBusy, err
}

// hasExpired reports whether a reservation of another trial has been seen unchanged for
// reservationTTL. Clocks of different machines are not compared.
func (g *Guard) hasExpired(name string, found version) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Boot()
	seen, known := g.foreign[name]
	if !known || seen.version != found {
		g.foreign[name] = foreignReservation{version: found, since: now}
		return false
	}
	return now-seen.since >= reservationTTL
}

// foreignReservation is a reservation of another trial, and when this gateway first saw it.
type foreignReservation struct {
	version
	since time.Duration
}

// holdReservation records that this gateway holds a reservation for a trial.
func (g *Guard) holdReservation(trial, name string, held version) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reservations[trial] = reservation{name: name, version: held, sendBy: clock.Boot() + sendWithin}
	delete(g.foreign, name)
}

// recordSend records in the object of a trial which upstream it is sent to. It fails if another
// gateway has ended the trial.
func (g *Guard) recordSend(ctx context.Context, request fingerprint.Fingerprint, number int, incarnation string) error {
	name := trialName(request, number)
	own, revision, err := g.existingTrial(ctx, name, replica.Object{})
	if err != nil {
		return err
	}
	if own.Gateway != g.options.Name || own.Incarnation != g.options.Incarnation || own.Phase == phaseEnded {
		return fault.New(fault.Conflict, "quarantine.reserve", name, "another gateway has ended the trial")
	}
	own.Phase, own.Upstream = phaseSent, incarnation
	if _, err := g.options.Store().Replace(ctx, TrialKind, name, revision, own); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.TrialSent(request, incarnation)
	return nil
}

// Release ends the reservation for the trial of a Pass, in the background.
func (g *Guard) Release(pass Pass) {
	if !pass.IsTrial() {
		return
	}
	trial := trialName(pass.Suspect, pass.trial)
	g.mu.Lock()
	held, reserved := g.reservations[trial]
	delete(g.reservations, trial)
	g.mu.Unlock()
	if reserved {
		go g.removeReservation(held)
	}
}

// removeReservation removes the object of a reservation. One that could not be removed expires, and so
// does one that the store has returned to in an older copy: its revision may be that of another by now.
func (g *Guard) removeReservation(held reservation) {
	if g.options.Era() != held.era {
		return
	}
	ctx, cancel := context.WithTimeout(g.options.Lifetime, trialTimeout)
	defer cancel()
	err := g.options.Store().Delete(ctx, TrialKind, held.name, held.revision)
	if err != nil && !fault.Is(err, fault.NotFound) {
		g.options.Logger.Warn(event.RecordUnwritten, observe.Fields{"object": held.name, "error": err.Error()})
	}
}

// PresumeCrash records that the upstream to which the trial of a Pass had to go has ended. The
// outcome of the trial before it is not known, and may have been that crash.
func (g *Guard) PresumeCrash(attempt string, pass Pass) {
	g.mu.Lock()
	g.state.PresumeCrash(pass.Suspect, clock.Boot())
	verdict := g.state.Judge(pass.Suspect, clock.Boot())
	g.mu.Unlock()
	g.metrics.presumed.Inc(1)
	g.options.Logger.Event(event.CrashPresumed, observe.Fields{"fingerprint": pass.Suspect.String(), "request": attempt,
		"upstream": pass.Upstream, "crashes": verdict.Crashes, "refused": verdict.Refused})
	g.wakeWriter()
}
