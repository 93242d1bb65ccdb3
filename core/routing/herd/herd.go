package herd

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"acaciawinch/core/fleet"
	"acaciawinch/core/routing"
)

// The size: the letter's entries and peak rate before one service of a hundred
// upstreams that is 71% busy.
const (
	Entries   = 340
	Upstreams = 100
	// perSecond is the rate of requests, capacity what an upstream runs at once.
	perSecond = 810
	capacity  = 4
	service   = 350 * time.Millisecond
	// exponentialTail is the 95th percentile over the mean, about.
	exponentialTail = 3
	// halfTrip is how old a probe's answer is when the work arrives.
	halfTrip = 500 * time.Microsecond
	// warmUp is played but doesn't count.
	warmUp = 3 * time.Second
	// sampling is how often the work held is looked at.
	sampling = 100 * time.Millisecond
	// prefixes are drawn by a Zipf law with an exponent of skew.
	prefixes = 2000
	skew     = 1.1
	// cachedPrefixes is how many an upstream keeps.
	cachedPrefixes = 32
	serviceName    = "llm"
)

// simulation is one case being played.
type simulation struct {
	c       Case
	random  *rand.Rand
	zipf    *rand.Zipf
	start   time.Time
	now     time.Time
	pending requests
	servers []*server
	entries []*entry
	all     []routing.Upstream
	waits   []time.Duration
	peaks   []float64
	first   int
	hits    int
}

// Run plays a case for a length of simulated time.
func Run(c Case, length time.Duration, seed uint64) Figures {
	s := newSimulation(c, seed)
	s.play(length)
	return s.figures(length)
}

// newSimulation sets a case up.
func newSimulation(c Case, seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, seed))
	s := &simulation{c: c, random: random, start: time.Unix(0, 0), now: time.Unix(0, 0)}
	s.zipf = rand.NewZipf(random, skew, 1, prefixes-1)
	places := make(map[routing.Upstream]int)
	picker := s.addServers(places)
	for i := range Entries {
		s.entries = append(s.entries, &entry{
			policy: c.Policy(),
			picker: picker,
			table:  routing.NewTable(),
			random: rand.New(rand.NewPCG(seed, uint64(i))),
			load:   func(u routing.Upstream) routing.Load { return s.servers[places[u]].load() },
		})
	}
	return s
}

// addServers makes the upstreams and notes their places.
func (s *simulation) addServers(places map[routing.Upstream]int) *routing.Picker {
	var hosts []fleet.Host
	for i := range Upstreams {
		mean := service
		if s.c.Slow && i == 0 {
			mean *= 10
		}
		s.servers = append(s.servers, &server{mean: mean})
		name := fmt.Sprint("upstream-", i)
		hosts = append(hosts, fleet.Host{Name: name, Role: fleet.RoleUpstream, Service: serviceName, Zone: "zone"})
	}
	picker := routing.NewPicker(routing.Source{
		Zone: "zone", Hosts: hosts, Drained: func(string) bool { return false },
	})
	s.all = picker.Service(serviceName)
	for i, upstream := range s.all {
		places[upstream] = i
	}
	return picker
}

// play runs all events of the given length.
func (s *simulation) play(length time.Duration) {
	end := s.start.Add(length)
	arrival, sample, push := s.start, s.start.Add(warmUp), s.start
	if s.c.Push == 0 {
		push = end
	}
	for s.now.Before(end) {
		next := earliest(arrival, sample, push)
		if len(s.pending) > 0 && s.pending[0].at.Before(next) {
			s.move(heap.Pop(&s.pending).(request))
			continue
		}
		s.now = next
		switch next {
		case arrival:
			s.arrive()
			arrival = arrival.Add(s.draw(time.Second / perSecond))
		case sample:
			s.sample()
			sample = sample.Add(sampling)
		case push:
			s.push()
			push = push.Add(s.c.Push)
		}
	}
}

// earliest returns the first of some times.
func earliest(times ...time.Time) time.Time { return slices.MinFunc(times, time.Time.Compare) }

// arrive lets one entry decide; its call reaches the upstream half a trip later.
func (s *simulation) arrive() {
	prefix := s.zipf.Uint64() + 1
	query := routing.Query{Service: serviceName}
	if s.c.Affinity {
		query.Engine, query.Prefix = true, prefix
	}
	chosen := s.entries[s.random.IntN(Entries)].choose(s.now, query)
	place := slices.Index(s.all, chosen)
	heap.Push(&s.pending, request{at: s.now.Add(halfTrip), upstream: place, prefix: prefix})
}

// move plays an arrival at an upstream, or an end.
func (s *simulation) move(r request) {
	s.now = r.at
	server := s.servers[r.upstream]
	if r.ends {
		server.running--
		server.finished++
	} else {
		server.queue = append(server.queue, r)
	}
	for server.running < capacity && len(server.queue) > 0 {
		s.begin(server, server.queue[0])
		server.queue = server.queue[1:]
	}
}

// begin starts a call.
func (s *simulation) begin(server *server, r request) {
	server.running++
	cached := server.use(r.prefix)
	if cached && s.counts(r) {
		s.hits++
	}
	s.wait(r)
	heap.Push(&s.pending, request{at: s.now.Add(s.draw(server.mean)), upstream: r.upstream, ends: true})
}

// push gives every entry the load of every upstream.
func (s *simulation) push() {
	for _, e := range s.entries {
		for _, upstream := range s.all {
			e.tell(s.now, upstream)
		}
	}
}
