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

// Options say what a run has.
type Options struct {
	// Bin is the folder of the built programs.
	Bin string
	// Seed gives the steps and the clients' choices.
	Seed                     uint64
	Gateways, Clients, Steps int
	// Keep is the folder to which the gateways' logs go if something broke; empty keeps none.
	Keep string
	// Out takes the steps as they are made; nil takes none.
	Out io.Writer
}

// Report is what came of a run.
type Report struct {
	// Sent counts all requests, Served the whole successes.
	Sent, Served int
	// Violations are the promises that were broken.
	Violations []string
}

// soak is one run.
type soak struct {
	options Options
	fleet   *platformfleet.Fleet
	// links are the relays by what they stand before, names their keys in order.
	links map[string]*harness.Relay
	names []string
	ports *harness.Ports
	// workers are the workers that run, with their services; starts counts those that came back.
	workers []entered
	starts  int
	// endedStarts holds the ids of the starts of workers that have ended.
	endedStarts map[string]bool
	// revivals are the waits for the crashes of workers, which end with reviving.
	revivals sync.WaitGroup
	reviving context.Context
	// processes keep steps on one gateway apart; ended tells of each whether a step has
	// ended it since its last start.
	processes []sync.Mutex
	ended     []atomic.Bool

	mu       sync.Mutex
	evidence evidence
	version  int64
	noSpare  bool
	found    map[string]bool
}

// entered is a worker and the service that it is entered for.
type entered struct {
	*worker.Worker
	service string
}

// Run plays the steps of a seed on a fleet of its own and judges what came of them. An
// error tells that the run itself failed.
func Run(ctx context.Context, o Options) (Report, error) {
	s := &soak{
		options:   o,
		links:     make(map[string]*harness.Relay),
		ports:     harness.NewPorts(),
		processes: make([]sync.Mutex, o.Gateways),
		ended:     make([]atomic.Bool, o.Gateways),
		version:   1,
		found:     make(map[string]bool),

		endedStarts: make(map[string]bool),
	}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return Report{}, err
	}
	err := s.play(ctx)
	report := s.report()
	if len(report.Violations) > 0 && o.Keep != "" {
		err = errors.Join(err, s.fleet.KeepLogs(o.Keep))
	}
	return report, err
}

// workTime is what a request takes at its upstream: long enough that faults strike
// requests that run.
const workTime = 40 * time.Millisecond

// start starts the fleet with a relay before each of its parts.
func (s *soak) start(ctx context.Context) error {
	fleet, err := platformfleet.Start(ctx, platformfleet.Options{
		Bin: s.options.Bin, Gateways: s.options.Gateways, WorkTime: workTime, CrashBody: crashBody, Through: s.through})
	if err != nil {
		return err
	}
	s.fleet = fleet
	fleet.Each(func(service string, w *worker.Worker) {
		s.workers = append(s.workers, entered{Worker: w, service: service})
	})
	sort.Slice(s.workers, func(i, j int) bool { return s.workers[i].ID < s.workers[j].ID })
	s.configure(false)
	return nil
}

// through puts a relay before a target.
func (s *soak) through(name, target string) (string, error) {
	listener, err := s.ports.Listen()
	if err != nil {
		return "", err
	}
	s.links[name] = harness.RelayOn(listener, target)
	s.names = append(s.names, name)
	sort.Strings(s.names)
	return listener.Addr().String(), nil
}

// play lets clients send while the steps are made, and then while nothing is wrong.
func (s *soak) play(ctx context.Context) error {
	var doors []string
	for i, g := range s.fleet.Gateways {
		address, err := s.through(fmt.Sprintf("clients of gateway-%d", i+1), g.Clients)
		if err != nil {
			return err
		}
		doors = append(doors, address)
	}
	sending, stopSending := context.WithCancel(ctx)
	var clients sync.WaitGroup
	defer clients.Wait()
	defer stopSending()
	for number := range s.options.Clients {
		c := &client{number: number, random: rand.New(rand.NewPCG(s.options.Seed, uint64(number))), gateways: doors, report: s.take}
		clients.Go(func() { c.run(sending) })
	}
	defer s.revivals.Wait()
	var stopReviving context.CancelFunc
	s.reviving, stopReviving = context.WithCancel(ctx)
	defer stopReviving()
	for _, at := range s.workers {
		s.revivals.Go(func() { s.watchCrashes(s.reviving, at) })
	}
	clients.Go(func() { s.sendCrashing(sending, doors) }) // no worker crashes before all are watched
	if err := s.makeSteps(ctx); err != nil {
		return err
	}
	if err := s.calm(ctx); err != nil {
		return err
	}
	stopSending()
	clients.Wait()
	s.judge(true)
	return s.fleet.Stop(ctx)
}

// take records an outcome.
func (s *soak) take(o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.outcomes = append(s.evidence.outcomes, o)
}

// judgeEvery is how often the evidence is judged while the run goes on.
const judgeEvery = time.Second

// makeSteps makes the steps of the plan, each at its time, and waits for their ends.
func (s *soak) makeSteps(ctx context.Context) error {
	began := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	for _, step := range append(Plan(s.options.Seed, s.options.Steps), planWorkers(s.options.Seed)...) {
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

// note writes a line for people.
func (s *soak) note(line string) {
	if s.options.Out != nil {
		_, _ = fmt.Fprintln(s.options.Out, line) // who reads along may have gone
	}
}

// judge looks for broken promises in the evidence.
func (s *soak) judge(all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.gather(s.fleet)
	for _, one := range s.evidence.violations(all) {
		s.found[one] = true
	}
}

// violate records a broken promise that no outcome shows.
func (s *soak) violate(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.found[fmt.Sprintf(format, args...)] = true
}

// report returns what came of the run.
func (s *soak) report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := Report{Sent: len(s.evidence.outcomes)}
	for _, o := range s.evidence.outcomes {
		if o.Status == http.StatusOK && o.Whole {
			report.Served++
		}
	}
	for one := range s.found {
		report.Violations = append(report.Violations, one)
	}
	sort.Strings(report.Violations)
	return report
}

// close ends everything that the run started.
func (s *soak) close() {
	if s.fleet != nil {
		s.fleet.Kill()
	}
	for _, relay := range s.links {
		relay.Close()
	}
	_ = s.ports.Close() // a port that stays taken ends with this process
}
