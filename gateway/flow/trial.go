package flow

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/fingerprint"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/clock"
	"acaciawinch/gateway/quarantine"
)

// reservationPoll is the time between two rounds of attempts to reserve an upstream.
const reservationPoll = 100 * time.Millisecond

// reserveUpstream reserves an upstream for the trial that the request is sent as, and returns the
// upstream's incarnation. While other trials use all upstreams, it waits.
func (rq *request) reserveUpstream(needs requirements) (string, error) {
	if needs.only != "" && !rq.isListed(needs.only) {
		return "", rq.presumeCrash()
	}
	if _, found := rq.preview(needs); !found {
		needs.only = "" // the upstream runs and accepts no work: the last trial has not crashed it
	}
	ended := needs.excluded
	giveUpAt := time.Now().Add(quarantine.ReservationWait)
	for time.Now().Before(giveUpAt) && rq.ctx.Err() == nil {
		candidate, found := rq.preview(needs)
		if !found && len(needs.excluded) == len(ended) {
			return "", fault.New(fault.Unavailable, "request.choose", rq.service, "no upstream accepts requests")
		}
		if !found {
			clock.Sleep(rq.ctx, reservationPoll)
			needs.excluded = ended
			continue
		}
		incarnation := quarantine.IncarnationOf(candidate.Upstream)
		switch rq.Guard.Reserve(rq.ctx, rq.hdr.ID, rq.crashPass, candidate.Upstream) {
		case quarantine.ReservationHeld:
			return incarnation, nil
		case quarantine.ReservationBusy:
			needs.excluded = append(slices.Clip(needs.excluded), incarnation)
		default:
			return "", rq.refuseTrial(rq.crashPass.Suspect, "the trial can't be recorded in the store")
		}
	}
	return "", rq.refuseTrial(rq.crashPass.Suspect, "other trials use all upstreams")
}

// trialEnded is called when a trial was sent to an upstream, with the error of the send.
func (rq *request) trialEnded(upstream routes.Upstream, trial quarantine.Pass, err error) {
	if wasRefused(err) {
		rq.presumeCrashAt(upstream, trial)
		return
	}
	if rq.usedPass.IsTrial() && !closedByUpstream(err) {
		rq.Guard.TrialEnded(rq.usedPass, upstream)
	}
}

// refuseTrial returns the error for a trial of a suspect that can't be made now.
func (rq *request) refuseTrial(suspect fingerprint.Fingerprint, reason string) error {
	return fault.Wrap(fault.Refused, "request.quarantine", rq.service, rq.Guard.Postpone(suspect, reason))
}

// presumeCrash records that the upstream to which the trial must go has ended, and returns the
// refusal of the request, if it is refused now.
func (rq *request) presumeCrash() error {
	suspect := rq.crashPass.Suspect
	rq.Guard.PresumeCrash(rq.hdr.ID, rq.crashPass)
	rq.crashPass = quarantine.Pass{}
	if err := rq.checkQuarantine(); err != nil {
		return err
	}
	return rq.refuseTrial(suspect, "the last trial has crashed its upstream")
}

// isListed reports whether discovery lists an incarnation of an upstream.
func (rq *request) isListed(incarnation string) bool {
	return slices.ContainsFunc(rq.View.Upstreams().Of(rq.service), func(upstream routes.Upstream) bool {
		return quarantine.IncarnationOf(upstream) == incarnation
	})
}

// presumeCrashAt is called when a send failed because its upstream has ended. If the request had to be
// sent there because the outcome of its last trial is not known, that trial is presumed to have
// crashed the upstream, and presumeCrashAt returns true.
func (rq *request) presumeCrashAt(upstream routes.Upstream, pass quarantine.Pass) bool {
	if pass.Upstream != quarantine.IncarnationOf(upstream) {
		return false
	}
	rq.Guard.PresumeCrash(rq.hdr.ID, pass)
	rq.crashPass = quarantine.Pass{}
	return true
}

// wasRefused reports whether a connection was refused, so that no process listens at its address.
func wasRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
