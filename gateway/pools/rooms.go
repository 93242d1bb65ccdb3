package pools

import (
	"context"
	"net/http"
	"time"

	"acaciawinch/core/routes"
	"acaciawinch/gateway/ratelimit"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/stagecall"
)

const (
	// reportTimeout bounds a call that asks an upstream how much room it has.
	reportTimeout = time.Second
	// reportWait is how long work waits for that report: an upstream answers within some ms while it runs a
	// call, and a call whose results find no room costs 200 ms and more. One that is silent delays all.
	reportWait = 50 * time.Millisecond
	// firstStartTime is how long after the start of a process it counts as part of the first start of its
	// fleet, in which upstreams store nothing: all gateways are up and have chosen owners by then.
	firstStartTime = 10 * time.Second
	// maxHeldBytes bounds the size of one result that a caller reports.
	maxHeldBytes = 1 << 40
)

// StartsFirst tells the Owner that the whole fleet starts for the first time. It must be called before Run.
func (o *Owner) StartsFirst() { o.firstStartUntil = time.Now().Add(firstStartTime) }

// earlyHeld is a report on results that arrived before the configuration was known.
type earlyHeld struct {
	session *Session
	part    Part
	handles []string
	bytes   []uint64
}

// Held takes the results of a part that the caller uses and that another owner's calls have made, with
// their sizes.
func (s *Session) Held(part Part, handles []string, bytes []uint64) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.owner.takeHeld(earlyHeld{session: s, part: part, handles: handles, bytes: bytes})
}

// takeHeld records the results of a report as used room, until they are freed or must have expired. It makes
// the part ask its upstreams for their room, as it has a new owner. o.mu must be held.
func (o *Owner) takeHeld(report earlyHeld) {
	if report.session.ended {
		return
	}
	if !o.configKnown() {
		o.holdEarlyHeld(report)
		return
	}
	p := o.pool(report.part)
	if p == nil {
		return
	}
	now := time.Now()
	if now.Sub(p.roomAskedAt) > p.keepTime {
		p.askRoom = true
	}
	added, size := 0, int64(0)
	for i, handle := range report.handles {
		if i >= len(report.bytes) {
			break
		}
		bytes := int64(min(report.bytes[i], maxHeldBytes))
		if o.addHeld(p, handle, keptResult{bytes: bytes, until: now.Add(p.keepTime), caller: report.session.caller}) {
			added++
			size += bytes
		}
	}
	if len(report.handles) == 0 {
		return // it only tells of the change of owner
	}
	name := ""
	if report.session.caller != nil {
		name = report.session.caller.name
	}
	o.metrics.heldLearned.Inc(int64(added))
	o.logger.Event(event.PoolHeldLearned, observe.Fields{"service": p.Service, "part": p.Index, "caller": name,
		"results": len(report.handles), "new": added, "bytes": size})
}

// holdEarlyHeld holds a report until the configuration is known. o.mu must be held.
func (o *Owner) holdEarlyHeld(report earlyHeld) {
	if len(o.earlyHelds) < maxEarly { // beyond, the results are only unknown to this owner
		o.earlyHelds = append(o.earlyHelds, report)
	}
}

// addHeld records one result that a caller reported, and reports whether it was not known. A result that
// this owner has, or has freed, counts once. o.mu must be held.
func (o *Owner) addHeld(p *ownedPart, handle string, result keptResult) bool {
	if _, known := p.itemOf(handle); known {
		return false
	}
	upstream, found := o.fleet.Upstreams().At(addressOf(handle))
	if !found || upstream.Service != p.Service || !p.Has(upstream.ID) {
		return false
	}
	result.upstream = upstream
	p.results[handle] = result
	p.queue.Store(upstream, result.bytes)
	return true
}

// askRooms asks the upstreams of a part for their room, once after this process has become its owner and
// has work for it: what the calls of the owner before it left there, and no gateway knows of, would be
// found out by refused results only. Upstreams that take no work now are left out. o.mu must be held.
func (o *Owner) askRooms(p *ownedPart, now time.Time) {
	if !p.askRoom || len(p.tasks) == 0 {
		return
	}
	p.askRoom = false
	p.roomAskedAt = now
	for _, upstream := range p.of(o.fleet.Upstreams()) {
		if !upstream.TakesWork(now) {
			continue
		}
		limited := o.limits.Limited(upstream)
		if !limited { // work for one with a limit waits for permits of its own
			p.queue.AwaitReport(upstream, now.Add(o.reportWait))
		}
		go o.askRoomOf(p, upstream, limited)
	}
}

// askRoomOf asks one upstream for its room and records the report.
func (o *Owner) askRoomOf(p *ownedPart, upstream routes.Upstream, limited bool) {
	asked := time.Now()
	report, err := o.fetchReport(p, upstream, limited)
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.metrics.reportsFailed.Inc(1)
		o.logger.Warn(event.PoolRoomUnknown, observe.Fields{"service": p.Service, "part": p.Index, "upstream": upstream.ID,
			"error": err.Error(), "duration_us": now.Sub(asked).Microseconds()})
		p.queue.EndReport(upstream)
		o.sendCalls(p, now)
		return
	}
	known, unaccounted, _ := p.queue.ReportRoom(upstream, report.FreeBytes, now.Add(p.keepTime))
	o.metrics.reports.Inc(1)
	o.metrics.unaccountedBytes.Inc(unaccounted)
	o.logger.Event(event.PoolRoomLearned, observe.Fields{"service": p.Service, "part": p.Index, "upstream": upstream.ID,
		"free_bytes": report.FreeBytes, "known_bytes": known, "unaccounted_bytes": unaccounted, "duration_us": now.Sub(asked).Microseconds()})
	o.sendCalls(p, now)
}

// fetchReport makes the call that asks an upstream for its room. One with a limit gets it with a permit only.
func (o *Owner) fetchReport(p *ownedPart, upstream routes.Upstream, limited bool) (stagecall.Report, error) {
	ctx, cancel := context.WithTimeout(o.lifetime, reportTimeout)
	defer cancel()
	var permit *ratelimit.Permit
	if limited {
		var err error
		if permit, err = o.limits.Acquire(ctx, ratelimit.Request{Service: p.Service, Upstreams: []routes.Upstream{upstream}, Wait: reportTimeout}); err != nil {
			return stagecall.Report{}, err
		}
	}
	defer permit.Release()
	request := o.message(upstream, stagecall.ReportPath, nil, 0)
	request.Method, request.MaxBody = http.MethodGet, maxReportBytes
	request.ShouldSend = func() bool {
		return o.fleet.Upstreams().StillTakesWork(upstream, time.Now()) && o.limits.MaySend(upstream, permit, "")
	}
	content, err := o.post(ctx, upstream, request)
	if err != nil {
		return stagecall.Report{}, err
	}
	return stagecall.ReadReport(content)
}
