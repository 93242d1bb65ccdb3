package ratelimit

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"acaciawinch/core/proof"
)

// The promise in the platform's published form.
const (
	window       = 4 * time.Second
	windowFactor = 1.5
	windowSlack  = 5
	// excuseTime is how long after a disruption the sends of a gateway don't count.
	excuseTime = 3 * time.Second
)

// parts are the parts of the rules that a model can leave out.
type parts struct {
	// noVoter gives a vote to each chosen coordinator at once.
	noVoter bool
	// noVotes lets each coordinator grant the whole limit.
	noVotes bool
	// noExpiry uses permits however old they are.
	noExpiry bool
	// fullBucket starts each bucket with what accrues in a window.
	fullBucket bool
	// freeAlone lets a gateway that reaches no coordinator send without a permit.
	freeAlone bool
	// ownBuckets makes each gateway its own coordinator of the whole limit.
	ownBuckets bool
	// evenSplit makes each gateway the coordinator of its own part of the limit.
	evenSplit bool
	// lateAge counts the age of a permit from its arrival.
	lateAge bool
}

// modelService is the service of the model's only upstream.
const modelService = "s"

// modelGateway is one gateway of the model.
type modelGateway struct {
	number      int
	incarnation int
	candidates  *Candidates
	voter       Voter
	coordinator *Coordinator
	// disruptedUntil is the end of the gateway's last disruption, frozenUntil and cutUntil those of a
	// freeze and a cut; slowUntil is the end of a time in which it takes long to use permits. From
	// lagsFrom to lagsUntil its messages take longer and longer, and then they arrive together.
	disruptedUntil, frozenUntil, cutUntil, slowUntil, lagsFrom, lagsUntil time.Duration
	// asks holds to whom each open ask was sent.
	asks     map[uint64]Candidate
	lastAsk  uint64
	lastVote time.Duration
	// heard holds when each other gateway was last heard of, or first called.
	heard map[string]time.Duration
	// requests are the votes that were sent, and sources those that were received, with their times.
	requests proof.Follower
	sources  map[string]*proof.Source
}

// world is a fleet with one upstream that names a limit.
type world struct {
	random   *rand.Rand
	without  parts
	limit    float64
	upstream Upstream
	now      time.Duration
	gateways []*modelGateway
	events   []modelEvent
	// sends holds the times of those sends that count.
	sends []time.Duration
	// all counts all sends.
	all int
}

// modelEvent is something that happens at a time.
type modelEvent struct {
	at  time.Duration
	run func()
}

// after schedules an event.
func (w *world) after(delay time.Duration, run func()) {
	w.events = append(w.events, modelEvent{at: w.now + delay, run: run})
}

// within returns a random duration below a limit.
func (w *world) within(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit)))
}

// newWorld returns a fleet in which every gateway knows the limit.
func newWorld(seed uint64, gateways int, limit float64, without parts) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), without: without, limit: limit, upstream: Upstream{ID: "u", Incarnation: 1}}
	for number := range gateways {
		w.gateways = append(w.gateways, &modelGateway{number: number})
	}
	for _, g := range w.gateways {
		w.restart(g)
	}
	w.updateAll(0)
	return w
}

// updateAll gives all gateways lists of the others, of which they lack some at random.
func (w *world) updateAll(lacks float64) {
	for _, g := range w.gateways {
		w.updateMembers(g, w.random.Float64()*lacks)
	}
}

// candidate returns a gateway as a candidate.
func (g *modelGateway) candidate() Candidate {
	return Candidate{Name: fmt.Sprintf("g%d", g.number), Incarnation: fmt.Sprintf("g%d/%d", g.number, g.incarnation)}
}

// restart starts a new run of a gateway.
func (w *world) restart(g *modelGateway) {
	g.incarnation++
	g.candidates = NewCandidates(g.candidate())
	g.voter = Voter{}
	g.coordinator = NewCoordinator()
	g.asks, g.heard, g.sources = make(map[uint64]Candidate), make(map[string]time.Duration), make(map[string]*proof.Source)
	g.requests = proof.Follower{}
	g.coordinator.SetGateways(w.now, len(w.gateways))
	w.updateMembers(g, 0)
}

// updateMembers gives a gateway the list of the others, of which it lacks some at random.
func (w *world) updateMembers(g *modelGateway, lacks float64) {
	var others []Candidate
	for _, other := range w.gateways {
		if other != g && w.random.Float64() >= lacks {
			others = append(others, other.candidate())
		}
	}
	g.candidates.SetOthers(others)
}

// reaches reports whether messages pass between two gateways.
func (w *world) reaches(a, b *modelGateway) bool {
	return a == b || w.now >= a.cutUntil && w.now >= b.cutUntil
}

// find returns the gateway that runs an incarnation, nil if it has ended.
func (w *world) find(c Candidate) *modelGateway {
	for _, g := range w.gateways {
		if g.candidate() == c {
			return g
		}
	}
	return nil
}

// deliver runs a message at its receiver after a delay, and after the receiver's freeze.
func (w *world) deliver(from *modelGateway, to Candidate, run func(*modelGateway)) {
	receiver := w.find(to)
	if receiver == nil || !w.reaches(from, receiver) {
		return
	}
	delay := time.Millisecond + w.within(10*time.Millisecond)
	if w.now < from.lagsUntil {
		delay += min(from.lagsUntil-w.now, (w.now-from.lagsFrom)/2)
	}
	w.after(delay, func() { w.receive(to, run) })
}

// receive runs a message once its receiver is not frozen.
func (w *world) receive(to Candidate, run func(*modelGateway)) {
	receiver := w.find(to)
	switch {
	case receiver == nil:
	case w.now < receiver.frozenUntil:
		w.after(receiver.frozenUntil-w.now+w.within(time.Millisecond), func() { w.receive(to, run) })
	default:
		run(receiver)
	}
}

// choose returns the coordinator that a gateway asks.
func (w *world) choose(g *modelGateway) Candidate {
	if w.without.ownBuckets || w.without.evenSplit {
		return g.candidate()
	}
	return g.candidates.Choose(modelService)
}

// silence is the time without a message after which a gateway no longer chooses a coordinator.
const silence = time.Second

// vote renews a gateway's vote and tries silent candidates. A coordinator answers a vote, given or not.
func (w *world) vote(g *modelGateway) {
	chosen := w.choose(g)
	var services []string
	if w.without.noVoter || g.voter.Vote(w.now, chosen.Incarnation) {
		services = append(services, modelService)
	}
	w.call(g, chosen, services)
	if probed, due := g.candidates.Probe(w.now, modelService); due {
		w.call(g, probed, nil)
	}
	if chosen != g.candidate() && w.now-g.heard[chosen.Incarnation] > silence {
		delete(g.heard, chosen.Incarnation)
		g.candidates.Silent(w.now, chosen.Incarnation)
		maps.DeleteFunc(g.asks, func(_ uint64, to Candidate) bool { return to == chosen })
	}
}

// call sends votes to a candidate.
func (w *world) call(g *modelGateway, to Candidate, services []string) {
	self, number := g.candidate(), g.requests.NextRequest(w.now)
	if _, called := g.heard[to.Incarnation]; !called {
		g.heard[to.Incarnation] = w.now
	}
	w.deliver(g, to, func(c *modelGateway) {
		c.coordinator.Vote(w.now, self.Name, services)
		source := c.sources[self.Incarnation]
		if source == nil {
			source = &proof.Source{}
			c.sources[self.Incarnation] = source
		}
		source.Received(number, w.now)
		w.deliver(c, self, func(g *modelGateway) {
			g.heard[to.Incarnation] = w.now
			g.candidates.Responded(to.Incarnation)
		})
	})
}

// request asks for a permit for one request.
func (w *world) request(g *modelGateway) {
	chosen := w.choose(g)
	if w.without.freeAlone && chosen == g.candidates.self && len(g.candidates.silent) >= maxSilent {
		w.use(g, w.now)
		return
	}
	g.lastAsk++
	number, self := g.lastAsk, g.candidate()
	g.asks[number] = chosen
	ask := Ask{Ticket: Ticket{Gateway: self.Incarnation, Number: number}, Service: modelService, Value: w.random.Float64(),
		Upstreams: []Entry{{Upstream: w.upstream, Named: Named{Limited: true, PerSecond: w.limit}}}, Wait: w.within(4 * time.Second)}
	w.deliver(g, chosen, func(c *modelGateway) {
		w.prepare(c)
		c.coordinator.Ask(w.now, ask)
		w.advance(c)
	})
}

// prepare applies the parts that are left out to a coordinator.
func (w *world) prepare(c *modelGateway) {
	s := c.coordinator.service(modelService)
	if w.without.fullBucket && s.limits[w.upstream] == nil {
		s.limits[w.upstream] = c.coordinator.newLimit(w.now, Entry{Upstream: w.upstream, Named: Named{Limited: true, PerSecond: w.limit}})
		s.limits[w.upstream].bucket.tokens = w.limit*window.Seconds() + windowSlack
	}
	if w.without.noVotes || w.without.ownBuckets {
		for i := range len(w.gateways) {
			s.votes[fmt.Sprint("v", i)] = w.now + time.Hour
		}
	}
}

// advance sends the decisions of a coordinator.
func (w *world) advance(c *modelGateway) {
	coordinator := c.candidate()
	for _, decision := range c.coordinator.Advance(w.now) {
		to := w.findIncarnation(decision.Ticket.Gateway)
		if to == nil {
			continue
		}
		report, self := proof.Report{}, to.candidate()
		if source := c.sources[self.Incarnation]; source != nil {
			report = source.Report(decision.At)
		}
		w.deliver(c, self, func(g *modelGateway) {
			if g.asks[decision.Ticket.Number] != coordinator {
				return // given up
			}
			delete(g.asks, decision.Ticket.Number)
			granted, known := g.requests.Proved(report, w.now)
			switch {
			case !decision.Granted:
			case w.without.lateAge, coordinator == self:
				w.use(g, w.now)
			case known:
				w.use(g, granted)
			}
		})
	}
}

// findIncarnation returns the gateway that runs an incarnation, nil if it has ended.
func (w *world) findIncarnation(incarnation string) *modelGateway {
	for _, g := range w.gateways {
		if g.candidate().Incarnation == incarnation {
			return g
		}
	}
	return nil
}

// use sends a request with a permit once its connection is open.
func (w *world) use(g *modelGateway, granted time.Duration) {
	delay := w.within(20 * time.Millisecond)
	if w.now < g.slowUntil {
		delay = g.slowUntil - w.now
	}
	to := g.candidate()
	w.after(delay, func() {
		w.receive(to, func(g *modelGateway) {
			if w.now-granted >= PermitTTL && !w.without.noExpiry {
				return
			}
			w.all++
			if w.now >= g.disruptedUntil+excuseTime {
				w.sends = append(w.sends, w.now)
			}
		})
	})
}

// disruption is a kind of disruption.
type disruption int

const (
	freeze disruption = iota
	cut
	restart
	slowGateway
	// differingLists lets gateways lack others in their lists for a while, and swappingLists for good, each time
	// others.
	differingLists
	swappingLists
	// lostCandidates cuts off the first candidates together.
	lostCandidates
	slowUpstream
	// laggingCoordinator lets the link of the coordinator fill up.
	laggingCoordinator
)

var allDisruptions = []disruption{freeze, cut, restart, slowGateway, differingLists, swappingLists, lostCandidates, slowUpstream, laggingCoordinator}

// disrupt lets one of several things happen to gateways.
func (w *world) disrupt(kinds []disruption) {
	g := w.gateways[w.random.IntN(len(w.gateways))]
	length := w.within(4 * time.Second)
	switch kinds[w.random.IntN(len(kinds))] {
	case freeze:
		g.disruptedUntil = w.now + length
		g.frozenUntil = g.disruptedUntil
	case cut:
		g.disruptedUntil = w.now + length
		g.cutUntil = g.disruptedUntil
	case restart:
		g.disruptedUntil = w.now
		w.restart(g)
		w.after(w.within(2*time.Second), func() { w.updateAll(0) })
	case slowGateway:
		g.slowUntil = w.now + length
	case differingLists:
		w.updateAll(0.9)
		w.after(length, func() { w.updateAll(0) })
	case swappingLists:
		w.updateAll(1)
	case lostCandidates:
		w.loseFirst(length)
	case slowUpstream:
		for _, each := range w.gateways {
			each.slowUntil = w.now + length
		}
	case laggingCoordinator:
		if c := w.find(g.candidates.Choose(modelService)); c != nil && w.now >= c.lagsUntil+window {
			c.lagsFrom, c.lagsUntil = w.now, w.now+2*window+length
			c.disruptedUntil = c.lagsUntil
		}
	}
}

// loseFirst cuts off the first candidates of the service.
func (w *world) loseFirst(length time.Duration) {
	ranked := w.gateways[0].candidates.rank(modelService)
	for _, candidate := range ranked[:min(len(ranked), maxSilent+1)] {
		if g := w.find(candidate); g != nil {
			g.disruptedUntil = w.now + length
			g.cutUntil = g.disruptedUntil
		}
	}
}

// step is how far the model's time advances at once.
const step = 5 * time.Millisecond

// run plays a course in which requests arrive at a rate and disruptions at an interval.
func (w *world) run(length time.Duration, perSecond float64, kinds []disruption) {
	nextDisruption := 2 * time.Second
	for ; w.now < length; w.now += step {
		w.runEvents()
		for _, g := range w.gateways {
			if w.now < g.frozenUntil {
				continue
			}
			if w.now-g.lastVote >= VoteInterval {
				g.lastVote = w.now
				w.vote(g)
			}
			if at, queued := g.coordinator.NextAt(w.now); queued && at <= w.now {
				w.prepare(g)
				w.advance(g)
			}
		}
		if w.random.Float64() < perSecond*step.Seconds() {
			g := w.gateways[w.random.IntN(len(w.gateways))]
			if w.random.IntN(3) == 0 {
				g = w.gateways[0] // balancers spread requests unevenly
			}
			if w.now >= g.frozenUntil {
				w.request(g)
			}
		}
		if len(kinds) > 0 && w.now >= nextDisruption {
			nextDisruption += w.within(2 * disruptEvery)
			w.disrupt(kinds)
		}
	}
}

// runEvents runs the events that are due.
func (w *world) runEvents() {
	due := w.events
	w.events = nil
	for _, e := range due {
		if e.at <= w.now {
			e.run()
		} else {
			w.events = append(w.events, e)
		}
	}
}

// mostInWindow returns the largest number of counted sends in any window.
func (w *world) mostInWindow() int {
	most, from := 0, 0
	for i, at := range w.sends {
		for at-w.sends[from] >= window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// bound returns how many sends a window may have.
func (w *world) bound() int { return int(windowFactor*w.limit*window.Seconds() + windowSlack) }
