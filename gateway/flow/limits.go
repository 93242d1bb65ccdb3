package flow

import (
	"slices"
	"time"

	"acaciawinch/core/fault"
	core "acaciawinch/core/ratelimit"
	"acaciawinch/core/routes"
	"acaciawinch/core/selection"
	"acaciawinch/gateway/httpconn"
	"acaciawinch/gateway/quarantine"
	"acaciawinch/gateway/ratelimit"
	"acaciawinch/platform/header"
)

// noUpstream returns the error for a request that no upstream of its service takes.
func (rq *request) noUpstream() error {
	return fault.New(fault.Unavailable, "request.choose", rq.service, "no upstream accepts requests")
}

// chooseWithinLimits chooses the upstream for the request. An upstream with a known limit is chosen only
// with a permit. While other upstreams can serve the request, it does not wait for one.
func (rq *request) chooseWithinLimits(needs requirements) (selection.Choice, *ratelimit.Permit, error) {
	if !rq.Limits.Active() {
		return rq.chooseFreely(needs)
	}
	choice, found := rq.preview(needs)
	if !found {
		return choice, nil, rq.noUpstream()
	}
	if !rq.Limits.Limited(choice.Upstream) {
		needs.unlimited = true
		return rq.chooseFreely(needs)
	}
	unlimited := needs
	unlimited.unlimited = true
	if _, othersServe := rq.preview(unlimited); !othersServe {
		return rq.choosePermitted(needs, rq.permitRequest(rq.limitedUpstreams(needs)))
	}
	optional := rq.permitRequest([]routes.Upstream{choice.Upstream})
	optional.Optional = true
	chosen, permit, err := rq.choosePermitted(needs, optional)
	if err == nil || rq.ctx.Err() != nil {
		return chosen, permit, err
	}
	return rq.chooseFreely(unlimited)
}

// chooseFreely chooses the upstream for the request without a permit.
func (rq *request) chooseFreely(needs requirements) (selection.Choice, *ratelimit.Permit, error) {
	choice, found := rq.choose(needs)
	if !found {
		return choice, nil, rq.noUpstream()
	}
	return choice, nil, nil
}

// choosePermitted waits for a permit and chooses its upstream.
func (rq *request) choosePermitted(needs requirements, asked ratelimit.Request) (selection.Choice, *ratelimit.Permit, error) {
	permit, err := rq.Limits.Acquire(rq.ctx, asked)
	if err != nil {
		return selection.Choice{}, nil, fault.Wrap(fault.Unavailable, "request.limit", rq.service, err)
	}
	needs.only = quarantine.IncarnationOf(permit.Upstream)
	choice, found := rq.choose(needs)
	if !found {
		permit.Release()
		return choice, nil, rq.noUpstream()
	}
	return choice, permit, nil
}

// permitRequest returns the request for a permit for one of some upstreams.
func (rq *request) permitRequest(upstreams []routes.Upstream) ratelimit.Request {
	return ratelimit.Request{ID: rq.hdr.ID, Service: rq.service, Upstreams: upstreams, Rank: rq.class.Rank, Value: rq.value, Wait: rq.patience(), Returns: !rq.headSent}
}

// patience returns how long the request can wait until it is sent.
func (rq *request) patience() time.Duration {
	until := rq.startBy
	if rq.events > 0 {
		until = rq.startLimit(time.Now())
	}
	return max(0, time.Until(until)-firstEventAllowance)
}

// limitedUpstreams returns the upstreams with a known limit that the request may be sent to now.
func (rq *request) limitedUpstreams(needs requirements) []routes.Upstream {
	needs.keepTogether = false // where all have limits, a copy takes the first permit
	rq.mu.Lock()
	defer rq.mu.Unlock()
	now := time.Now()
	return slices.DeleteFunc(slices.Clone(rq.usable(needs, now)), func(upstream routes.Upstream) bool {
		return !upstream.TakesWork(now) || slices.Contains(needs.tried, upstream.ID) || !rq.Limits.Limited(upstream)
	})
}

// refusedByLimits returns the refusal of a request with stages that would get no permit for its upstream in
// time, nil if it may get one. It is checked before the stages, so that none runs in vain.
func (rq *request) refusedByLimits() error {
	if len(rq.route.Stages) == 0 || !rq.Limits.Active() {
		return nil
	}
	needs := rq.requirements()
	unlimited := needs
	unlimited.unlimited = true
	if _, served := rq.preview(unlimited); served {
		return nil
	}
	limited := rq.limitedUpstreams(needs)
	if len(limited) == 0 {
		return nil
	}
	asked := rq.permitRequest(limited)
	asked.Preview = true
	_, err := rq.Limits.Acquire(rq.ctx, asked)
	return fault.Wrap(fault.Unavailable, "request.limit", rq.service, err)
}

// recordLimit records what a response says of its upstream's limit. Known is what was known of it when the
// request was sent.
func (rq *request) recordLimit(upstream routes.Upstream, response *httpconn.Response, known core.Stamp) {
	info := header.ReadResponse(response.Status, response.Header)
	if info.Replaced {
		return // another upstream responded
	}
	rq.Limits.Responded(upstream, known, info.Limit, rq.hdr.ID)
}
