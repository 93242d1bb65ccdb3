package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"acaciawinch/standin/harness"
	"acaciawinch/standin/metastore"
	"acaciawinch/standin/platformdoc"
	"acaciawinch/standin/platformfleet"
	"acaciawinch/standin/worker"
)

// spareKey is the API key that the operator revokes.
const spareKey = "key-to-be-revoked"

// linkDelay delays each chunk on a slow link; a store call takes some ms otherwise.
const linkDelay = 150 * time.Millisecond

// configuration returns the configuration of a version, without the spare key if revoked is set.
func configuration(version int64, revoked bool) platformdoc.Document {
	document := platformfleet.Configuration()
	document.Version, document.Limits.MaxBodyBytes = version, longBody
	extra := document.Routes[1]
	extra.Name, extra.Prefix = "extra", fmt.Sprintf("/extra-%d/", version)
	document.Routes = append(document.Routes, extra)
	if !revoked {
		document.Tenants[0].APIKeys = append(document.Tenants[0].APIKeys, spareKey)
	}
	return document
}

// apply runs a step and returns when its time is over and its fault is removed.
func (s *soak) apply(ctx context.Context, step Step) error {
	switch step.Kind {
	case KillGateway, FreezeGateway, StopGateway:
		defer s.beginDisruption(step.Target%len(s.fleet.Gateways), true)()
		return s.onGateway(ctx, step)
	case BreakLink, CutLink, SilenceLink, DelayLink:
		s.onLink(ctx, step)
	case FaultyWorker, ForgetWorker, DrainWorker:
		s.onWorker(ctx, step)
	case LeaveWorker:
		s.leaveWorker(ctx, step)
	case BackOffWorker:
		s.backOffWorker(ctx, step)
	case RollWorker:
		s.rollWorker(ctx, step)
	case LimitWorker:
		s.limitWorker(ctx, step)
	case DisorderWorker:
		s.disorderWorker(ctx, step)
	case DoubleWorker:
		s.doubleWorker(ctx, step)
	case DoubleAfterPause:
		s.doubleAfterPause(ctx, step)
	case BreakHeads:
		s.breakHeads(ctx, step)
	case BreakUploads:
		s.breakUploads(ctx, step)
	case OddEntry:
		s.oddEntry(ctx, step)
	case BurstBodies:
		s.burstBodies(ctx, step)
	case SilenceEngine:
		s.silenceEngine(ctx, step)
	case ReturnStore:
		s.returnStore(ctx, step)
	case ChangeConfiguration, RevokeKey:
		s.configure(step.Kind == RevokeKey)
	default:
		s.onStore(ctx, step)
	}
	return nil
}

// beginDisruption records a disruption of a gateway that lasts until end is called;
// process is set if the process of the gateway itself is affected.
func (s *soak) beginDisruption(gateway int, process bool) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	index := len(s.evidence.disruptions)
	s.evidence.disruptions = append(s.evidence.disruptions, disruption{gateway: gateway, from: time.Now(), to: farFuture, process: process})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.evidence.disruptions[index].to = time.Now()
	}
}

// farFuture is the end of a disruption that has not ended yet.
var farFuture = time.Unix(1<<40, 0)

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, length time.Duration) {
	wait, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	<-wait.Done()
}

// onGateway runs a step on the process of a gateway. The steps on one gateway run one after
// another; only a kill may strike while the gateway is frozen or stopping.
func (s *soak) onGateway(ctx context.Context, step Step) error {
	index := step.Target % len(s.fleet.Gateways)
	process := s.fleet.Gateways[index].Process
	if step.Kind == KillGateway && process.Running() {
		s.endedBySteps[index].Store(true)
		process.Kill()
	}
	s.processes[index].Lock()
	defer s.processes[index].Unlock()
	s.checkAlive(index)
	switch step.Kind {
	case FreezeGateway:
		if err := process.Freeze(); err != nil {
			return nil // the process was killed meanwhile: there is nothing to freeze
		}
		sleep(ctx, step.For)
		_ = process.Resume() // fails if the process was killed meanwhile
		return nil
	case StopGateway:
		s.endedBySteps[index].Store(true)
		if process.SignalTerminate() == nil {
			s.awaitEnd(ctx, process)
		}
	}
	sleep(ctx, step.For/4)
	if process.Running() {
		return nil
	}
	s.endedBySteps[index].Store(false)
	return process.Start()
}

// checkAlive records a violation if a gateway has ended and no step ended it.
func (s *soak) checkAlive(index int) {
	if !s.fleet.Gateways[index].Running() && !s.endedBySteps[index].Load() {
		s.addViolation("gateway %d ended by itself", index+1)
	}
}

// graceTime is how long a gateway may take to stop, as in its settings.
const graceTime = 4 * time.Second

// awaitEnd waits until a gateway has ended, and kills it after graceTime.
func (s *soak) awaitEnd(ctx context.Context, process *harness.Process) {
	limit, cancel := context.WithTimeout(ctx, graceTime)
	defer cancel()
	select {
	case <-process.Exited():
	case <-limit.Done():
		process.Kill()
	}
}

// onLink runs a step on one link.
func (s *soak) onLink(ctx context.Context, step Step) {
	name := s.names[step.Target%len(s.names)]
	relay := s.links[name]
	defer s.beginDisruption(allGateways, false)()
	defer s.beginLinkDisruption(name)()
	switch step.Kind {
	case BreakLink:
		relay.Break()
		return
	case CutLink:
		relay.Cut()
	case SilenceLink:
		relay.Silence(step.Direction)
	case DelayLink:
		relay.Delay(linkDelay)
	}
	sleep(ctx, step.For)
	relay.Heal()
}

// workerFaults are the variants of a faulty worker.
var workerFaults = []worker.Faults{
	{Reject: 5}, {Fail: 5}, {Cut: 5}, {Foreign: 3}, {Unsigned: 3}, {NoRoom: 4}, {Gone: 4}, {Cut: 2, Fail: 2, Reject: 2},
}

// onWorker runs a step on a worker or its entry in the store.
func (s *soak) onWorker(ctx context.Context, step Step) {
	w := s.worker(step.Target)
	switch step.Kind {
	case FaultyWorker:
		w.SetFaults(workerFaults[step.Choice%len(workerFaults)])
		sleep(ctx, step.For)
		w.SetFaults(worker.Faults{})
	case ForgetWorker:
		s.unregister(w)
		sleep(ctx, step.For)
		s.register(w, "ready")
	case DrainWorker:
		s.register(w, "draining")
		sleep(ctx, step.For)
		s.register(w, "ready")
	}
}

// storeStatuses are the statuses of a store that refuses calls.
var storeStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}

// onStore runs a step on the store. Of two steps that overlap, the faults of the later one are in
// force.
func (s *soak) onStore(ctx context.Context, step Step) {
	s.away.RLock()
	defer s.away.RUnlock()
	defer s.beginDisruption(allGateways, false)()
	var faults metastore.Faults
	switch step.Kind {
	case ForgetHistory:
		s.fleet.Store.Forget()
		return
	case RefuseStore:
		faults.Refuse = storeStatuses[step.Choice%len(storeStatuses)]
	case SilenceStore:
		faults.Silent = true
	case LoseWrites:
		faults.LoseWrites = true
	}
	s.fleet.Store.SetFaults(faults)
	sleep(ctx, step.For)
	s.fleet.Store.SetFaults(metastore.Faults{})
}

// configure writes the next configuration. If revoke is set, this and all later ones are without the
// spare key; the time of the revocation is that of the acknowledgement by the store.
func (s *soak) configure(revoke bool) {
	s.away.RLock()
	defer s.away.RUnlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.spareRevoked = s.spareRevoked || revoke
	s.putConfiguration()
	if s.spareRevoked && s.evidence.revoked.IsZero() {
		s.evidence.revoked = time.Now()
	}
}
