package sim

import (
	"slices"
	"strconv"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/share"
)

// homes is the strategy of core/share: entries acquire permits from the homes of parts.
type homes struct {
	s *simulation
	// byRegion holds the homes from the view of each region.
	byRegion     [regions]*share.Homes
	clients      []*share.Client
	ledgers      []*share.Ledger
	incarnations []core.Incarnation
	// running lists the running requests in the order of their admission.
	running []*request
	// lastUsed is the time at which each connection was last used.
	lastUsed map[link]time.Time
}

// link identifies the connection that entry from opened to entry to.
type link struct{ from, to int }

func newHomes(s *simulation) strategy {
	h := &homes{s: s, incarnations: make([]core.Incarnation, Entries), lastUsed: make(map[link]time.Time)}
	for region := range regions {
		h.byRegion[region] = share.NewHomes(hostList(), nameOf(region))
	}
	for range Entries {
		h.clients = append(h.clients, share.NewClient())
		h.ledgers = append(h.ledgers, share.NewLedger())
	}
	if s.c.Restart {
		s.after(faultStart, h.restart)
	}
	return h
}

// restart restarts the home of the flooding workspace's first part, which loses its
// ledger.
func (h *homes) restart() {
	home := indexOf(h.byRegion[0].Of(nameOf(floodingRank), 0)[0].Name)
	h.ledgers[home] = share.NewLedger()
	h.incarnations[home]++
}

func (h *homes) arrive(r *request) {
	view := h.byRegion[r.entry%regions]
	search, step := h.clients[r.entry].Begin(h.s.now, view, nameOf(r.workspace), h.s.bounds[r.workspace], h.s.random.Uint64())
	r.search = search
	r.held = share.Held{Workspace: nameOf(r.workspace), Permit: share.PermitID(r.number), ExpiresAt: h.s.now.Add(maxDuration + share.Grace)}
	h.step(r, step)
}

// step executes a step of a request's search.
func (h *homes) step(r *request, step share.Step) {
	r.held.Part, r.held.Bound = step.Part, step.Bound
	switch step.Kind {
	case share.StepAcquire:
		h.send(r, step.Home, share.AcquireRequest{
			Workspace: r.held.Workspace,
			Part:      step.Part,
			Bound:     step.Bound,
			Permit:    r.held.Permit,
			TTL:       r.held.ExpiresAt.Sub(h.s.now),
		})
	case share.StepGranted, share.StepGrantedLocally:
		r.local = step.Kind == share.StepGrantedLocally
		h.running = append(h.running, r)
		h.s.recordWait(r)
		h.s.admit(r)
	default:
		h.s.refuse(r)
	}
}

// send sends a permit request to a home. The home handles it after the one-way delay, and
// the entry receives the response after the same delay again. If the home is unreachable
// the request times out.
func (h *homes) send(r *request, to share.Home, req share.AcquireRequest) {
	home := indexOf(to.Name)
	delay := oneWayDelay(r.entry, home)
	openDelay := h.call(r, home)
	if h.partitioned(r.entry, home) {
		h.s.after(share.AcquireTimeout, func() { h.timedOut(r, to, req) })
		return
	}
	h.s.after(openDelay+delay, func() {
		response, incarnation := h.ledgers[home].Acquire(h.s.now, req), h.incarnations[home]
		if response.Granted {
			r.countedBy = append(r.countedBy, home)
		}
		h.s.after(delay, func() {
			h.clients[r.entry].ObserveIncarnation(to.Name, incarnation)
			if response.Granted {
				r.held.Home, r.held.Incarnation = to.Name, incarnation
			}
			if !req.Running {
				h.step(r, r.search.Responded(h.s.now, response))
			}
		})
	})
}

// timedOut records at an entry that a home did not respond.
func (h *homes) timedOut(r *request, to share.Home, req share.AcquireRequest) {
	if req.Running {
		h.clients[r.entry].HomeFailed(h.s.now, h.byRegion[r.entry%regions], to)
		return
	}
	h.step(r, r.search.Failed(h.s.now))
}

func (h *homes) ended(r *request) {
	h.clients[r.entry].RequestEnded(nameOf(r.workspace), r.local)
	h.running = slices.DeleteFunc(h.running, func(other *request) bool { return other == r })
	for _, home := range r.countedBy {
		h.call(r, home)
		if h.partitioned(r.entry, home) {
			continue
		}
		h.s.after(oneWayDelay(r.entry, home), func() {
			h.ledgers[home].Release(h.s.now, r.held.Workspace, r.held.Part, r.held.Permit)
		})
	}
}

// tick requests that the right homes count the running requests.
func (h *homes) tick() {
	for _, r := range h.running {
		home, req, needed := h.clients[r.entry].Reassign(h.s.now, h.byRegion[r.entry%regions], r.held)
		if needed {
			h.send(r, home, req)
		}
	}
}

// partitioned reports whether two entries cannot reach each other now.
func (h *homes) partitioned(a, b int) bool {
	elapsed := h.s.now.Sub(h.s.start)
	isolated := regions - 1
	return h.s.c.Partition && elapsed >= faultStart && elapsed < faultEnd && (a%regions == isolated) != (b%regions == isolated)
}

// call counts one call at the entry and the home, unless they are the same, and returns
// the time that opening a connection for it takes.
func (h *homes) call(r *request, home int) time.Duration {
	h.s.calls[r.workspace]++
	if home == r.entry {
		return 0
	}
	h.s.count(r.entry, 1, CallBytes)
	h.s.countServed(home, CallBytes)
	key := link{r.entry, home}
	last, known := h.lastUsed[key]
	h.lastUsed[key] = h.s.now
	if known && h.s.now.Sub(last) < idleTimeout {
		return 0
	}
	h.s.count(r.entry, 0, handshakeBytes)
	h.s.countServed(home, handshakeBytes)
	return handshakeRoundTrips * 2 * oneWayDelay(r.entry, home)
}

// oneWayDelay returns the network delay between two entries. Entries are assigned to
// regions round-robin.
func oneWayDelay(a, b int) time.Duration {
	if a%regions == b%regions {
		return delayInRegion
	}
	return delayBetweenRegions
}

// nameOf returns the name of the entry, region or workspace with an index; indexOf is its
// inverse.
func nameOf(i int) string { return strconv.Itoa(i) }

func indexOf(name string) int {
	i, err := strconv.Atoi(name)
	if err != nil {
		panic(err) // not a name returned by nameOf
	}
	return i
}
