package flow

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"acaciawinch/core/routes"
	core "acaciawinch/core/streamversion"
	"acaciawinch/gateway/streamversion"
)

// stepResume is the step of requests that take up a stream.
const stepResume = "stream.resume"

// takesUp reports whether the client takes up a stream of which it has events.
func (rq *request) takesUp() bool {
	return rq.route.CanResume() && (rq.hdr.Resumes != "" || rq.hdr.LastEvent != "")
}

// streamKey identifies the stream of the request over its client's attempts.
func (rq *request) streamKey() core.Key {
	key := core.Key{Attempt: rq.hdr.ID}
	if rq.takesUp() && rq.hdr.Resumes != "" {
		key.Attempt = rq.hdr.Resumes
	}
	if rq.workspace != nil {
		key.Workspace = rq.workspace.Name
	}
	return key
}

// bindVersion finds the software version at which a stream must go on that the client takes up, or checks that a new
// stream may begin. If it refuses the request, it sends the response and returns false.
func (rq *request) bindVersion() bool {
	if !rq.route.CanResume() {
		return true
	}
	if !rq.takesUp() {
		if _, err := rq.Versions.Usable(rq.ctx, rq.service); err != nil {
			return rq.refuse(http.StatusServiceUnavailable, "stream.begin", err.Error(), retryAfterNotReady)
		}
		return true
	}
	stream := streamversion.TakenUp{Key: rq.streamKey(), Request: rq.hdr.ID, Service: rq.service, After: rq.lastEvent}
	if rq.hdr.Resumes == "" {
		stream.Key.Attempt = "" // the client does not say which attempt began it
	}
	origin, err := rq.Versions.Resume(rq.ctx, stream)
	if err != nil {
		return rq.refuseResume(err)
	}
	if origin.Service != "" && origin.Service != rq.service {
		if !slices.ContainsFunc(rq.route.Targets, func(target routes.Target) bool { return target.Service == origin.Service }) {
			return rq.refuseResume(&streamversion.Refusal{Reason: "the route no longer leads to the service that began it", Final: true})
		}
		rq.service = origin.Service
	}
	rq.software = &origin.Version
	if rq.isVersionGone() {
		return rq.refuseResume(&streamversion.Refusal{Reason: "no upstream of software version " + origin.Version + " is left", Final: rq.View.ListsAll()})
	}
	return true
}

// refuseResume refuses a request whose stream can't go on. If waiting can't help, the status says that this
// request is misdirected, without a time to come back: the client may begin a new stream.
func (rq *request) refuseResume(err error) bool {
	var refusal *streamversion.Refusal
	if errors.As(err, &refusal) && refusal.Final {
		return rq.refuse(http.StatusMisdirectedRequest, stepResume, err.Error(), 0)
	}
	return rq.refuse(http.StatusServiceUnavailable, stepResume, err.Error(), retryAfterNotReady)
}

// isVersionGone reports whether no upstream of the version at which the stream must go on takes work, now or later.
func (rq *request) isVersionGone() bool {
	return !slices.ContainsFunc(rq.View.Upstreams().Of(rq.service), func(upstream routes.Upstream) bool {
		return upstream.Version == *rq.software && !upstream.Leaving
	})
}

// knownVersions returns the software versions that the upstream of the request may have, given those that were
// known when it was sent. It never waits.
func (rq *request) knownVersions(sent []string) []string {
	if rq.software != nil {
		return []string{*rq.software}
	}
	return sent
}

// versions returns the software versions that the upstream of the request may have; nil allows all.
func (rq *request) versions() []string {
	if rq.software != nil {
		return []string{*rq.software}
	}
	if !rq.route.CanResume() {
		return nil
	}
	usable, err := rq.Versions.Usable(rq.ctx, rq.service)
	if err != nil {
		return []string{} // the request waits for an upstream that it may be sent to, or is refused
	}
	return usable
}

// availableAt returns when the first upstream of a service takes work that the request may be sent to, if it is
// the request's service.
func (rq *request) availableAt(service string, now time.Time) time.Time {
	upstreams := rq.View.Upstreams()
	if rq.software == nil || service != rq.service {
		return upstreams.AvailableAt(service, now)
	}
	return routes.AvailableAt(func(yield func(routes.Upstream) bool) {
		for _, upstream := range upstreams.Of(service) {
			if upstream.Version == *rq.software && !yield(upstream) {
				return
			}
		}
	}, now)
}

// recordVersion records the software version of the stream before the request's first event is passed on. From then
// on, the stream goes on at that version only.
func (rq *request) recordVersion(upstream routes.Upstream) {
	if rq.recorded || !rq.route.CanResume() {
		return
	}
	rq.recorded = true
	rq.software = &upstream.Version
	lifetime := max(rq.route.Timeout, rq.hdr.Remaining)
	if lifetime == 0 {
		lifetime = defaultTimeout
	}
	rq.Versions.Begun(rq.ctx, streamversion.Stream{Key: rq.streamKey(), Request: rq.hdr.ID, Service: rq.service, Version: upstream.Version, Lifetime: lifetime})
}
