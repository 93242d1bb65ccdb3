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

// Size of the simulation: the entries and the peak rate the project is designed for, and one
// service of a hundred upstreams that is 71% busy.
const (
	Entries   = 340
	Upstreams = 100
	// requestsPerSecond is the arrival rate of requests, capacity how many of them an
	// upstream runs at once.
	requestsPerSecond = 810
	capacity          = 4
	serviceTime       = 350 * time.Millisecond
	// p95OverMean is the approximate ratio of the 95th percentile to the mean of an
	// exponential distribution.
	p95OverMean = 3
	// oneWayDelay is the delay from a decision to the arrival of the call at the upstream.
	// The replies to the probes are that old by then.
	oneWayDelay = 500 * time.Microsecond
	// warmUp is simulated but left out of the results.
	warmUp = 3 * time.Second
	// sampleInterval is how often the pending work is sampled.
	sampleInterval = 100 * time.Millisecond
	// prefixes is how many prefixes there are. They are drawn from a Zipf distribution with
	// exponent zipfExponent.
	prefixes     = 2000
	zipfExponent = 1.1
	// cachedPrefixes is how many prefixes an upstream caches.
	cachedPrefixes = 32
	serviceName    = "llm"
)

// simulation is the state of a running case.
type simulation struct {
	c          Case
	random     *rand.Rand
	zipf       *rand.Zipf
	start      time.Time
	now        time.Time
	events     eventHeap
	servers    []*server
	entries    []*entry
	upstreams  []routing.Upstream
	waits      []time.Duration
	imbalances []float64
	firstCount int
	cacheHits  int
}

// Run simulates a case for the given length of simulated time.
func Run(c Case, length time.Duration, seed uint64) Results {
	s := newSimulation(c, seed)
	s.run(length)
	return s.results(length)
}

// newSimulation returns the initial state of a case.
func newSimulation(c Case, seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, seed))
	s := &simulation{c: c, random: random, start: time.Unix(0, 0), now: time.Unix(0, 0)}
	s.zipf = rand.NewZipf(random, zipfExponent, 1, prefixes-1)
	indexes := make(map[routing.Upstream]int)
	picker := s.addServers(indexes)
	for i := range Entries {
		s.entries = append(s.entries, &entry{
			policy: c.Policy(),
			picker: picker,
			table:  routing.NewTable(),
			random: rand.New(rand.NewPCG(seed, uint64(i))),
			load:   func(u routing.Upstream) routing.Load { return s.servers[indexes[u]].load() },
		})
	}
	return s
}

// addServers creates the upstreams, stores their indexes and returns the picker of them all.
func (s *simulation) addServers(indexes map[routing.Upstream]int) *routing.Picker {
	var hosts []fleet.Host
	for i := range Upstreams {
		mean := serviceTime
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
	s.upstreams = picker.Service(serviceName)
	for i, upstream := range s.upstreams {
		indexes[upstream] = i
	}
	return picker
}

// run processes all events within the given length.
func (s *simulation) run(length time.Duration) {
	end := s.start.Add(length)
	arrival, sample, push := s.start, s.start.Add(warmUp), s.start
	if s.c.Push == 0 {
		push = end
	}
	for s.now.Before(end) {
		next := earliest(arrival, sample, push)
		if len(s.events) > 0 && s.events[0].at.Before(next) {
			s.handle(heap.Pop(&s.events).(callEvent))
			continue
		}
		s.now = next
		switch next {
		case arrival:
			s.dispatch()
			arrival = arrival.Add(s.exponential(time.Second / requestsPerSecond))
		case sample:
			s.recordImbalance()
			sample = sample.Add(sampleInterval)
		case push:
			s.push()
			push = push.Add(s.c.Push)
		}
	}
}

// earliest returns the earliest of some times.
func earliest(times ...time.Time) time.Time { return slices.MinFunc(times, time.Time.Compare) }

// dispatch lets one entry decide about a new request. The call reaches the upstream after
// oneWayDelay.
func (s *simulation) dispatch() {
	prefix := s.zipf.Uint64() + 1
	query := routing.Query{Service: serviceName}
	if s.c.Affinity {
		query.Engine, query.Prefix = true, prefix
	}
	chosen := s.entries[s.random.IntN(Entries)].choose(s.now, query)
	index := slices.Index(s.upstreams, chosen)
	heap.Push(&s.events, callEvent{at: s.now.Add(oneWayDelay), upstream: index, prefix: prefix})
}

// handle processes the arrival of a call at an upstream or its completion there.
func (s *simulation) handle(call callEvent) {
	s.now = call.at
	server := s.servers[call.upstream]
	if call.completion {
		server.running--
		server.finished++
	} else {
		server.queue = append(server.queue, call)
	}
	for server.running < capacity && len(server.queue) > 0 {
		s.startCall(server, server.queue[0])
		server.queue = server.queue[1:]
	}
}

// startCall starts a queued call.
func (s *simulation) startCall(server *server, call callEvent) {
	server.running++
	cached := server.touchPrefix(call.prefix)
	if cached && s.afterWarmUp(call) {
		s.cacheHits++
	}
	s.recordWait(call)
	heap.Push(&s.events, callEvent{at: s.now.Add(s.exponential(server.mean)), upstream: call.upstream, completion: true})
}

// push gives every entry the load of every upstream.
func (s *simulation) push() {
	for _, e := range s.entries {
		for _, upstream := range s.upstreams {
			e.update(s.now, upstream)
		}
	}
}
