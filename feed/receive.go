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

// errEnough ends a receive whose caller has what it wants.
var errEnough = errors.New("enough")

// errAgain ends a receive that must begin anew with what the process holds now.
var errAgain = errors.New("this process has moved on by another source")

// receiver follows the feed of one entry.
type receiver struct {
	feed *Feed
	host fleet.Host
	// full asks for the whole configuration, whatever the process holds.
	full      bool
	assembler assembler
	// beats counts the heartbeats. The first one only tells that the entry has
	// sent all that it holds.
	beats int
	// beaten is called at each heartbeat; an error ends the receive.
	beaten func(beats int) error
}

// run follows the entry until ctx ends, the stream breaks, nothing came for the
// silence limit, or beaten returns an error. It always returns an error.
func (r *receiver) run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := r.feed.timing.Silence
	silent := time.AfterFunc(silence, func() {
		cancel(fault.New(fault.DeadlineExceeded, "feed.receive", r.host.Name, "silent for %v", silence))
	})
	defer silent.Stop()
	conn := r.feed.opts.Dialer.Conn(ctx, r.host.Addr)
	defer func() { _ = conn.Close() }() // the call is over; a connection that fails to close is not used again
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
		silent.Reset(silence)
		if err := r.take(update); err != nil {
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

// request tells the entry what this process holds.
func (r *receiver) request() *wirepb.SubscribeRequest {
	f := r.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	request := &wirepb.SubscribeRequest{Process: f.opts.Name, Zone: f.opts.Zone, Scope: wirepb.FeedScope_FEED_FULL,
		HostsVersion: f.held.hosts.Version, PlacementVersion: f.held.placementVersion}
	if !r.full {
		request.Revision = uint64(f.held.Revision)
	}
	if f.opts.Role != fleet.RoleEntry {
		request.Scope = wirepb.FeedScope_FEED_SIDE
	}
	return request
}

// take handles one message.
func (r *receiver) take(update *wirepb.FleetUpdate) error {
	update, err := unpack(update, r.host.Name)
	if err != nil {
		return err
	}
	if part := update.GetConfig(); part != nil {
		if err := r.takeConfig(part); err != nil {
			return err
		}
	}
	if hosts := update.GetHosts(); hosts != nil {
		if err := r.takeHosts(hosts); err != nil {
			return err
		}
	}
	if plan := update.GetPlacement(); plan != nil {
		if err := r.takePlacement(plan); err != nil {
			return err
		}
	}
	if update.GetHeartbeat() {
		r.beats++
		return r.beaten(r.beats)
	}
	return nil
}

// takeConfig adds one message of a delta, and applies the delta when it is whole.
func (r *receiver) takeConfig(update *wirepb.ConfigUpdate) error {
	delta, whole, err := r.assembler.add(update)
	if err != nil || !whole {
		return err
	}
	known := r.feed.known()
	if known != nil && !delta.Full && delta.Revision <= known.Revision() {
		return nil // Another source was first.
	}
	// If this process has moved on by another source since it subscribed, the delta
	// may begin at an earlier configuration than the present. Then it is refused as
	// a Conflict, and the follower asks for everything.
	snapshot, err := known.Apply(delta)
	if err != nil {
		r.feed.warn(event.FeedMismatch, observe.Fields{"provider": r.host.Name, "error": err.Error()})
		return err
	}
	r.count(delta.Full)
	r.feed.takeConfig(snapshot, r.host.Name)
	return nil
}

// count notes what kind of configuration came.
func (r *receiver) count(full bool) {
	if full {
		r.feed.meters.fulls.add()
		return
	}
	r.feed.meters.deltas.add()
}

// takeHosts takes a change of the host list. If it begins at another list than
// the present, because another source was faster, the feed is asked anew.
func (r *receiver) takeHosts(update *wirepb.HostsUpdate) error {
	delta, err := decodeHosts(update)
	if err != nil {
		return err
	}
	held := r.feed.heldHosts()
	if delta.Base != 0 && delta.Base != held.Version {
		if delta.Version <= held.Version {
			return nil
		}
		return errAgain
	}
	r.feed.takeHosts(held.Apply(delta), r.host.Name)
	return nil
}

// takePlacement takes a placement.
func (r *receiver) takePlacement(update *wirepb.PlacementUpdate) error {
	var plan placement.Plan
	if err := json.Unmarshal(update.GetPlan(), &plan); err != nil {
		return fault.Wrap(fault.Invalid, "feed.decode", r.host.Name, err)
	}
	r.feed.takePlacement(plan, update.GetVersion(), r.host.Name)
	return nil
}
