package faults

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"acaciawinch/standin/caller"
)

// concurrentRequests is how many requests stop at a step together, through the entries
// in turn: fewer than the upstreams of a service run at once.
const concurrentRequests = 6

// concurrentFaults names the faults that several requests meet together.
var concurrentFaults = []string{
	"entry killed",
	"entry frozen and woken",
	"side killed",
	"side frozen and woken",
	"upstream killed",
	"entry stopped as planned",
	"side stopped as planned",
	"connection to side cut",
	"store down",
	"store answer lost after effect",
	"zones lose all packets between them",
	"region cut off",
}

// concurrentCells returns the cells in which several requests stop at one step.
func concurrentCells() []Cell {
	var cells []Cell
	for _, f := range singleFaults() {
		if !slices.Contains(concurrentFaults, f.Name) {
			continue
		}
		for _, step := range steps() {
			cells = append(cells, concurrentCell(f, step))
		}
	}
	return cells
}

// concurrentCell returns the cell of a fault that several requests meet at a step.
func concurrentCell(f Fault, step Step) Cell {
	c := requestCell(f, step)
	c.Fault = fmt.Sprintf("%s, %d requests at once", f.Name, concurrentRequests)
	if step.stopsEngine && c.Excluded == "" {
		c.Excluded = "the engines stop at the first of them"
	}
	c.run = func(ctx context.Context, s *Site, report *Report) error {
		return runConcurrent(ctx, &CellRun{Site: s, Step: step}, f, report)
	}
	return c
}

// requestGroup holds requests that stop at a step together.
type requestGroup struct {
	requests []caller.Request
	pending  []*pending
	// last holds the results of the retries after the fault.
	last []caller.Result
}

// runConcurrent stops several requests at the step, injects the fault, retries with the
// key of each request and judges the cell.
func runConcurrent(ctx context.Context, s *CellRun, f Fault, report *Report) error {
	group, err := s.reachConcurrent(ctx)
	if err != nil {
		return err
	}
	if err := f.inject(ctx, s); err != nil {
		return fmt.Errorf("inject: %w", err)
	}
	s.armed.resume(ctx)
	if !f.HoldMessage {
		s.armed.release()
	}
	s.retryDuringFault(ctx, f, group)
	s.armed.release()
	healed := f.heal(ctx, s)
	exchanges := s.collect(f, group)
	settled := s.retryAfterFault(ctx, f, group)
	report.First, report.Last = outcomeOf(exchanges[0].Result), outcomeOf(group.last[0])
	return s.judgeConcurrent(f, exchanges, group, errors.Join(healed, settled), report)
}

// reachConcurrent sends the requests and waits until all are at the step. The cell's
// upstream is that of the first request.
func (s *CellRun) reachConcurrent(ctx context.Context) (*requestGroup, error) {
	group := &requestGroup{}
	var waiting []*armedStep
	for range concurrentRequests {
		request := s.Site.newRequest()
		a, err := s.Step.arm(ctx, s.Site, &request)
		if err != nil {
			return nil, err
		}
		group.requests = append(group.requests, request)
		waiting = append(waiting, a)
	}
	s.armed = joinSteps(waiting)
	s.Entry = s.Site.Fleet.Entries[0]
	for i, request := range group.requests {
		group.pending = append(group.pending, s.Site.send(ctx, s.entryOf(i), request, configFirst))
	}
	for i, a := range waiting {
		name, err := a.reached(ctx, group.pending[i])
		if err != nil {
			return nil, err
		}
		if i == 0 {
			s.Upstream = s.Site.Fleet.Upstream(name)
		}
	}
	if s.Upstream == nil {
		return nil, errors.New("no upstream at the step")
	}
	return group, nil
}

// entryOf returns the index of the entry that a request is sent through.
func (s *CellRun) entryOf(request int) int { return request % len(s.Site.Fleet.Entries) }

// joinSteps combines several armed steps into one.
func joinSteps(all []*armedStep) *armedStep {
	return &armedStep{
		resume: func(ctx context.Context) {
			for _, a := range all {
				a.resume(ctx)
			}
		},
		release: func() {
			for _, a := range all {
				a.release()
			}
		},
	}
}

// retryDuringFault waits for the responses while the fault lasts. If the fault takes
// down the first entry, or cuts it off from the other, the keys of its requests are
// retried through the other entry.
func (s *CellRun) retryDuringFault(ctx context.Context, f Fault, group *requestGroup) {
	var waiting sync.WaitGroup
	for i, request := range group.requests {
		switch {
		case s.entryOf(i) == 0 && f.EntryDown:
			waiting.Go(func() { s.Site.retryWhileEntryDown(ctx, f, request) })
		case s.entryOf(i) == 0 && f.Partition.present():
			waiting.Go(func() { s.retryAcrossPartition(ctx, f, request) })
		}
		if !f.HoldMessage && (s.entryOf(i) != 0 || !f.EntryDown) {
			waiting.Go(func() { <-group.pending[i].done })
		}
	}
	waiting.Wait()
}

// collect waits for all requests and records their exchanges.
func (s *CellRun) collect(f Fault, group *requestGroup) []Exchange {
	var exchanges []Exchange
	for i, p := range group.pending {
		<-p.done
		e := Exchange{Request: group.requests[i], Result: p.result}
		if f.EntryDown && s.entryOf(i) == 0 {
			e.Excused = f.Name
		}
		s.Site.record(e)
		exchanges = append(exchanges, e)
	}
	return exchanges
}

// retryAfterFault retries with every key after the fault, then sends new requests, and
// waits until nothing is in flight.
func (s *CellRun) retryAfterFault(ctx context.Context, f Fault, group *requestGroup) error {
	group.last = make([]caller.Result, len(group.requests))
	var retries errgroup.Group
	for i, request := range group.requests[1:] {
		retries.Go(func() error {
			group.last[i+1] = s.Site.requestUntilSettled(ctx, 1, request, configFirst)
			return nil
		})
	}
	var err error
	group.last[0], err = finish(ctx, s, f, group.requests[0])
	return errors.Join(err, retries.Wait())
}

// judgeConcurrent judges the cell.
func (s *CellRun) judgeConcurrent(f Fault, exchanges []Exchange, group *requestGroup, problem error, report *Report) error {
	records, err := s.Site.Fleet.Records()
	if err != nil {
		return err
	}
	j := newJudge(s.Site.catalogs, records)
	j.checkExchanges(s.Site.exchanges)
	j.checkUnknowns(s.Site.exchanges, mayBeUnknown(f, s.Step))
	for _, e := range exchanges {
		j.checkFirst(f, s.Step, e)
	}
	j.addHarmed(s.harmed)
	for _, last := range group.last {
		j.checkLast(f, s.Step, last)
	}
	j.checkEnd(problem)
	report.Counts = j.counts
	report.Findings = append(report.Findings, j.findings...)
	return nil
}
