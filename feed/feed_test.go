package feed

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/core/placement"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

func TestAChangeReachesAllWhileOnlyRelaysWatch(t *testing.T) {
	f, nodes := startFleet(t, calmTiming)
	relays, others := f.relays(nodes)
	assert.Equal(t, len(relays), 2)
	f.await("each relay has two waiting watches", func() bool { return f.store.watches() == 4 })
	f.await("all processes follow an entry", func() bool {
		for _, n := range nodes {
			if n.feed.Stats().Provider == "" {
				return false
			}
		}
		return true
	})
	var reads uint64
	for _, n := range nodes {
		reads += n.feed.Stats().StoreReads
	}

	c := workspaces(1, 7)
	c.Drain = []string{"u1"}
	revision := f.change(c)
	f.awaitRevision(revision, nodes...)
	for _, n := range nodes {
		assert.Assert(t, n.feed.State().Drained("u1"))
		w, found := n.feed.State().Workspace("w0")
		assert.Equal(t, found, n.host.Role == fleet.RoleEntry)
		assert.Equal(t, w.Weight == 7, found)
		reads -= n.feed.Stats().StoreReads
	}
	assert.Equal(t, reads, uint64(0), "a change must cost no read, as the watch delivers head and parts")
	for _, n := range others {
		assert.Equal(t, n.feed.Stats().StoreWatches, uint64(0), n.host.Name)
	}
}

func TestPlacementReachesAllWithTheObjectsVersion(t *testing.T) {
	f, nodes := startFleet(t, calmTiming)
	f.place(9)
	for _, n := range nodes {
		f.await("placement", func() bool {
			plan, version := n.feed.State().Placement()
			return plan.Sequence == 9 && version == f.store.objects[planKey].Version
		})
	}
}

func TestALeavingHostReachesAll(t *testing.T) {
	f, nodes := startFleet(t, calmTiming)
	f.addHost(fleet.Host{Name: "u9", Role: fleet.RoleUpstream, Leaving: true})
	for _, n := range nodes {
		f.await("host list", func() bool { return len(n.feed.State().Hosts()) == 11 })
	}
}

func TestAChangeReachesAllThoughRelaysAreKilled(t *testing.T) {
	f, nodes := startFleet(t, fastTiming)
	relays, others := f.relays(nodes)
	for _, n := range relays {
		n.kill()
	}
	revision := f.change(workspaces(1, 2))
	f.awaitRevision(revision, others...)
	for _, n := range relays {
		f.removeHost(n.host.Name)
	}
	f.await("other entries become relays", func() bool { return f.store.watches() == 4 })
	f.awaitRevision(f.change(workspaces(1, 3)), others...)
}

func TestAChangeReachesAllThoughRelaysAreFrozen(t *testing.T) {
	f, nodes := startFleet(t, fastTiming)
	relays, others := f.relays(nodes)
	for _, n := range relays {
		n.frozen.close()
	}
	f.awaitRevision(f.change(workspaces(1, 2)), others...)
}

func TestTheEndOfAStoreOutageIsDetectedWithoutAChange(t *testing.T) {
	f, nodes := startFleet(t, calmTiming)
	relays, _ := f.relays(nodes)
	f.store.setDown(true)
	for _, n := range relays {
		f.await("the outage", func() bool { return n.feed.storeDown() })
	}
	f.store.setDown(false)
	for _, n := range relays {
		f.await("the end of the outage", func() bool { return !n.feed.storeDown() })
	}
}

// storeDown reports whether the feed considers the store down.
func (f *Feed) storeDown() bool {
	health := &f.objects.(*countedStore).health
	health.mu.Lock()
	defer health.mu.Unlock()
	return !health.lostSince.IsZero()
}

func TestAnotherZoneIsTriedAfterTwoSilentEntries(t *testing.T) {
	var list fleet.List
	for _, name := range []string{"near1", "near2", "near3", "far"} {
		host := fleet.Host{Name: name, Role: fleet.RoleEntry, Zone: "z0"}
		if name == "far" {
			host.Zone = "z1"
		}
		list.Hosts = append(list.Hosts, host)
	}
	feed := New(Options{Name: "s", Zone: "z0", Role: fleet.RoleUpstream, RelaysPerZone: 3})
	feed.applyHosts(list, "test")
	w := newFollower(feed)
	silent := fault.New(fault.DeadlineExceeded, "test", "", "silent")
	var zones []string
	for range 3 {
		host, _ := w.best()
		zones = append(zones, host.Zone)
		w.avoid(host, silent)
	}
	assert.DeepEqual(t, zones, []string{"z0", "z0", "z1"})
	last, found := w.best()
	assert.Assert(t, found && last.Zone == "z0", "an entry of a suspect zone is chosen if there is no other")
}

func TestEntriesThatFollowEachOtherDoNotKeepEachOtherAlive(t *testing.T) {
	f, nodes := startFleet(t, fastTiming)
	relays, others := f.relays(nodes)
	f.store.setDown(true)
	for _, n := range relays {
		n.kill()
	}
	f.await("all remaining entries read the platform directly", func() bool {
		for _, n := range others {
			if n.host.Role == fleet.RoleEntry && !n.feed.Stats().Direct {
				return false
			}
		}
		return true
	})
	revision := f.change(workspaces(1, 2))
	f.store.setDown(false)
	f.awaitRevision(revision, others...)
}

func TestANewProcessStartsFromEntriesWhileTheStoreIsDown(t *testing.T) {
	f, nodes := startFleet(t, calmTiming)
	f.awaitRevision(f.change(workspaces(1, 5)), nodes...)
	f.store.setDown(true)
	fresh := f.start("e9", "z0", fleet.RoleEntry)
	sidecar := f.start("s9", "z1", fleet.RoleUpstream)
	f.awaitRevision(2, fresh, sidecar)
	w, _ := fresh.feed.State().Workspace("w0")
	assert.Equal(t, w.Weight, 5)
	assert.Equal(t, len(fresh.feed.State().config.Workspaces()), 50)
	assert.Equal(t, fresh.feed.Stats().Fulls, uint64(1))
}

// newStaleFeed returns a started feed with a snapshot that receives no updates.
func newStaleFeed(name string, snapshot *config.Snapshot) *Feed {
	feed := New(Options{Name: name, Role: fleet.RoleEntry, Timing: fastTiming})
	feed.applyConfig(snapshot, "test")
	feed.applyHosts(fleet.List{Version: 1}, "test")
	feed.finishStart("test")
	return feed
}

func TestANewProcessDoesNotStartWithAnOlderRevisionThanTheStores(t *testing.T) {
	f := newTestFleet(t, calmTiming)
	f.change(workspaces(3, 1))
	stale := newStaleFeed("e0", f.snapshot)
	peer := &node{handler: stale.Subscribe}
	f.serve(peer, f.prepareEntry("e0", "z0"))
	f.change(workspaces(3, 2))
	fresh := New(Options{Name: "e1", Zone: "z0", Role: fleet.RoleEntry, Objects: f.store, Hosts: f.hosts,
		Dialer: link.NewDialer(testKey), Timing: fastTiming})
	assert.Assert(t, fresh.start(context.Background()))
	assert.Equal(t, fresh.State().Revision, f.snapshot.Revision())
}

func TestAnEntryWithoutAStateServesNobody(t *testing.T) {
	f := newTestFleet(t, calmTiming)
	f.store.setDown(true)
	a, b := f.start("e0", "z0", fleet.RoleEntry), f.start("e1", "z0", fleet.RoleEntry)
	err := a.feed.Subscribe(&wirepb.SubscribeRequest{}, nil)
	assert.Equal(t, fault.CodeOf(err), fault.Unavailable)
	f.change(workspaces(1, 1))
	f.store.setDown(false)
	f.awaitRevision(1, a, b)
}

func TestARevisionSeenInAMessageIsPulled(t *testing.T) {
	f := newTestFleet(t, calmTiming)
	f.change(workspaces(1, 1))
	feed := newStaleFeed("e0", f.snapshot)
	feed.objects.(*countedStore).API = f.store
	revision := f.change(workspaces(1, 2))
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- feed.catchUp(ctx) }()
	feed.NoteRevision(revision, "127.0.0.1:1")
	f.await("the revision", func() bool { return feed.State().Revision == revision })
	assert.Equal(t, feed.Stats().CatchUps, uint64(1))
	stop()
	assert.NilError(t, <-done)
}

func TestAMismatchedDigestLeadsToTheFullState(t *testing.T) {
	f := newTestFleet(t, calmTiming)
	f.change(workspaces(5, 1))
	run := f.prepareProcess("e0", "z0", fleet.RoleEntry)
	follower := f.prepareProcess("e1", "z9", fleet.RoleUpstream)
	corrupting := run()
	f.awaitRevision(1, corrupting)
	requested := make(chan uint64, 100)
	corrupting.handler = func(req *wirepb.SubscribeRequest, stream wirepb.DRPCEntry_SubscribeStream) error {
		requested <- req.GetRevision()
		return corrupting.feed.Subscribe(req, &corruptingStream{stream})
	}
	sidecar := follower()
	f.awaitRevision(1, sidecar)
	revision := f.change(config.Change{Drain: []string{"u"}})
	f.awaitRevision(revision, sidecar)
	assert.Assert(t, sidecar.feed.State().Drained("u"))
	last := uint64(1)
	for range len(requested) {
		last = <-requested
	}
	assert.Equal(t, last, uint64(0), "the full state was not requested")
}

// corruptingStream empties every delta, but not a full state.
type corruptingStream struct {
	wirepb.DRPCEntry_SubscribeStream
}

// Send implements wirepb.DRPCEntry_SubscribeStream.
func (s *corruptingStream) Send(update *wirepb.FleetUpdate) error {
	if c := update.GetConfig(); c != nil && !c.GetFull() {
		update = &wirepb.FleetUpdate{Config: &wirepb.ConfigUpdate{Revision: c.GetRevision(), ChangeId: c.GetChangeId(), Digest: c.GetDigest()}}
	}
	return s.DRPCEntry_SubscribeStream.Send(update)
}

// largeWorkspaces returns a change that puts as many workspaces as the largest
// fleet has, of some 400 bytes each.
func largeWorkspaces() config.Change {
	c := workspaces(18_000, 1)
	for i := range c.PutWorkspaces {
		c.PutWorkspaces[i].Stages = []config.StageParameters{{Pipeline: "p", Stage: "s", Prefix: strings.Repeat("x", 300)}}
	}
	return c
}

func TestAWholeFleetOfWorkspacesIsSentInManyMessages(t *testing.T) {
	f := newTestFleet(t, calmTiming)
	f.change(largeWorkspaces())
	f.awaitRevision(1, f.start("e0", "z0", fleet.RoleEntry))
	f.store.setDown(true)
	fresh := f.start("e1", "z0", fleet.RoleEntry)
	f.awaitRevision(1, fresh)
	assert.Equal(t, fresh.feed.State().config.Digest(), f.snapshot.Digest())
}

func TestAHostListDeltaWithAnotherBaseIsRequestedAgain(t *testing.T) {
	feed := New(Options{Role: fleet.RoleEntry, Timing: fastTiming})
	feed.applyHosts(fleet.List{Version: 3, Hosts: []fleet.Host{{Name: "a"}, {Name: "b"}}}, "test")
	r := &receiver{feed: feed}
	assert.Equal(t, r.handleHosts(&wirepb.HostsUpdate{Version: 5, Base: 4, Removed: []string{"a"}}), errStaleBase)
	assert.NilError(t, r.handleHosts(&wirepb.HostsUpdate{Version: 3, Base: 2, Removed: []string{"a"}}))
	assert.Equal(t, len(feed.latestHosts().Hosts), 2)
	assert.NilError(t, r.handleHosts(&wirepb.HostsUpdate{Version: 4, Base: 3, Removed: []string{"a"}}))
	assert.DeepEqual(t, feed.latestHosts().Hosts, []fleet.Host{{Name: "b"}})
}

func TestOlderVersionsOfAnySourceAreIgnored(t *testing.T) {
	feed := New(Options{Role: fleet.RoleEntry, Timing: fastTiming})
	at := func(revision, weight int) *config.Snapshot {
		return config.Empty().Change(workspaces(1, weight), core.Revision(revision), "")
	}
	feed.applyConfig(at(5, 5), "a")
	feed.applyHosts(fleet.List{Version: 5}, "a")
	feed.applyPlacement(placement.Plan{Sequence: 5}, 5, "a")
	feed.finishStart("test")
	changed := feed.Changed()
	for _, older := range []int{1, 4, 5} {
		feed.applyConfig(at(older, older+10), "b")
		feed.applyHosts(fleet.List{Version: uint64(older), Hosts: []fleet.Host{{}}}, "b")
		feed.applyPlacement(placement.Plan{Sequence: 1}, uint64(older), "b")
	}
	state := feed.State()
	w, _ := state.Workspace("w0")
	plan, version := state.Placement()
	assert.Equal(t, w.Weight, 5)
	assert.Equal(t, len(state.Hosts()), 0)
	assert.Equal(t, plan.Sequence+version, uint64(10))
	select {
	case <-changed:
		t.Error("an older state was published")
	default:
	}
}
