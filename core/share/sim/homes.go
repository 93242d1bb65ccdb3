package sim

import (
	"strconv"
	"time"

	"acaciawinch/core/share"
)

// homes asks the homes of bounds, by the decisions of core/share.
type homes struct {
	s       *simulation
	homes   *share.Homes
	askers  []*share.Asker
	ledgers []*share.Ledger
}

func newHomes(s *simulation) way {
	h := &homes{s: s, homes: share.NewHomes(hostList())}
	for range Entries {
		h.askers = append(h.askers, share.NewAsker())
		h.ledgers = append(h.ledgers, share.NewLedger())
	}
	return h
}

func (h *homes) arrive(r *request) {
	search, step := h.askers[r.entry].Begin(h.s.now, h.homes, nameOf(r.workspace), h.s.bounds[r.workspace], h.s.random.Uint64())
	r.search = search
	h.step(r, step)
}

// step carries out a step of a request's search.
func (h *homes) step(r *request, step share.Step) {
	switch step.Kind {
	case share.StepAsk:
		h.ask(r, step)
	case share.StepGranted:
		r.home, r.part = indexOf(step.Home.Name), step.Part
		h.s.waited(r)
		h.s.admit(r)
	default:
		h.s.refuse(r)
	}
}

// ask lets a home answer after the way there, and the entry learn it after the way
// back.
func (h *homes) ask(r *request, step share.Step) {
	home := indexOf(step.Home.Name)
	trip := trip(r.entry, home)
	h.call(r, home)
	h.s.after(trip, func() {
		answer := h.ledgers[home].Acquire(h.s.now, share.Ask{
			Workspace: nameOf(r.workspace),
			Part:      step.Part,
			Bound:     step.Bound,
			Permit:    share.PermitID(r.number),
			Life:      longest + share.Grace,
		})
		h.s.after(trip, func() { h.step(r, r.search.Answered(h.s.now, answer)) })
	})
}

func (h *homes) ended(r *request) {
	h.askers[r.entry].Ended(nameOf(r.workspace), false)
	h.call(r, r.home)
	h.s.after(trip(r.entry, r.home), func() {
		h.ledgers[r.home].Release(h.s.now, nameOf(r.workspace), r.part, share.PermitID(r.number))
	})
}

func (h *homes) tick() {}

// call counts one call at both ends, unless the entry is its own home.
func (h *homes) call(r *request, home int) {
	h.s.calls[r.workspace]++
	if home == r.entry {
		return
	}
	h.s.count(r.entry, 1, CallBytes)
	h.s.answered(home)
}

// trip is the way between two entries: they are dealt out over four regions.
func trip(a, b int) time.Duration {
	if a%regions == b%regions {
		return tripInRegion
	}
	return tripBetween
}

// nameOf and indexOf name entries and workspaces by their numbers.
func nameOf(i int) string { return strconv.Itoa(i) }

func indexOf(name string) int {
	i, err := strconv.Atoi(name)
	if err != nil {
		panic(err) // a name that this package did not make
	}
	return i
}
