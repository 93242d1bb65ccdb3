package sim

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"acaciawinch/core/share"
)

// The size of the target deployment, and assumptions about load, network and faults.
const (
	Entries           = 340
	Workspaces        = 18000
	requestsPerSecond = 810
	regions           = 4
	// skew is the exponent of the Zipf distribution of requests over workspaces.
	skew = 1.1
	// A request is in flight for minDuration plus an exponentially distributed time
	// with the mean meanExtraDuration, but for at most maxDuration.
	minDuration       = 300 * time.Millisecond
	meanExtraDuration = 700 * time.Millisecond
	maxDuration       = 3 * time.Second
	// weightSigma is the standard deviation of the logarithm of an entry's weight at the
	// load balancer.
	weightSigma = 1.0
	// smallBound is the smallest bound, which workspaces with few requests have.
	smallBound = 20
	// floodingRank is the rank of the workspace whose load is floodFactor times its bound.
	floodingRank = 0
	floodFactor  = 4
	// CallBytes is the size of an Acquire or Release call with its response, as measured
	// by BenchmarkPermit of entry/limit. handshakeBytes and handshakeRoundTrips are the
	// size and the round trips of a connection's handshake. A connection that is idle for
	// idleTimeout is closed.
	CallBytes           = 80
	handshakeBytes      = 98
	handshakeRoundTrips = 3
	idleTimeout         = time.Minute
	delayInRegion       = 500 * time.Microsecond
	delayBetweenRegions = 25 * time.Millisecond
	tickInterval        = time.Second
	warmUp              = 10 * time.Second
	faultStart          = 15 * time.Second
	faultEnd            = 45 * time.Second
)

// request is one request of a workspace on an entry.
type request struct {
	number    int
	workspace int
	entry     int
	arrivedAt time.Time
	search    *share.Search
	// held is the permit; countedBy lists all homes that count it.
	held      share.Held
	countedBy []int
	local     bool
}

// simulation is the state of one simulated case.
type simulation struct {
	c        Case
	random   *rand.Rand
	zipf     *rand.Zipf
	strategy strategy
	now      time.Time
	start    time.Time
	events   events
	// bounds holds each workspace's bound, and connections the entries to which its
	// clients are connected.
	bounds      []int
	connections [][]int
	// inFlight counts each workspace's requests in flight, and calls the calls that its
	// requests made.
	inFlight []int
	calls    map[int]int
	counters counters
}

// Run simulates a case for the given length of simulated time.
func Run(c Case, length time.Duration, seed uint64) Results {
	random := rand.New(rand.NewPCG(seed, seed))
	s := &simulation{
		c:        c,
		random:   random,
		zipf:     rand.NewZipf(random, skew, 1, Workspaces-1),
		now:      time.Unix(0, 0),
		start:    time.Unix(0, 0),
		inFlight: make([]int, Workspaces),
		calls:    make(map[int]int),
	}
	s.addWorkspaces()
	s.strategy = c.newStrategy(s)
	s.after(0, s.arrive)
	s.after(tickInterval, s.tick)
	for end := s.start.Add(length); s.now.Before(end); {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	return s.results()
}

// addWorkspaces derives the bounds from the expected load and assigns connections to
// entries.
func (s *simulation) addWorkspaces() {
	weights := make([]float64, Entries)
	sum := 0.0
	for i := range weights {
		sum += math.Exp(weightSigma * s.random.NormFloat64())
		weights[i] = sum
	}
	total := 0.0
	for rank := range Workspaces {
		total += math.Pow(float64(rank+1), -skew)
	}
	for rank := range Workspaces {
		rate := requestsPerSecond * math.Pow(float64(rank+1), -skew) / total
		expected := rate * (minDuration + meanExtraDuration).Seconds()
		bound := max(smallBound, int(1.3*expected+4*math.Sqrt(expected)))
		if rank == floodingRank && !s.c.NoFlood {
			bound = int(expected / floodFactor)
		}
		s.bounds = append(s.bounds, bound)
		var connections []int
		for range min(2+int(2*expected), Entries) {
			connections = append(connections, indexAbove(weights, s.random.Float64()*sum))
		}
		s.connections = append(s.connections, connections)
	}
}

// indexAbove returns the index of the first running sum above x.
func indexAbove(sums []float64, x float64) int {
	for i, sum := range sums {
		if x < sum {
			return i
		}
	}
	return len(sums) - 1
}

// arrive simulates the arrival of one request and schedules the next arrival.
func (s *simulation) arrive() {
	s.after(time.Duration(s.random.ExpFloat64()*float64(time.Second)/requestsPerSecond), s.arrive)
	workspace := int(s.zipf.Uint64())
	connections := s.connections[workspace]
	s.counters.arrivals++
	r := &request{number: s.counters.arrivals, workspace: workspace, entry: connections[s.random.IntN(len(connections))], arrivedAt: s.now}
	s.countArrival(r)
	s.strategy.arrive(r)
}

// admit starts a request and schedules its end.
func (s *simulation) admit(r *request) {
	s.inFlight[r.workspace]++
	s.recordLoad(r)
	duration := min(minDuration+time.Duration(s.random.ExpFloat64()*float64(meanExtraDuration)), maxDuration)
	s.after(duration, func() {
		s.inFlight[r.workspace]--
		s.strategy.ended(r)
	})
}

// tick calls the strategy's tick and schedules the next one.
func (s *simulation) tick() {
	s.after(tickInterval, s.tick)
	s.strategy.tick()
}

// after schedules a function to run after d.
func (s *simulation) after(d time.Duration, run func()) {
	s.events.sequence++
	heap.Push(&s.events, event{at: s.now.Add(d), sequence: s.events.sequence, run: run})
}

// event is a scheduled function. Events with the same time run in the order in which they
// were scheduled.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// events is a heap of events ordered by time.
type events struct {
	list     []event
	sequence int
}

func (e events) Len() int { return len(e.list) }
func (e events) Less(i, j int) bool {
	a, b := e.list[i], e.list[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.sequence < b.sequence
}
func (e events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)   { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}
