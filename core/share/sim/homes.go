package sim

import (
	"slices"
	"strconv"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/share"
)

// homes asks the homes of bounds, by the decisions of core/share.
type homes struct {
	s *simulation
	// seen are the homes as each region sees them.
	seen    [regions]*share.Homes
	askers  []*share.Asker
	ledgers []*share.Ledger
	// lives are the homes' incarnations.
	lives []core.Incarnation
	// running are the requests that run, in the order of their numbers.
	running []*request
	// used is when a connection was used last.
	used map[link]time.Time
}

// link is the connection between two entries, from the one that opened it.
type link struct{ from, to int }

func newHomes(s *simulation) way {
	h := &homes{s: s, lives: make([]core.Incarnation, Entries), used: make(map[link]time.Time)}
	for region := range regions {
		h.seen[region] = share.NewHomes(hostList(), nameOf(region))
	}
	for range Entries {
		h.askers = append(h.askers, share.NewAsker())
		h.ledgers = append(h.ledgers, share.NewLedger())
	}
	if s.c.Restart {
		s.after(faultFrom, h.restart)
	}
	return h
}

// restart starts the home of the flooding workspace's first part anew.
func (h *homes) restart() {
	home := indexOf(h.seen[0].Of(nameOf(flooding), 0)[0].Name)
	h.ledgers[home] = share.NewLedger()
	h.lives[home]++
}

func (h *homes) arrive(r *request) {
	homes := h.seen[r.entry%regions]
	search, step := h.askers[r.entry].Begin(h.s.now, homes, nameOf(r.workspace), h.s.bounds[r.workspace], h.s.random.Uint64())
	r.search = search
	r.held = share.Held{Workspace: nameOf(r.workspace), Permit: share.PermitID(r.number), End: h.s.now.Add(longest + share.Grace)}
	h.step(r, step)
}

// step carries out a step of a request's search.
func (h *homes) step(r *request, step share.Step) {
	r.held.Part, r.held.Bound = step.Part, step.Bound
	switch step.Kind {
	case share.StepAsk:
		h.ask(r, step.Home, share.Ask{
			Workspace: r.held.Workspace,
			Part:      step.Part,
			Bound:     step.Bound,
			Permit:    r.held.Permit,
			Life:      r.held.End.Sub(h.s.now),
		})
	case share.StepGranted, share.StepAlone:
		r.alone = step.Kind == share.StepAlone
		h.running = append(h.running, r)
		h.s.waited(r)
		h.s.admit(r)
	default:
		h.s.refuse(r)
	}
}

// ask lets a home answer after the way there, and the entry learn it after the way
// back, or its silence after the timeout.
func (h *homes) ask(r *request, to share.Home, a share.Ask) {
	home := indexOf(to.Name)
	trip := trip(r.entry, home)
	opening := h.call(r, home)
	if h.cut(r.entry, home) {
		h.s.after(share.AskTimeout, func() { h.silent(r, to, a) })
		return
	}
	h.s.after(opening+trip, func() {
		answer, life := h.ledgers[home].Acquire(h.s.now, a), h.lives[home]
		if answer.Granted {
			r.counting = append(r.counting, home)
		}
		h.s.after(trip, func() {
			h.askers[r.entry].Heard(to.Name, life)
			if answer.Granted {
				r.held.Home, r.held.Incarnation = to.Name, life
			}
			if !a.Running {
				h.step(r, r.search.Answered(h.s.now, answer))
			}
		})
	})
}

// silent tells an entry that a home did not answer.
func (h *homes) silent(r *request, to share.Home, a share.Ask) {
	if a.Running {
		h.askers[r.entry].Silent(h.s.now, h.seen[r.entry%regions], to)
		return
	}
	h.step(r, r.search.Silent(h.s.now))
}

func (h *homes) ended(r *request) {
	h.askers[r.entry].Ended(nameOf(r.workspace), r.alone)
	h.running = slices.DeleteFunc(h.running, func(other *request) bool { return other == r })
	for _, home := range r.counting {
		h.call(r, home)
		if h.cut(r.entry, home) {
			continue
		}
		h.s.after(trip(r.entry, home), func() {
			h.ledgers[home].Release(h.s.now, r.held.Workspace, r.held.Part, r.held.Permit)
		})
	}
}

// tick lets the right homes count the running requests.
func (h *homes) tick() {
	for _, r := range h.running {
		home, ask, due := h.askers[r.entry].Move(h.s.now, h.seen[r.entry%regions], r.held)
		if due {
			h.ask(r, home, ask)
		}
	}
}

// cut tells whether two entries are separated now.
func (h *homes) cut(a, b int) bool {
	since := h.s.now.Sub(h.s.start)
	lone := regions - 1
	return h.s.c.Cut && since >= faultFrom && since < faultTo && (a%regions == lone) != (b%regions == lone)
}

// call counts one call at both ends, unless the entry is its own home, and returns
// the time that opening a connection for it takes.
func (h *homes) call(r *request, home int) time.Duration {
	h.s.calls[r.workspace]++
	if home == r.entry {
		return 0
	}
	h.s.count(r.entry, 1, CallBytes)
	h.s.answered(home, CallBytes)
	at := link{r.entry, home}
	last, known := h.used[at]
	h.used[at] = h.s.now
	if known && h.s.now.Sub(last) < idleLimit {
		return 0
	}
	h.s.count(r.entry, 0, openBytes)
	h.s.answered(home, openBytes)
	return openTrips * 2 * trip(r.entry, home)
}

// trip is the way between two entries: they are dealt out over the regions.
func trip(a, b int) time.Duration {
	if a%regions == b%regions {
		return tripInRegion
	}
	return tripBetween
}

// nameOf and indexOf name entries, regions and workspaces by their numbers.
func nameOf(i int) string { return strconv.Itoa(i) }

func indexOf(name string) int {
	i, err := strconv.Atoi(name)
	if err != nil {
		panic(err) // a name that this package did not make
	}
	return i
}
