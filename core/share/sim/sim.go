package sim

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"acaciawinch/core/share"
)

// The letter's size, and what was assumed beside it.
const (
	Entries    = 340
	Workspaces = 18000
	perSecond  = 810
	regions    = 4
	// skew is the exponent of the Zipf law by which requests fall on workspaces.
	skew = 1.1
	// shortest, mean and longest bound the time of a request in flight.
	shortest = 300 * time.Millisecond
	mean     = 700 * time.Millisecond
	longest  = 3 * time.Second
	// unevenness is the standard deviation of the logarithm of an entry's weight
	// at the balancer.
	unevenness = 1.0
	// smallBound is the bound of workspaces with few requests.
	smallBound = 20
	// flooding is the rank of the workspace that offers floodFactor times its bound.
	flooding    = 0
	floodFactor = 4
	// CallBytes are those of an Acquire or a Release with its answer, as BenchmarkPermit
	// of entry/limit measures them, openBytes those of the handshake of a connection
	// and openTrips its round trips. A connection that is idle for idleLimit is closed.
	CallBytes    = 80
	openBytes    = 98
	openTrips    = 3
	idleLimit    = time.Minute
	tripInRegion = 500 * time.Microsecond
	tripBetween  = 25 * time.Millisecond
	tickEvery    = time.Second
	warmUp       = 10 * time.Second
	faultFrom    = 15 * time.Second
	faultTo      = 45 * time.Second
)

// request is one request of a workspace at an entry.
type request struct {
	number    int
	workspace int
	entry     int
	at        time.Time
	search    *share.Search
	// held is the permit; counting are all that count it.
	held     share.Held
	counting []int
	alone    bool
}

// simulation is one case being played.
type simulation struct {
	c      Case
	random *rand.Rand
	zipf   *rand.Zipf
	way    way
	now    time.Time
	start  time.Time
	events events
	// bounds and places are by workspace: places are the entries of its connections.
	bounds []int
	places [][]int
	// inFlight is by workspace; calls those that its requests made.
	inFlight []int
	calls    map[int]int
	tally    tally
}

// Run plays a case for a length of simulated time.
func Run(c Case, length time.Duration, seed uint64) Figures {
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
	s.way = c.make(s)
	s.after(0, s.arrive)
	s.after(tickEvery, s.tick)
	for end := s.start.Add(length); s.now.Before(end); {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
	}
	return s.figures()
}

// addWorkspaces sets the bounds by the expected load, and spreads connections.
func (s *simulation) addWorkspaces() {
	weights := make([]float64, Entries)
	sum := 0.0
	for i := range weights {
		sum += math.Exp(unevenness * s.random.NormFloat64())
		weights[i] = sum
	}
	total := 0.0
	for rank := range Workspaces {
		total += math.Pow(float64(rank+1), -skew)
	}
	for rank := range Workspaces {
		rate := perSecond * math.Pow(float64(rank+1), -skew) / total
		expected := rate * (shortest + mean).Seconds()
		bound := max(smallBound, int(1.3*expected+4*math.Sqrt(expected)))
		if rank == flooding && !s.c.Calm {
			bound = int(expected / floodFactor)
		}
		s.bounds = append(s.bounds, bound)
		var places []int
		for range min(2+int(2*expected), Entries) {
			places = append(places, search(weights, s.random.Float64()*sum))
		}
		s.places = append(s.places, places)
	}
}

// search returns the first place whose running sum is above x.
func search(sums []float64, x float64) int {
	for i, sum := range sums {
		if x < sum {
			return i
		}
	}
	return len(sums) - 1
}

// arrive plays one arrival and plans the next.
func (s *simulation) arrive() {
	s.after(time.Duration(s.random.ExpFloat64()*float64(time.Second)/perSecond), s.arrive)
	workspace := int(s.zipf.Uint64())
	places := s.places[workspace]
	s.tally.arrivals++
	r := &request{number: s.tally.arrivals, workspace: workspace, entry: places[s.random.IntN(len(places))], at: s.now}
	s.arrived(r)
	s.way.arrive(r)
}

// admit starts a request.
func (s *simulation) admit(r *request) {
	s.inFlight[r.workspace]++
	s.admitted(r)
	length := min(shortest+time.Duration(s.random.ExpFloat64()*float64(mean)), longest)
	s.after(length, func() {
		s.inFlight[r.workspace]--
		s.way.ended(r)
	})
}

// tick passes the time on to the way.
func (s *simulation) tick() {
	s.after(tickEvery, s.tick)
	s.way.tick()
}

// after plans something.
func (s *simulation) after(d time.Duration, do func()) {
	s.events.sequence++
	heap.Push(&s.events, event{at: s.now.Add(d), sequence: s.events.sequence, do: do})
}

// event is something that happens at a time; those of one time in their order.
type event struct {
	at       time.Time
	sequence int
	do       func()
}

// events is a heap by time.
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
