package slopes

import (
	"context"
	"fmt"
	"time"

	"acaciawinch/core/config"
	"acaciawinch/standin/caller"
	"acaciawinch/standin/deployment"
	"acaciawinch/standin/harness"
	"acaciawinch/standin/load"
)

// Times of the suites of requests.
const (
	warmTime   = 500 * time.Millisecond
	loadWindow = 3 * time.Second
	// settleTime lets acknowledgements, results and metrics, which are reported
	// once a second, arrive before a window is closed.
	settleTime = 1200 * time.Millisecond
	patience   = time.Second
	// repeats is how often each size is measured.
	repeats = 2
)

// Rates of the suites, in requests a second.
const (
	stagesRate = 24
	tokensRate = 4
)

var (
	requestRates = []int{10, 20, 40, 80}
	claimRates   = []int{5, 10, 20, 40}
)

// The units of measures.
const (
	perSecondCPU   = "ms/s"
	perSecondBytes = "B/s"
	perSecond      = "1/s"
	bytesHeld      = "B"
	milliseconds   = "ms"
	countUnit      = "1"
)

// rateMeasures are the measures of the suites of requests.
var rateMeasures = []Measure{
	{"entry_cpu", perSecondCPU}, {"entry_in", perSecondBytes}, {"entry_out", perSecondBytes},
	{"entry_moved", perSecondBytes}, {"entry_log", perSecondBytes}, {"entry_probes", perSecond},
	{"entry_heap", bytesHeld}, {"entry_resident", bytesHeld},
	{"side_cpu", perSecondCPU}, {"side_moved", perSecondBytes}, {"side_log", perSecondBytes},
	{"side_heap", bytesHeld}, {"side_resident", bytesHeld},
	{"store_reads", perSecond}, {"store_writes", perSecond},
}

// loadSuites returns the suites that send requests.
func loadSuites() []suite {
	return []suite{
		{"requests", "requests of three stages", "requests a second", rateMeasures, runRequests},
		{"stages", "stages of a pipeline, at one rate of requests", "stage calls a second", rateMeasures, runStages},
		{"tokens", "length of an engine's streamed answers, at one rate of requests", "tokens a second", rateMeasures, runTokens},
		{"claims", "requests with a stage that runs at most once", "claims a second", rateMeasures, runClaims},
	}
}

// course is one size of a suite of requests.
type course struct {
	pipeline string
	rate     int
	keyed    bool
	// each is by how much one answered request adds to the size.
	each float64
}

// runRequests varies the rate of requests.
func runRequests(ctx context.Context, s *session) ([]Row, error) {
	var courses []course
	for _, rate := range requestRates {
		courses = append(courses, course{pipeline: stagesName(stageCounts[0]), rate: rate, each: 1})
	}
	return s.load(ctx, courses)
}

// runStages varies the length of the pipeline.
func runStages(ctx context.Context, s *session) ([]Row, error) {
	var courses []course
	for _, count := range stageCounts {
		courses = append(courses, course{pipeline: stagesName(count), rate: stagesRate, each: float64(count)})
	}
	return s.load(ctx, courses)
}

// runTokens varies the length of the engine's answers.
func runTokens(ctx context.Context, s *session) ([]Row, error) {
	var courses []course
	for _, count := range tokenCounts {
		courses = append(courses, course{pipeline: tokensName(count), rate: tokensRate, each: float64(count)})
	}
	return s.load(ctx, courses)
}

// runClaims varies the rate of claimed requests.
func runClaims(ctx context.Context, s *session) ([]Row, error) {
	var courses []course
	for _, rate := range claimRates {
		courses = append(courses, course{pipeline: claimed, rate: rate, keyed: true, each: 1})
	}
	return s.load(ctx, courses)
}

// load starts a fleet and runs courses on it.
func (s *session) load(ctx context.Context, courses []course) ([]Row, error) {
	fleet, err := s.start(ctx, 1, "",
		deployment.Group{Service: pool, Kind: config.KindPool, Workers: 4, Capacity: 16, ServiceMS: poolMS},
		deployment.Group{Service: ledger, Kind: config.KindService, Workers: 2, Capacity: 16, ServiceMS: poolMS},
		deployment.Group{Service: engines, Kind: config.KindEngine, Workers: engineSet, Capacity: 16,
			TokenMS: 2, FirstMS: 5, Models: []string{model + "@" + version}},
	)
	if err != nil {
		return nil, err
	}
	defer end(fleet)
	d := loadConfiguration()
	if err := s.apply(ctx, fleet, d); err != nil {
		return nil, err
	}
	client := caller.New(catalogOf(d))
	defer client.Close()
	var rows []Row
	for i, c := range courses {
		seed := uint64(100 * (i + 1))
		send(ctx, fleet, client, c, seed, warmTime)
		for repeat := range repeats {
			row, err := loaded(ctx, fleet, client, c, seed+1+uint64(repeat))
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// send sends a course's requests for a time and returns what came of them.
func send(ctx context.Context, fleet *harness.Fleet, client *caller.Client, c course, seed uint64, d time.Duration) []load.Record {
	arrivals := load.Schedule(seed, d, []load.Flow{{
		Workspace: workspace, Pipeline: c.pipeline, Rate: float64(c.rate), Keyed: c.keyed,
		Stream: true, Deadline: deadlineMS * time.Millisecond,
	}})
	return load.Run(ctx, arrivals, load.Options{
		Client:   client,
		Entry:    func(i int) string { return fleet.Entries[i%len(fleet.Entries)].URL },
		Patience: patience,
	})
}

// loaded measures one course once. Its size counts whole answers only, and it
// fails if more than one in twenty requests had another end.
func loaded(ctx context.Context, fleet *harness.Fleet, client *caller.Client, c course, seed uint64) (Row, error) {
	w, err := openWindow(ctx, fleet, entriesOf(fleet), sidesOf(fleet))
	if err != nil {
		return Row{}, err
	}
	records := send(ctx, fleet, client, c, seed, loadWindow)
	if err := pause(ctx, settleTime); err != nil {
		return Row{}, err
	}
	values, seconds, err := w.close(ctx)
	if err != nil {
		return Row{}, err
	}
	report := load.Summarize(records)
	if report.Answered*20 < report.Sent*19 {
		return Row{}, fmt.Errorf("%s at %d/s: only %d of %d requests were answered", c.pipeline, c.rate, report.Answered, report.Sent)
	}
	values["answered"] = float64(report.Answered)
	values["sent"] = float64(report.Sent)
	return Row{Size: float64(report.Answered) * c.each / seconds, Values: values}, nil
}
