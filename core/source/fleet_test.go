package source

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The model: processes with a Selector each and a store that serves some of them, in steps of
// virtual time.
const (
	modelStep = 25 * time.Millisecond
	// modelTrustPeriod is how long a proof counts; modelStale is the age at which a source is left.
	modelTrustPeriod = 4500 * time.Millisecond
	modelStale       = 2475 * time.Millisecond
	// modelWatch is the interval in which the store gives a proof to a process that reads it; the
	// proof is for modelMargin before.
	modelWatch  = 1500 * time.Millisecond
	modelMargin = 500 * time.Millisecond
	// modelRetry is the time between two calls that the store refuses.
	modelRetry = 450 * time.Millisecond
	// modelDialTimeout is the timeout of a call to a process that does not respond,
	// modelSilenceTimeout the timeout of an open connection without updates.
	modelDialTimeout    = 800 * time.Millisecond
	modelSilenceTimeout = 1500 * time.Millisecond
)

// node is one process of the model.
type node struct {
	Member
	selector *Selector
	plan     Plan
	alive    bool
	// silent is set for a process that died without closing its connections: calls to it hang.
	silent bool
	// rejected is set while the store rejects the process.
	rejected bool

	proved   time.Duration
	hops     int
	hasProof bool
	// failing is set while the store does not respond to the process.
	failing bool
	// followedSince is when the current member was first followed, lastReport when it last
	// reported.
	followedSince, lastReport time.Duration
	// lastCall is when the process last called the store, calls how often it did.
	lastCall time.Duration
	calls    int
}

// fleet is the modelled fleet and its store.
type fleet struct {
	nodes     []*node
	now       time.Duration
	storeDown bool
	// watch, margin and stale are modelWatch, modelMargin and modelStale, or shorter times for a
	// tighter bound on changes.
	watch, margin, stale time.Duration
}

// newFleet returns a fleet of perZone processes in each zone, all of which know each other.
func newFleet(zones, perZone int) *fleet {
	f := &fleet{now: 1000 * time.Second, watch: modelWatch, margin: modelMargin, stale: modelStale}
	for i := range zones * perZone {
		m := Member{Name: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%zones), Incarnation: fmt.Sprint("i", i), LinkMbps: 20}
		f.nodes = append(f.nodes, &node{Member: m, alive: true})
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	return f
}

// start starts a process that knows the members.
func (f *fleet) start(n *node) {
	n.selector = New(n.Member, Settings{FollowersPerReader: 24, StaleAfter: f.stale}, f.now)
	n.selector.SetMembers(f.others(n))
	n.hasProof, n.plan, n.lastCall = false, Plan{}, 0
}

// others returns all members except one.
func (f *fleet) others(except *node) []Member {
	var list []Member
	for _, n := range f.nodes {
		if n != except {
			list = append(list, n.Member)
		}
	}
	return list
}

// advance runs the model for a duration.
func (f *fleet) advance(duration time.Duration) {
	for end := f.now + duration; f.now < end; f.now += modelStep {
		for _, n := range f.nodes {
			if n.alive {
				f.step(n)
			}
		}
	}
}

// step runs one step of one process.
func (f *fleet) step(n *node) {
	before := n.plan.Follow
	n.plan = n.selector.Next(f.now)
	if n.plan.Follow != before {
		n.followedSince, n.lastReport = f.now, 0
	}
	if n.plan.Read {
		f.readStore(n)
	} else {
		n.failing = false
	}
	if n.plan.Follow.Name != "" {
		f.receiveReport(n, f.find(n.plan.Follow))
	}
}

// readStore calls the store if it is time to.
func (f *fleet) readStore(n *node) {
	interval := f.watch
	if f.storeDown || n.rejected {
		interval = modelRetry
	}
	if f.now-n.lastCall < interval && n.lastCall > 0 {
		return
	}
	n.lastCall = f.now
	n.calls++
	n.failing = f.storeDown || n.rejected
	if !f.storeDown && !n.rejected {
		n.updateProof(f.now-f.margin, 0)
		n.selector.StoreProved(f.now - f.margin)
	}
}

// updateProof takes over a newer proof.
func (n *node) updateProof(at time.Duration, hops int) {
	if !n.hasProof || at > n.proved {
		n.proved, n.hops, n.hasProof = at, hops, true
	}
}

// receiveReport delivers the report of the followed process.
func (f *fleet) receiveReport(n, to *node) {
	if !to.alive {
		limit := modelStep
		if to.silent {
			limit = modelDialTimeout
		}
		if n.lastReport > 0 && to.silent {
			limit = n.lastReport - n.followedSince + modelSilenceTimeout
		}
		if f.now-n.followedSince >= limit {
			n.selector.Lost(to.Incarnation, f.now)
		}
		return
	}
	if f.now-n.followedSince < modelStep {
		return
	}
	n.lastReport = f.now
	if !to.hasProof {
		n.selector.RecordReport(Report{Incarnation: to.Incarnation, Proved: Never, Failing: to.failing}, f.now)
		return
	}
	n.selector.RecordReport(Report{Incarnation: to.Incarnation, Proved: to.proved, Hops: to.hops, Failing: to.failing}, f.now)
	n.updateProof(to.proved, to.hops+1)
}

// find returns the process of a member.
func (f *fleet) find(m Member) *node {
	for _, n := range f.nodes {
		if n.Incarnation == m.Incarnation {
			return n
		}
	}
	return nil
}

// untrusted counts the running processes whose proof is older than modelTrustPeriod.
func (f *fleet) untrusted() int {
	count := 0
	for _, n := range f.nodes {
		if n.alive && (!n.hasProof || f.now-n.proved >= modelTrustPeriod) {
			count++
		}
	}
	return count
}

// readers returns the processes that read the store.
func (f *fleet) readers() []*node {
	var list []*node
	for _, n := range f.nodes {
		if n.alive && n.plan.Read {
			list = append(list, n)
		}
	}
	return list
}

// calls returns the number of calls that all processes made to the store.
func (f *fleet) calls() int {
	count := 0
	for _, n := range f.nodes {
		count += n.calls
	}
	return count
}

// maxUntrusted runs the model and returns the largest number of untrusted processes.
func (f *fleet) maxUntrusted(duration time.Duration) int {
	worst := 0
	for end := f.now + duration; f.now < end; {
		f.advance(100 * time.Millisecond)
		worst = max(worst, f.untrusted())
	}
	return worst
}

func TestAnUndisturbedFleetHasOneReaderPerGroupOfFollowers(t *testing.T) {
	f := newFleet(5, 21)
	f.advance(3 * time.Second)
	assert.Equal(t, len(f.readers()), 5)
	assert.Equal(t, f.maxUntrusted(30*time.Second), 0)
	assert.Equal(t, len(f.readers()), 5)
	for _, n := range f.nodes {
		assert.Assert(t, n.hops <= 1, "%s is %d processes away from the store", n.Name, n.hops)
	}
	large := newFleet(11, 31)
	large.advance(3 * time.Second)
	assert.Equal(t, len(large.readers()), 22)
}

func TestTheMembersWithTheFastestLinksRead(t *testing.T) {
	f := newFleet(2, 10)
	fastest := f.nodes[7]
	fastest.LinkMbps = 200
	for _, n := range f.nodes {
		f.start(n)
	}
	f.advance(3 * time.Second)
	assert.Assert(t, fastest.plan.Reason == Reader)
}

// TestKeysStayTrustedWhenReadersAreLost: all readers are lost at once, with or without closing
// their connections.
func TestKeysStayTrustedWhenReadersAreLost(t *testing.T) {
	for _, silent := range []bool{false, true} {
		f := newFleet(5, 21)
		f.advance(10 * time.Second)
		for _, n := range f.readers() {
			n.alive, n.silent = false, silent
		}
		assert.Equal(t, f.maxUntrusted(60*time.Second), 0, "silent %t", silent)
	}
}

// TestKeysStayTrustedWhenTheStoreRejectsReaders: the store rejects the readers of all zones but
// one, then a random third of all processes.
func TestKeysStayTrustedWhenTheStoreRejectsReaders(t *testing.T) {
	f := newFleet(5, 21)
	f.advance(10 * time.Second)
	for _, n := range f.readers()[1:] {
		n.rejected = true
	}
	assert.Equal(t, f.maxUntrusted(20*time.Second), 0)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 5))
		f := newFleet(5, 21)
		f.advance(10 * time.Second)
		for _, n := range f.nodes {
			n.rejected = random.IntN(3) == 0
		}
		assert.Equal(t, f.maxUntrusted(20*time.Second), 0, "seed %d", seed)
	}
}

// setBound sets the watch interval, the margin of a proof and the age of a stale proof as shares of
// a bound on the delay of changes.
func (f *fleet) setBound(bound time.Duration) {
	f.watch, f.margin, f.stale = bound/4, bound/12, bound*6/10
	for _, n := range f.nodes {
		f.start(n)
	}
}

// maxProofAge runs the model and returns the largest age of the proof of a process that the store
// serves.
func (f *fleet) maxProofAge(duration time.Duration) time.Duration {
	var oldest time.Duration
	for end := f.now + duration; f.now < end; {
		f.advance(modelStep)
		for _, n := range f.nodes {
			if n.alive && !n.rejected {
				oldest = max(oldest, f.now-n.proved)
			}
		}
	}
	return oldest
}

// TestServedProcessesReceiveChangesInTime: while the store rejects some machines, readers among
// them, all others have received every change within the bound, 2 s in a fleet of 5 or 23 and 4 s
// in one of 105.
func TestServedProcessesReceiveChangesInTime(t *testing.T) {
	for _, size := range []struct {
		zones, perZone int
		bound          time.Duration
	}{{3, 2, 2 * time.Second}, {3, 8, 2 * time.Second}, {5, 21, 4 * time.Second}} {
		for seed := range uint64(40) {
			random := rand.New(rand.NewPCG(seed, 11))
			f := newFleet(size.zones, size.perZone)
			f.setBound(size.bound)
			f.advance(5*time.Second + time.Duration(random.Int64N(int64(time.Second))))
			for _, n := range f.nodes {
				n.rejected = random.IntN(10) < 4
			}
			oldest := f.maxProofAge(12 * time.Second)
			assert.Assert(t, oldest < size.bound, "%d processes, seed %d: a proof of %v", len(f.nodes), seed, oldest)
		}
	}
}

// TestKeysStayTrustedWhenTheStoreRejectsOnlyTheReaders: within 10 s the followers query the store
// themselves, and the readers find followers that are fresher.
func TestKeysStayTrustedWhenTheStoreRejectsOnlyTheReaders(t *testing.T) {
	f := newFleet(5, 21)
	f.advance(10 * time.Second)
	for _, n := range f.readers() {
		n.rejected = true
	}
	f.advance(10 * time.Second)
	assert.Equal(t, f.maxUntrusted(20*time.Second), 0)
}

// TestCallsToAnUnavailableStoreAreBounded: in an outage of 14 s, 105 processes make at most a
// quarter of the calls that cost 0.04 of a day's worth (3,300), and larger fleets in proportion.
// Within 2 s of the store's return all keys are trusted.
func TestCallsToAnUnavailableStoreAreBounded(t *testing.T) {
	for _, size := range []struct{ zones, perZone, most int }{{5, 21, 825}, {11, 31, 2680}} {
		f := newFleet(size.zones, size.perZone)
		f.advance(10 * time.Second)
		before := f.calls()
		f.storeDown = true
		f.advance(14 * time.Second)
		calls := f.calls() - before
		f.storeDown = false
		f.advance(2 * time.Second)
		t.Logf("%d processes: %d calls in 14 s", len(f.nodes), calls)
		assert.Assert(t, calls <= size.most, "%d calls", calls)
		assert.Equal(t, f.untrusted(), 0)
	}
}

// TestARestartedFleetIsCurrentWithinASecond: all processes are lost at once and start again within
// 0.3 s, while the former members are still listed.
func TestARestartedFleetIsCurrentWithinASecond(t *testing.T) {
	f := newFleet(5, 21)
	f.advance(10 * time.Second)
	for _, n := range f.nodes {
		n.alive = false
	}
	random := rand.New(rand.NewPCG(1, 1))
	order := random.Perm(len(f.nodes))
	for i, at := range order {
		n := f.nodes[at]
		n.alive = true
		f.start(n)
		if i%9 == 8 {
			f.advance(modelStep)
		}
	}
	f.advance(700 * time.Millisecond)
	assert.Equal(t, f.untrusted(), 0)
}

// TestAllProcessesRecoverFromRandomLosses: processes die, silently or not, and start again, the
// store rejects some of them or is unavailable; 4 s after the last fault all trust their keys.
func TestAllProcessesRecoverFromRandomLosses(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 9))
		f := newFleet(1+random.IntN(5), 1+random.IntN(12))
		for range 25 {
			n := f.nodes[random.IntN(len(f.nodes))]
			switch random.IntN(6) {
			case 0, 1:
				n.alive, n.silent = false, random.IntN(2) == 0
			case 2:
				n.rejected = !n.rejected
			case 3:
				f.storeDown = !f.storeDown
			default:
				if !n.alive {
					n.alive = true
					f.start(n)
				}
			}
			f.advance(time.Duration(random.Int64N(int64(3 * time.Second))))
		}
		f.storeDown = false
		for _, n := range f.nodes {
			n.rejected = false
		}
		f.advance(4 * time.Second)
		assert.Equal(t, f.maxUntrusted(20*time.Second), 0, "seed %d", seed)
	}
}

// TestAReportWithoutAProofIsNotFresh: this also holds on a machine whose clock has just started.
func TestAReportWithoutAProofIsNotFresh(t *testing.T) {
	other := Member{Name: "b", Zone: "z", Incarnation: "ib", LinkMbps: 200}
	s := New(Member{Name: "a", Zone: "z", Incarnation: "ia", LinkMbps: 20}, Settings{FollowersPerReader: 24, StaleAfter: modelStale}, 0)
	s.SetMembers([]Member{other})
	assert.Equal(t, s.Next(0).Follow, other)
	s.RecordReport(Report{Incarnation: other.Incarnation, Proved: Never}, time.Millisecond)
	assert.Equal(t, s.Next(time.Millisecond).Reason, Seeking)
	s.RecordReport(Report{Incarnation: other.Incarnation, Proved: time.Millisecond}, 2*time.Millisecond)
	assert.Equal(t, s.Next(2*time.Millisecond).Reason, Follower)
}

// BenchmarkChoice measures one choice of the source in a fleet of 340.
func BenchmarkChoice(b *testing.B) {
	f := newFleet(11, 31)
	f.advance(time.Second)
	n := f.nodes[0]
	for b.Loop() {
		n.plan = n.selector.Next(f.now)
	}
}
