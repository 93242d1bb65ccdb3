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

// atOnce is how many requests stand at a step together, through the entries in
// turn: fewer than the upstreams of a service run at once.
const atOnce = 6

// togetherFaults names the faults that several requests meet together.
var togetherFaults = []string{
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

// togetherCells returns the cells in which several requests stand at one step.
func togetherCells() []Cell {
	var cells []Cell
	for _, f := range singleFaults() {
		if !slices.Contains(togetherFaults, f.Name) {
			continue
		}
		for _, step := range steps() {
			cells = append(cells, togetherCell(f, step))
		}
	}
	return cells
}

// togetherCell returns the cell of a fault that several requests meet at a step.
func togetherCell(f Fault, step Step) Cell {
	c := requestCell(f, step)
	c.Fault = fmt.Sprintf("%s, %d requests at once", f.Name, atOnce)
	if step.stopsEngine && c.Excluded == "" {
		c.Excluded = "the engines stop at the first of them"
	}
	c.run = func(ctx context.Context, s *Site, report *Report) error {
		return playTogether(ctx, &Scene{Site: s, Step: step}, f, report)
	}
	return c
}

// together are requests that stand at a step at the same time.
type together struct {
	requests []caller.Request
	pending  []*pending
	// last are the results of asking again behind the fault.
	last []caller.Result
}

// playTogether lets several requests run into a fault, asks again with the key of
// each and judges all.
func playTogether(ctx context.Context, s *Scene, f Fault, report *Report) error {
	group, err := s.reachTogether(ctx)
	if err != nil {
		return err
	}
	if err := f.inject(ctx, s); err != nil {
		return fmt.Errorf("inject: %w", err)
	}
	s.armed.resume(ctx)
	if !f.HoldOn {
		s.armed.release()
	}
	s.askMeanwhile(ctx, f, group)
	s.armed.release()
	healed := f.heal(ctx, s)
	exchanges := s.collect(f, group)
	settled := s.askAgain(ctx, f, group)
	report.First, report.Last = outcomeOf(exchanges[0].Result), outcomeOf(group.last[0])
	return s.concludeTogether(f, exchanges, group, errors.Join(healed, settled), report)
}

// reachTogether sends the requests and waits until all stand at the step. The
// scene's upstream is that of the first one.
func (s *Scene) reachTogether(ctx context.Context) (*together, error) {
	group := &together{}
	var waiting []*armed
	for range atOnce {
		request := s.Site.newRequest()
		a, err := s.Step.arm(ctx, s.Site, &request)
		if err != nil {
			return nil, err
		}
		group.requests = append(group.requests, request)
		waiting = append(waiting, a)
	}
	s.armed = joined(waiting)
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
		return nil, errors.New("the step is at no upstream")
	}
	return group, nil
}

// entryOf returns the number of the entry that a request goes through.
func (s *Scene) entryOf(request int) int { return request % len(s.Site.Fleet.Entries) }

// joined is several armed steps as one.
func joined(all []*armed) *armed {
	return &armed{
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

// askMeanwhile waits for the requests' answers while the fault lasts. Where it
// takes the entry, or parts it from the other, the keys of its requests are asked
// for elsewhere.
func (s *Scene) askMeanwhile(ctx context.Context, f Fault, group *together) {
	var asked sync.WaitGroup
	for i, request := range group.requests {
		switch {
		case s.entryOf(i) == 0 && f.EntryGone:
			asked.Go(func() { s.Site.askWhileGone(ctx, f, request) })
		case s.entryOf(i) == 0 && f.Partition.present():
			asked.Go(func() { s.askWhileApart(ctx, f, request) })
		}
		if !f.HoldOn && (s.entryOf(i) != 0 || !f.EntryGone) {
			asked.Go(func() { <-group.pending[i].done })
		}
	}
	asked.Wait()
}

// collect waits for all requests and records them.
func (s *Scene) collect(f Fault, group *together) []Exchange {
	var exchanges []Exchange
	for i, p := range group.pending {
		<-p.done
		e := Exchange{Request: group.requests[i], Result: p.result}
		if f.EntryGone && s.entryOf(i) == 0 {
			e.Excused = f.Name
		}
		s.Site.record(e)
		exchanges = append(exchanges, e)
	}
	return exchanges
}

// askAgain asks with every key when the fault is over, then with new ones, and
// waits until nothing is in flight.
func (s *Scene) askAgain(ctx context.Context, f Fault, group *together) error {
	group.last = make([]caller.Result, len(group.requests))
	var asked errgroup.Group
	for i, request := range group.requests[1:] {
		asked.Go(func() error {
			group.last[i+1] = s.Site.askUntilSettled(ctx, 1, request, configFirst)
			return nil
		})
	}
	var err error
	group.last[0], err = finish(ctx, s, f, group.requests[0])
	return errors.Join(err, asked.Wait())
}

// concludeTogether judges the cell.
func (s *Scene) concludeTogether(f Fault, exchanges []Exchange, group *together, problem error, report *Report) error {
	records, err := s.Site.Fleet.Records()
	if err != nil {
		return err
	}
	j := newJudge(s.Site.catalogs, records)
	j.exchanges(s.Site.exchanges)
	j.unknowns(s.Site.exchanges, mayBeUnknown(f, s.Step))
	for _, e := range exchanges {
		j.firstAnswer(f, s.Step, e)
	}
	j.beyond(s.harmed)
	for _, last := range group.last {
		j.lastAnswer(f, s.Step, last)
	}
	j.ending(problem)
	report.Counts = j.counts
	report.Findings = append(report.Findings, j.findings...)
	return nil
}
