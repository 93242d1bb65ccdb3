package streamversion

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// part is a part of the mechanism that a model can leave out.
type part string

const (
	nothing          part = ""
	marking          part = "the register is mixed before a second version is used"
	readAfterReturn  part = "the register is read after the client came back"
	refusingUnknown  part = "a stream without a record is refused"
	copying          part = "records are copied before the first event"
	copyingOnChange  part = "records are copied when the register becomes mixed"
	copyingToHolders part = "records are copied when gateways come and go"
	spreadingCopies  part = "more than one gateway holds a record"
	inferring        part = "a settled register tells the version"
	settlingLate     part = "the register settles only after SettleTime"
	freshness        part = "an old state is not used"
	clearing         part = "each version is cleared by the register"
)

// Timing of the model.
const (
	modelTick     = 100 * time.Millisecond
	modelPhase    = 25 * time.Second
	modelCalm     = 2*SettleTime + time.Minute
	inTouchAfter  = 3 * time.Second
	streamTime    = 20 * time.Second
	modelVersions = 4
	// modelPhases is the number of busy phases of a course, with a calm between each two.
	modelPhases = 5
)

// modelUpstream is an upstream of the modelled service.
type modelUpstream struct {
	version string
	// listed is set while discovery lists it, running until it ends.
	listed  bool
	endsAt  time.Duration
	running bool
}

// modelGateway is a gateway. One that starts again is a new modelGateway.
type modelGateway struct {
	Gateway
	state       *State
	begun, held *Table
	// known are the gateways in its list.
	known       Fleet
	knownNumber int
	// versions are those that it lists, lastWord when the store last responded to it.
	versions []string
	lastWord time.Duration
	// frozenUntil and cutUntil are the ends of a freeze and of a cut from the store, calmSince when it was last
	// disturbed.
	frozenUntil, cutUntil, calmSince time.Duration
	up                               bool
}

// modelStream is a stream with its client.
type modelStream struct {
	key     Key
	version string
	gateway *modelGateway
	begun   time.Duration
	// returnsAt is when the client comes back; 0 while it is served.
	returnsAt time.Duration
}

// world is a model of a fleet.
type world struct {
	random    *rand.Rand
	without   part
	now       time.Duration
	register  Register
	revision  int64
	upstreams []*modelUpstream
	gateways  []*modelGateway
	streams   []*modelStream
	number    int
	newest    int
	// copies is how many gateways get a copy of a record.
	copies int
	// running are the gateways by incarnation; members is the list of all, of which each change has a number.
	running       map[string]*modelGateway
	members       Fleet
	membersNumber int

	// mixedStreams counts the streams that went on at another version. Of the others, offered and begun count the
	// new ones, takenUp and went those taken up, at gateways in touch; wentOn counts all that went on.
	mixedStreams, offered, begun, takenUp, went, wentOn int
}

// newWorld returns a world with a number of gateways in three zones, and one version.
func newWorld(seed uint64, gateways int, without part) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), without: without, newest: 1, copies: Copies}
	for range 8 {
		w.upstreams = append(w.upstreams, &modelUpstream{version: "v1", listed: true, running: true})
	}
	for i := range gateways {
		w.gateways = append(w.gateways, w.newGateway(fmt.Sprintf("g%d", i), fmt.Sprintf("z%d", i%3)))
	}
	w.listMembers()
	return w
}

// newGateway returns a gateway that has just started.
func (w *world) newGateway(name, zone string) *modelGateway {
	w.number++
	return &modelGateway{Gateway: Gateway{Name: name, Zone: zone, Incarnation: fmt.Sprintf("%s-%d", name, w.number)}, state: NewState(),
		begun: NewTable(maxModelRecords), held: NewTable(maxModelRecords), calmSince: w.now, up: true}
}

const maxModelRecords = 10_000

// runs reports whether a gateway runs now.
func (w *world) runs(g *modelGateway) bool { return g.up && w.now >= g.frozenUntil }

// reachesStore reports whether a gateway reaches the store now.
func (w *world) reachesStore(g *modelGateway) bool { return w.runs(g) && w.now >= g.cutUntil }

// inTouch reports whether a gateway is bound by the rules that have a time.
func (w *world) inTouch(g *modelGateway) bool {
	return w.reachesStore(g) && w.now-g.calmSince >= inTouchAfter
}

// fresh reports whether a gateway may use its state.
func (w *world) fresh(g *modelGateway) bool {
	return w.without == freshness || w.now-g.lastWord <= MaxStateAge
}

// listedVersions returns the versions in discovery.
func (w *world) listedVersions() []string {
	var versions []string
	for _, u := range w.upstreams {
		if u.listed && !slices.Contains(versions, u.version) {
			versions = append(versions, u.version)
		}
	}
	slices.Sort(versions)
	return versions
}

// sync reads and writes the register for a gateway, and returns the register as it was read.
func (w *world) sync(g *modelGateway) (Register, bool) {
	if !w.reachesStore(g) {
		return Register{}, false
	}
	found := w.register
	desired, write := g.state.Desired(w.now, w.register, w.revision)
	if w.without == settlingLate && w.revision > 0 && !w.register.Settled && len(g.versions) == 1 {
		desired, write = Register{Settled: true, Version: g.versions[0]}, true
	}
	if w.revision == 0 {
		found = desired
	}
	if write && !(w.without == marking && w.revision > 0 && !desired.Settled) {
		w.register = desired
		w.revision++
	}
	if w.revision > 0 && g.state.Learned(w.now, w.register, w.revision, g.versions) && w.without != copyingOnChange {
		w.copyAll(g, g.begun.All(""))
	}
	return found, w.revision > 0
}

// learn brings discovery, members and the state of each gateway up to date; each gateway is late by some ticks.
func (w *world) learn() {
	for _, g := range w.gateways {
		w.learnAt(g, w.random.IntN(4) == 0)
	}
}

// learnAt brings what one gateway knows up to date: discovery, members and its state, or only the store's last word.
func (w *world) learnAt(g *modelGateway, all bool) {
	if !w.reachesStore(g) {
		return
	}
	g.lastWord = w.now
	if w.without != freshness {
		g.state.Confirmed(w.now)
	}
	g.begun.Expire(w.now)
	g.held.Expire(w.now)
	if !all {
		return
	}
	if g.state.NeedsSync(w.now) || w.without == settlingLate {
		w.sync(g)
	}
	g.versions = w.listedVersions()
	g.state.Listed(w.now, g.versions)
	w.takeMembers(g)
}

// listMembers makes the present gateways the list in the store: those that were killed stay until they start again.
func (w *world) listMembers() {
	var list []Gateway
	w.running = make(map[string]*modelGateway, len(w.gateways))
	for _, g := range w.gateways {
		list = append(list, g.Gateway)
		w.running[g.Incarnation] = g
	}
	w.members = NewFleet(list)
	w.membersNumber++
}

// takeMembers brings a gateway's list of gateways up to date, and copies records to new holders.
func (w *world) takeMembers(g *modelGateway) {
	if g.knownNumber == w.membersNumber {
		return
	}
	before := g.known
	g.known, g.knownNumber = w.members, w.membersNumber
	if g.state.Mixed() && w.without != copyingToHolders {
		w.copyToNewHolders(g, before)
	}
}

// copyToNewHolders copies the records that a gateway has to those that did not hold them by its list before.
func (w *world) copyToNewHolders(g *modelGateway, before Fleet) {
	for _, record := range slices.Concat(g.begun.All(""), g.held.All("")) {
		if !slices.Equal(before.Holders(record.Key), g.known.Holders(record.Key)) {
			w.copyAll(g, []Record{record})
		}
	}
}

// reached returns those of some gateways that run.
func (w *world) reached(list []Gateway) []*modelGateway {
	var reached []*modelGateway
	for _, g := range list {
		if other := w.running[g.Incarnation]; other != nil && w.runs(other) {
			reached = append(reached, other)
		}
	}
	return reached
}

// copyAll copies records of a gateway to their holders.
func (w *world) copyAll(g *modelGateway, records []Record) {
	if w.without == copying {
		return
	}
	count := w.copies
	if w.without == spreadingCopies {
		count = 1
	}
	for _, record := range records {
		holders := g.known.Holders(record.Key)
		for _, holder := range w.reached(holders[:min(count, len(holders))]) {
			if holder != g {
				holder.held.Put(record)
			}
		}
	}
}

// mayBegin reports whether a gateway begins streams at a version.
func (w *world) mayBegin(g *modelGateway, version string) bool {
	switch {
	case !w.fresh(g):
		return false
	case w.without == marking:
		return g.state.Known()
	case w.without == clearing && g.state.Mixed():
		return true
	default:
		return g.state.MayBegin(version)
	}
}

// upstreamOf returns an upstream that a gateway sends to: it lists the version, and the upstream runs.
func (w *world) upstreamOf(g *modelGateway, allows func(version string) bool) *modelUpstream {
	var fit []*modelUpstream
	for _, u := range w.upstreams {
		if u.running && slices.Contains(g.versions, u.version) && allows(u.version) {
			fit = append(fit, u)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[w.random.IntN(len(fit))]
}

// beginStream begins a stream at a random gateway.
func (w *world) beginStream() {
	g := w.gateways[w.random.IntN(len(w.gateways))]
	if !w.runs(g) {
		return
	}
	if w.inTouch(g) {
		w.offered++
	}
	u := w.upstreamOf(g, func(version string) bool { return w.mayBegin(g, version) })
	if u == nil {
		return
	}
	if w.inTouch(g) {
		w.begun++
	}
	w.number++
	s := &modelStream{key: Key{Attempt: fmt.Sprintf("a%d", w.number)}, version: u.version, gateway: g, begun: w.now}
	w.record(g, s)
	w.streams = append(w.streams, s)
}

// record records the version of a stream at its gateway, and at others while the register is mixed.
func (w *world) record(g *modelGateway, s *modelStream) {
	r := Record{Key: s.key, Version: s.version, Expires: s.begun + streamTime}
	g.begun.Put(r)
	if g.state.Mixed() {
		w.copyAll(g, []Record{r})
	}
}

// takeUp takes a stream up at a random gateway.
func (w *world) takeUp(s *modelStream) {
	g := w.gateways[w.random.IntN(len(w.gateways))]
	if w.runs(g) { // else the client tries again
		w.takeUpAt(g, s)
	}
}

// takeUpAt takes a stream up at a gateway.
func (w *world) takeUpAt(g *modelGateway, s *modelStream) {
	s.returnsAt = 0
	s.gateway = nil
	counts := w.inTouch(g) && w.runningOf(s.version) >= 2
	if counts {
		w.takenUp++
	}
	version, known := w.decide(g, s)
	if !known {
		return
	}
	u := w.upstreamOf(g, func(v string) bool { return v == version })
	if u == nil {
		return
	}
	w.wentOn++
	if u.version != s.version {
		w.mixedStreams++
		return
	}
	if counts {
		w.went++
	}
	s.gateway = g
	w.record(g, s)
}

// decide returns the version at which a gateway lets a stream go on, and false if it refuses.
func (w *world) decide(g *modelGateway, s *modelStream) (string, bool) {
	var e Evidence
	for _, table := range []*Table{g.begun, g.held} {
		if r, found := table.Get(s.key, w.now); found {
			e.Record = &r
		}
	}
	if e.Record == nil {
		w.gather(g, s, &e)
	}
	if e.RegisterKnown && e.Register.Settled && w.without == inferring {
		return "", false
	}
	decision := Decide(e)
	if decision.Outcome != GoesOn && w.without == refusingUnknown && len(g.versions) > 0 {
		return g.versions[0], true
	}
	return decision.Version, decision.Outcome == GoesOn
}

// gather collects the evidence on a stream of which a gateway has no record.
func (w *world) gather(g *modelGateway, s *modelStream, e *Evidence) {
	settledAt, isSettled := g.state.Settled()
	switch {
	case g.state.Mixed():
		e.RegisterKnown = true
	case w.without == readAfterReturn && isSettled:
		e.Register, e.RegisterKnown = Register{Settled: true, Version: settledAt}, true
	default:
		e.Register, e.RegisterKnown = w.sync(g)
	}
	if e.RegisterKnown && e.Register.Settled {
		return
	}
	for _, holder := range w.reached(g.known.Candidates(s.key)) {
		for _, table := range []*Table{holder.begun, holder.held} {
			if r, found := table.Get(s.key, w.now); found {
				e.Record = &r
			}
		}
	}
}

// runningOf returns how many listed upstreams of a version run.
func (w *world) runningOf(version string) int {
	count := 0
	for _, u := range w.upstreams {
		if u.running && u.listed && u.version == version {
			count++
		}
	}
	return count
}

// breakStreams breaks streams off: those of gateways that have ended, and a few others. Clients come back within
// two seconds, as long as they wait.
func (w *world) breakStreams() {
	var open []*modelStream
	for _, s := range w.streams {
		switch {
		case w.now-s.begun >= streamTime, s.gateway == nil && s.returnsAt == 0:
			continue
		case s.returnsAt > 0 && w.now >= s.returnsAt:
			w.takeUp(s)
		case s.returnsAt == 0 && (!s.gateway.up || w.random.IntN(100) == 0):
			s.returnsAt = w.now + time.Duration(1+w.random.IntN(20))*modelTick
		}
		open = append(open, s)
	}
	w.streams = open
}

// restart replaces a gateway by one that has just started. A planned one hands its records over first.
func (w *world) restart(place int, planned bool) {
	old := w.gateways[place]
	if planned && w.runs(old) && w.without != copyingToHolders && old.state.Mixed() {
		before := old.known
		old.known = NewFleet(slices.DeleteFunc(slices.Clone(before.gateways), func(g Gateway) bool { return g == old.Gateway }))
		w.copyToNewHolders(old, before)
	}
	old.up = false
	w.gateways[place] = w.newGateway(old.Name, old.Zone)
	w.listMembers()
}

// disturb plays a random fault of gateways.
func (w *world) disturb() {
	place := w.random.IntN(len(w.gateways))
	g := w.gateways[place]
	switch w.random.IntN(6) {
	case 0:
		w.restart(place, false)
		w.restart((place+1)%len(w.gateways), false)
	case 1:
		for i, other := range w.gateways {
			if other.Zone == g.Zone {
				w.restart(i, false)
			}
		}
	case 2:
		for i := range min(5, len(w.gateways)) {
			w.restart((place+i)%len(w.gateways), true)
			w.learn()
		}
	case 3:
		g.frozenUntil = w.now + time.Duration(1+w.random.IntN(50))*modelTick
		g.calmSince = g.frozenUntil
	default:
		g.cutUntil = w.now + time.Duration(1+w.random.IntN(100))*modelTick
		g.calmSince = g.cutUntil
	}
}

// roll replaces upstreams by those of another version: a few, or all at once. Some old ones run on without being
// listed, a few of them for long.
func (w *world) roll() {
	if w.random.IntN(2) == 0 && w.newest < modelVersions {
		w.newest++
	}
	version := fmt.Sprintf("v%d", 1+w.random.IntN(w.newest))
	count := []int{1, 2, 4, len(w.upstreams)}[w.random.IntN(4)]
	var kept []*modelUpstream
	for _, u := range w.upstreams {
		if u.listed && count > 0 {
			count--
			u.listed = false
			u.endsAt = w.now + time.Duration(w.random.IntN(50))*modelTick
			if w.random.IntN(10) == 0 {
				u.endsAt = w.now + 2*modelCalm
			}
			kept = append(kept, &modelUpstream{version: version, listed: true, running: true})
		}
		kept = append(kept, u)
	}
	w.upstreams = kept
}

// step plays one tick.
func (w *world) step() {
	w.now += modelTick
	w.upstreams = slices.DeleteFunc(w.upstreams, func(u *modelUpstream) bool { return !u.listed && w.now >= u.endsAt })
	w.learn()
	for range 2 {
		w.beginStream()
	}
	w.breakStreams()
	if w.random.IntN(40) == 0 {
		w.disturb()
	}
	if w.random.IntN(80) == 0 {
		w.roll()
	}
}

// calm lets SettleTime pass without streams and faults. One gateway may be cut from the store all the while, and
// another version may come back right after it.
func (w *world) calm() {
	w.streams = nil
	var cut *modelGateway
	if w.random.IntN(2) == 0 {
		cut = w.gateways[w.random.IntN(len(w.gateways))]
		cut.cutUntil, cut.calmSince = w.now+modelCalm+modelPhase, w.now+modelCalm+modelPhase
	}
	keep := fmt.Sprintf("v%d", w.newest)
	for _, u := range w.upstreams {
		if u.listed && u.version != keep {
			u.listed, u.endsAt = false, w.now+2*modelCalm
			w.upstreams = append(w.upstreams, &modelUpstream{version: keep, listed: true, running: true})
		}
	}
	for range int(modelCalm / calmStep) {
		w.now += calmStep
		for _, g := range w.gateways {
			g.state.Tick(w.now)
		}
		w.learn()
	}
}

// play plays a course.
func (w *world) play() {
	for phase := range modelPhases {
		if phase > 0 {
			w.calm()
		}
		for range int(modelPhase / modelTick) {
			w.step()
		}
	}
}
