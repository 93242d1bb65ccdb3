package feed

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/core/placement"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/wirepb"
)

// errComplete ends a subscription that was to read the current state of an entry once.
var errComplete = errors.New("enough")

// errStaleBase ends a subscription whose delta does not apply to this process's host list.
// The process subscribes again with the versions that it has now.
var errStaleBase = errors.New("another source has updated the host list since the subscription")

// receiver receives the feed of one entry.
type receiver struct {
	feed *Feed
	host fleet.Host
	// full requests the whole configuration, whatever revision the process has.
	full      bool
	assembler assembler
	// heartbeats counts the heartbeats received. The first one only says that the entry
	// has sent its whole current state.
	heartbeats int
	// onHeartbeat is called at each heartbeat; an error ends the subscription.
	onHeartbeat func(heartbeats int) error
}

// run receives the feed until ctx ends, the stream breaks, no message arrives within
// the silence timeout, or a message cannot be handled. It always returns an error.
func (r *receiver) run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := r.feed.timing.SilenceTimeout
	silenceTimer := time.AfterFunc(timeout, func() {
		cancel(fault.New(fault.DeadlineExceeded, "feed.receive", r.host.Name, "silent for %v", timeout))
	})
	defer silenceTimer.Stop()
	conn := r.feed.opts.Dialer.Conn(ctx, r.host.Addr)
	defer func() { _ = conn.Close() }() // the call has ended; a connection that fails to close is not used again
	stream, err := wirepb.NewDRPCEntryClient(conn).Subscribe(ctx, r.request())
	if err != nil {
		return r.cause(ctx, err)
	}
	defer func() { _ = stream.Close() }() // the stream is broken or no longer needed
	for {
		update, err := stream.Recv()
		if err != nil {
			return r.cause(ctx, err)
		}
		silenceTimer.Reset(timeout)
		if err := r.handle(update); err != nil {
			return err
		}
	}
}

// cause returns why the stream ended.
func (r *receiver) cause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return fault.Wrap(fault.Unavailable, "feed.receive", r.host.Name, err)
}

// request returns the subscription request, with the versions that this process has.
func (r *receiver) request() *wirepb.SubscribeRequest {
	f := r.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	request := &wirepb.SubscribeRequest{Process: f.opts.Name, Zone: f.opts.Zone, Scope: wirepb.FeedScope_FEED_FULL,
		HostsVersion: f.latest.hosts.Version, PlacementVersion: f.latest.placementVersion}
	if !r.full {
		request.Revision = uint64(f.latest.Revision)
	}
	if f.opts.Role != fleet.RoleEntry {
		request.Scope = wirepb.FeedScope_FEED_SIDE
	}
	return request
}

// handle decodes and applies one message.
func (r *receiver) handle(update *wirepb.FleetUpdate) error {
	update, err := unpack(update, r.host.Name)
	if err != nil {
		return err
	}
	if config := update.GetConfig(); config != nil {
		if err := r.handleConfig(config); err != nil {
			return err
		}
	}
	if hosts := update.GetHosts(); hosts != nil {
		if err := r.handleHosts(hosts); err != nil {
			return err
		}
	}
	if plan := update.GetPlacement(); plan != nil {
		if err := r.handlePlacement(plan); err != nil {
			return err
		}
	}
	if update.GetHeartbeat() {
		r.heartbeats++
		return r.onHeartbeat(r.heartbeats)
	}
	return nil
}

// handleConfig adds one message of a delta, and applies the delta once it is complete.
func (r *receiver) handleConfig(update *wirepb.ConfigUpdate) error {
	delta, complete, err := r.assembler.add(update)
	if err != nil || !complete {
		return err
	}
	latest := r.feed.latestConfig()
	if latest != nil && !delta.Full && delta.Revision <= latest.Revision() {
		return nil // Another source has delivered it already.
	}
	// A delta may begin at an earlier revision than the current one, if another
	// source has updated this process since it subscribed. Apply then returns a
	// Conflict, and the follower subscribes for the full configuration.
	snapshot, err := latest.Apply(delta)
	if err != nil {
		r.feed.warn(event.FeedMismatch, observe.Fields{"provider": r.host.Name, "error": err.Error()})
		return err
	}
	r.countUpdate(delta.Full)
	r.feed.applyConfig(snapshot, r.host.Name)
	return nil
}

// countUpdate counts a configuration received, either a full one or a delta.
func (r *receiver) countUpdate(full bool) {
	if full {
		r.feed.meters.fulls.add()
		return
	}
	r.feed.meters.deltas.add()
}

// handleHosts applies a change of the host list. If the change begins at another
// version than the current one, because another source has updated the list, it returns
// errStaleBase.
func (r *receiver) handleHosts(update *wirepb.HostsUpdate) error {
	delta, err := decodeHosts(update)
	if err != nil {
		return err
	}
	latest := r.feed.latestHosts()
	if delta.Base != 0 && delta.Base != latest.Version {
		if delta.Version <= latest.Version {
			return nil
		}
		return errStaleBase
	}
	r.feed.applyHosts(latest.Apply(delta), r.host.Name)
	return nil
}

// handlePlacement decodes and applies a placement.
func (r *receiver) handlePlacement(update *wirepb.PlacementUpdate) error {
	var plan placement.Plan
	if err := json.Unmarshal(update.GetPlan(), &plan); err != nil {
		return fault.Wrap(fault.Invalid, "feed.decode", r.host.Name, err)
	}
	r.feed.applyPlacement(plan, update.GetVersion(), r.host.Name)
	return nil
}
