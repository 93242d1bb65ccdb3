package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"acaciawinch/core"
)

// Constants of what a Table remembers.
const (
	// loadLife is how long a remembered load says anything about occupancy.
	loadLife = 10 * time.Second
	// refusalLife is how long a reported drain or stall keeps an upstream out
	// without asking again.
	refusalLife = 2 * time.Second
	// keptChoices bounds the remembered choices of one upstream.
	keptChoices = 64
)

// Table is what one entry has learnt about the upstreams. It is not safe for
// concurrent use.
type Table struct {
	known map[core.UpstreamID]*knowledge
	paths map[string]path
}

// knowledge is what is known of one upstream.
type knowledge struct {
	addr string
	// answer is the last answer, Answered unset before the first; its load may
	// be newer than the answer if one came with another message.
	answer Answer
	loadAt time.Time
	// uses counts the choices that rested on answer.
	uses      int
	inFlight  int
	choices   []time.Time
	progress  progress
	suspicion Suspicion
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{
		known: make(map[core.UpstreamID]*knowledge),
		paths: make(map[string]path),
	}
}

// Keep forgets the upstreams that picker does not have, and whatever was known
// of one whose address changed: it is another process on another host.
func (t *Table) Keep(picker *Picker) {
	for id, k := range t.known {
		upstream, ok := picker.Upstream(id)
		if !ok || (k.addr != "" && k.addr != upstream.Addr) {
			delete(t.known, id)
		}
	}
}

// Answered stores the answer to a probe. It returns true if that ended a suspicion.
func (t *Table) Answered(answer Answer, now time.Time) bool {
	k := t.of(answer.Upstream.ID)
	k.addr = answer.Upstream.Addr
	k.answer = answer
	k.uses = 0
	t.loaded(k, answer.Load, now)
	t.observeRTT(answer.Upstream.Zone, answer.RTT)
	suspected := k.suspicion.Active
	k.suspicion = k.suspicion.answered(now)
	return suspected && !k.suspicion.Active
}

// Loaded stores a load that came with another message of a side.
func (t *Table) Loaded(id core.UpstreamID, load Load, now time.Time) {
	t.loaded(t.of(id), load, now)
}

// loaded stores a load.
func (t *Table) loaded(k *knowledge, load Load, now time.Time) {
	k.answer.Load = load
	k.loadAt = now
	k.progress.observe(load, now)
}

// Chosen records that an attempt is on its way to an upstream.
func (t *Table) Chosen(id core.UpstreamID, now time.Time) {
	k := t.of(id)
	k.inFlight++
	k.uses++
	if len(k.choices) == keptChoices {
		k.choices = slices.Delete(k.choices, 0, 1)
	}
	k.choices = append(k.choices, now)
}

// Ended records that an attempt chosen before is over. Finished work takes back
// every suspicion.
func (t *Table) Ended(id core.UpstreamID, finished bool) {
	k := t.of(id)
	k.inFlight = max(0, k.inFlight-1)
	if finished {
		k.suspicion = Suspicion{}
	}
}

// Silent records that an upstream did not answer. It returns the suspicion, and
// whether this silence added a strike: one within a running suspicion is the
// same silence seen twice.
func (t *Table) Silent(id core.UpstreamID, cause Cause, now time.Time, random *rand.Rand) (Suspicion, bool) {
	k := t.of(id)
	if k.suspicion.Active && now.Before(k.suspicion.Until) {
		return k.suspicion, false
	}
	k.suspicion = k.suspicion.strike(cause, now, random)
	return k.suspicion, true
}

// Due returns at most n suspected upstreams whose time to be probed has come,
// the longest due first.
func (t *Table) Due(now time.Time, n int) []core.UpstreamID {
	var due []core.UpstreamID
	for id, k := range t.known {
		if k.suspicion.Active && !now.Before(k.suspicion.Until) {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b core.UpstreamID) int {
		return cmp.Or(t.known[a].suspicion.Until.Compare(t.known[b].suspicion.Until), cmp.Compare(a, b))
	})
	return due[:min(n, len(due))]
}

// Suspected tells whether an upstream is suspected.
func (t *Table) Suspected(id core.UpstreamID) bool {
	k, ok := t.known[id]
	return ok && k.suspicion.Active
}

// SuspectedCount returns how many upstreams are suspected.
func (t *Table) SuspectedCount() int {
	count := 0
	for _, k := range t.known {
		if k.suspicion.Active {
			count++
		}
	}
	return count
}

// Remembered returns the last answer of an upstream if it is at most age old
// and at most uses choices have rested on it.
func (t *Table) Remembered(id core.UpstreamID, now time.Time, age time.Duration, uses int) (Answer, bool) {
	k, ok := t.known[id]
	if !ok || !k.answer.Answered || k.uses >= uses || now.Sub(k.answer.SentAt) > age {
		return Answer{}, false
	}
	remembered := k.answer
	remembered.Asked = false // it was asked for another request
	return remembered, true
}

// InFlight returns how many attempts of this entry an upstream holds.
func (t *Table) InFlight(id core.UpstreamID) int {
	if k, ok := t.known[id]; ok {
		return k.inFlight
	}
	return 0
}

// since counts the choices of an upstream at or after a time.
func (t *Table) since(id core.UpstreamID, at time.Time) int {
	k, ok := t.known[id]
	if !ok {
		return 0
	}
	count := 0
	for _, chosen := range k.choices {
		if !chosen.Before(at) {
			count++
		}
	}
	return count
}

// refusing tells whether an upstream lately said that it takes no work.
func (t *Table) refusing(id core.UpstreamID, now time.Time) bool {
	k, ok := t.known[id]
	if !ok || now.Sub(k.loadAt) > refusalLife {
		return false
	}
	return k.answer.Load.Draining || k.answer.Load.Stalled
}

// work returns the attempts that an upstream holds as far as is lately known,
// its capacity, and whether they are known.
func (t *Table) work(id core.UpstreamID, now time.Time) (held, capacity int, ok bool) {
	k, found := t.known[id]
	if !found || k.loadAt.IsZero() || now.Sub(k.loadAt) > loadLife {
		return 0, 0, false
	}
	load := k.answer.Load
	return load.Queued + load.InFlight + t.since(id, k.loadAt), load.Capacity, true
}

// progressOf returns what is known of an upstream's recent ends.
func (t *Table) progressOf(id core.UpstreamID) *progress {
	if k, ok := t.known[id]; ok {
		return &k.progress
	}
	return &progress{}
}

// of returns the knowledge of an upstream, made if need be.
func (t *Table) of(id core.UpstreamID) *knowledge {
	k, ok := t.known[id]
	if !ok {
		k = &knowledge{}
		t.known[id] = k
	}
	return k
}
