package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/standin/harness"
	"acaciawinch/standin/platformfleet"
	"acaciawinch/standin/worker"
)

// Options are the settings of a run.
type Options struct {
	// Bin is the folder of the built programs.
	Bin string
	// Seed determines the steps and the choices of the clients.
	Seed                     uint64
	Gateways, Clients, Steps int
	// Returns is how often the store returns from a copy.
	Returns int
	// Disorders is how often a worker responds out of order or without a mark of the end.
	Disorders int
	// Limits is how often a worker names a limit.
	Limits int
	// Versions is the number of software versions of the engines that serve side by side at first; 0 for none.
	Versions int
	// Parts is the number of parts of prompts that crash engines; 0 for prompts without such parts.
	Parts int
	// Silences is how often an engine falls silent.
	Silences int
	// Uneven is the number of engines of which one is slow, in a run whose machines are slower at times; 0 for
	// engines and machines of the same pace.
	Uneven int
	// Doubles is how often a worker sends responses twice.
	Doubles int
	// Unheard is how many series of short silences of the store follow the faults.
	Unheard int
	// Bodies is how often many clients send long bodies at once.
	Bodies int
	// Broken is how often responses or entries of the store are broken.
	Broken int
	// Keep is the folder to which the logs of the gateways are copied if the run fails; empty for none.
	Keep string
	// Out receives a line for each step when it starts; nil for none.
	Out io.Writer
}

// Report is the result of a run.
type Report struct {
	// Sent counts all requests, Served the complete successful responses.
	Sent, Served int
	// DoubledAtOnce and DoubledLate count the responses that workers sent twice.
	DoubledAtOnce, DoubledLate int
	// Early counts the long bodies that workers answered before they had read them.
	Early int
	// Violations are the promises that were broken.
	Violations []string
}

// soak is one run.
type soak struct {
	options Options
	fleet   *platformfleet.Fleet
	// links holds the relays by the names under which addRelay started them; names holds these, sorted.
	links map[string]*harness.Relay
	names []string
	ports *harness.Ports
	// workers are the running workers with their services; restarts counts the restarts of workers.
	workers  []registeredWorker
	restarts int
	// endedIncarnations holds the ids of the incarnations of workers that have ended.
	endedIncarnations map[string]bool
	// crashWatches counts the goroutines that wait for a crash of a worker; they end with watchCtx.
	crashWatches sync.WaitGroup
	watchCtx     context.Context
	// processes serializes the steps on each gateway; endedBySteps is set for a gateway that a step
	// has ended since its last start.
	processes    []sync.Mutex
	endedBySteps []atomic.Bool
	// streamPauses counts the steps during which clients send no streaming requests.
	streamPauses atomic.Int32
	// away is locked while the store returns from a copy, and locked for reading by other steps on the
	// store and by writes of the operator and the workers.
	away sync.RWMutex

	mu           sync.Mutex
	evidence     evidence
	version      int64
	spareRevoked bool
	violations   map[string]bool
	// states holds the latest state of the entries of workers by id; empty for an entry that was removed.
	states map[string]string
}

// registeredWorker is a worker and the service that it is registered for.
type registeredWorker struct {
	*worker.Worker
	service string
}

// Run runs the steps of a seed on a new fleet and judges the result. An error says that the run
// itself failed.
func Run(ctx context.Context, o Options) (Report, error) {
	s := &soak{
		options:      o,
		links:        make(map[string]*harness.Relay),
		ports:        harness.NewPorts(),
		processes:    make([]sync.Mutex, o.Gateways),
		endedBySteps: make([]atomic.Bool, o.Gateways),
		version:      1,
		violations:   make(map[string]bool),

		endedIncarnations: make(map[string]bool),
		states:            make(map[string]string),
	}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return Report{}, err
	}
	err := s.sendAndInject(ctx)
	report := s.report()
	if len(report.Violations) > 0 && o.Keep != "" {
		err = errors.Join(err, s.fleet.KeepLogs(o.Keep))
	}
	return report, err
}

// workTime is how long a request takes at its upstream: long enough for faults to strike requests
// in flight.
const workTime = 40 * time.Millisecond

// start starts the fleet with a relay in front of each of its parts.
func (s *soak) start(ctx context.Context) error {
	fleet, err := platformfleet.Start(ctx, platformfleet.Options{
		Bin: s.options.Bin, Gateways: s.options.Gateways, WorkTime: workTime, CrashBody: crashBody, Versions: s.options.Versions, CrashParts: crashParts(s.options.Parts),
		Prepare: s.prepareWorker(prepareUneven(s.options.Seed, s.options.Uneven, time.Now())), Proxy: s.addRelay})
	if err != nil {
		return err
	}
	s.fleet = fleet
	fleet.Each(func(service string, w *worker.Worker) {
		s.workers = append(s.workers, registeredWorker{Worker: w, service: service})
		s.states[w.ID] = "ready"
	})
	sort.Slice(s.workers, func(i, j int) bool { return s.workers[i].ID < s.workers[j].ID })
	s.configure(false)
	return nil
}

// addRelay starts a relay in front of a target and returns the address of the relay.
func (s *soak) addRelay(name, target string) (string, error) {
	listener, err := s.ports.Listen()
	if err != nil {
		return "", err
	}
	s.links[name] = harness.RelayOn(listener, target)
	s.names = append(s.names, name)
	sort.Strings(s.names)
	return listener.Addr().String(), nil
}

// sendAndInject runs the steps while clients send requests, and then checks the recovery.
func (s *soak) sendAndInject(ctx context.Context) error {
	var addresses []string
	for i, g := range s.fleet.Gateways {
		address, err := s.addRelay(fmt.Sprintf("clients of gateway-%d", i+1), g.Clients)
		if err != nil {
			return err
		}
		addresses = append(addresses, address)
	}
	sending, stopSending := context.WithCancel(ctx)
	var clients sync.WaitGroup
	defer clients.Wait()
	defer stopSending()
	for number := range s.options.Clients {
		c := &client{number: number, random: rand.New(rand.NewPCG(s.options.Seed, uint64(number))), gateways: addresses, report: s.record, takesUp: s.options.Versions > 0, sharesParts: s.options.Parts > 0, streamPauses: &s.streamPauses}
		clients.Go(func() { c.run(sending) })
	}
	defer s.crashWatches.Wait()
	var stopWatching context.CancelFunc
	s.watchCtx, stopWatching = context.WithCancel(ctx)
	defer stopWatching()
	for _, w := range s.workers {
		s.crashWatches.Go(func() { s.watchCrashes(s.watchCtx, w) })
	}
	clients.Go(func() { s.sendCrashing(sending, addresses) }) // started last: no worker may crash before all are watched
	for number := range s.options.Parts {
		clients.Go(func() { s.sendBadParts(sending, addresses, number) })
	}
	if err := s.runSteps(ctx); err != nil {
		return err
	}
	if err := s.verifyRecovery(ctx); err != nil {
		return err
	}
	stopSending()
	clients.Wait()
	s.judge(true)
	return s.fleet.Stop(ctx)
}

// record stores an outcome.
func (s *soak) record(o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.outcomes = append(s.evidence.outcomes, o)
}

// judgeEvery is the interval at which the evidence is judged during the run.
const judgeEvery = time.Second

// runSteps runs each step of the plan at its time and waits until all have ended.
func (s *soak) runSteps(ctx context.Context) error {
	began := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	for _, step := range planRun(s.options) {
		group.Go(func() error {
			sleep(ctx, time.Until(began.Add(step.At)))
			s.note(step.String())
			return s.apply(ctx, step)
		})
	}
	judging, stop := context.WithCancel(ctx)
	judged := make(chan struct{})
	go func() {
		defer close(judged)
		for judging.Err() == nil {
			sleep(judging, judgeEvery)
			s.judge(false)
		}
	}()
	err := group.Wait()
	stop()
	<-judged
	return err
}

// note writes a progress line.
func (s *soak) note(line string) {
	if s.options.Out != nil {
		_, _ = fmt.Fprintln(s.options.Out, line) // progress lines are best effort
	}
}

// judge adds the violations that the evidence shows. If all is set, the outcomes of all requests are
// known.
func (s *soak) judge(all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.gather(s.fleet)
	for _, violation := range s.evidence.violations(all) {
		s.violations[violation] = true
	}
}

// addViolation adds a violation that the evidence does not show.
func (s *soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations[fmt.Sprintf(format, args...)] = true
}

// report returns the result of the run.
func (s *soak) report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := Report{Sent: len(s.evidence.outcomes)}
	for _, o := range s.evidence.outcomes {
		if o.Status == http.StatusOK && o.Complete {
			report.Served++
		}
	}
	s.fleet.Each(func(_ string, w *worker.Worker) {
		atOnce, late := w.Doubled()
		report.DoubledAtOnce += atOnce
		report.DoubledLate += late
		report.Early += w.Early()
	})
	for violation := range s.violations {
		report.Violations = append(report.Violations, violation)
	}
	sort.Strings(report.Violations)
	return report
}

// close stops everything that the run started.
func (s *soak) close() {
	if s.fleet != nil {
		s.fleet.Kill()
	}
	for _, relay := range s.links {
		relay.Close()
	}
	_ = s.ports.Close() // the end of this process releases a port that stays taken
}
