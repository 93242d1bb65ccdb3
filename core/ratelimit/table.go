package ratelimit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// unlistedTTL is how long the entry of an upstream is kept that discovery does not list: a store in
	// trouble that drops an upstream lists it again within seconds.
	unlistedTTL = time.Minute
	// noticeDelay bounds the time that a coordinator's notice is on the way. A notice that arrives sooner after
	// a response may have been sent before the coordinator knew of the response.
	noticeDelay = time.Second
)

// Table holds the limits that one gateway knows. It is not safe for concurrent use.
type Table struct {
	entries map[Upstream]*tableEntry
	// changes counts the changes of all entries.
	changes uint64
}

// tableEntry is a known limit.
type tableEntry struct {
	perSecond float64
	// change is the number of the entry's last change.
	change uint64
	// coordinator and version are those of the newest notice, empty and 0 if there was none.
	coordinator string
	version     uint64
	// observedAt is when a response last changed the entry, confirmedAt when anything last named it.
	observedAt, confirmedAt time.Duration
}

// Stamp says what a gateway knew of an upstream's limit when it sent a request.
type Stamp struct {
	change uint64
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{entries: make(map[Upstream]*tableEntry)} }

// Empty reports whether no limit is known.
func (t *Table) Empty() bool { return len(t.entries) == 0 }

// Limit returns the limit of an upstream, and false if there is none.
func (t *Table) Limit(upstream Upstream) (perSecond float64, limited bool) {
	e := t.entries[upstream]
	if e == nil {
		return 0, false
	}
	return e.perSecond, true
}

// Stamp returns the Stamp of a request that is sent now.
func (t *Table) Stamp(upstream Upstream) Stamp {
	if e := t.entries[upstream]; e != nil {
		return Stamp{change: e.change}
	}
	return Stamp{}
}

// Entry returns what is known of an upstream, as it is told to a coordinator. Versions of another
// coordinator say nothing to it.
func (t *Table) Entry(upstream Upstream, coordinator string) Entry {
	e := t.entries[upstream]
	if e == nil {
		return Entry{Upstream: upstream}
	}
	return Entry{Upstream: upstream, Named: Named{Limited: true, PerSecond: e.perSecond}, Version: e.versionOf(coordinator)}
}

// versionOf returns the version of the entry at a coordinator, 0 if the entry is not from there.
func (e *tableEntry) versionOf(coordinator string) uint64 {
	if e.coordinator != coordinator {
		return 0
	}
	return e.version
}

// Observation is a change of a limit that a response has shown.
type Observation struct {
	Upstream Upstream
	Named    Named
	// Coordinator and Version are those of the entry when the request was sent, empty and 0 if no
	// coordinator had reported it.
	Coordinator string
	Version     uint64
}

// EntryFor returns the observation as it is told to a coordinator.
func (o Observation) EntryFor(coordinator string) Entry {
	entry := Entry{Upstream: o.Upstream, Named: o.Named}
	if o.Coordinator == coordinator {
		entry.Version = o.Version
	}
	return entry
}

// Responded records what a response says of its upstream's limit. It returns true and the observation
// if the known limit has changed. The stamp is that of the response's request.
func (t *Table) Responded(now time.Duration, upstream Upstream, stamp Stamp, named Named) (Observation, bool) {
	seen := Observation{Upstream: upstream, Named: named}
	e := t.entries[upstream]
	if e == nil {
		if named.Limited {
			t.set(now, upstream, &tableEntry{}, named.PerSecond)
		}
		return seen, named.Limited
	}
	newest := stamp.change == e.change
	if newest {
		seen.Coordinator, seen.Version = e.coordinator, e.version
	}
	if !named.Limited {
		if newest {
			delete(t.entries, upstream)
		}
		return seen, newest
	}
	e.confirmedAt = now
	if named.PerSecond == e.perSecond || named.PerSecond > e.perSecond && !newest {
		return seen, false
	}
	t.set(now, upstream, e, named.PerSecond)
	return seen, true
}

// set records a limit that a response has changed.
func (t *Table) set(now time.Duration, upstream Upstream, e *tableEntry, perSecond float64) {
	t.changes++
	e.perSecond, e.change = perSecond, t.changes
	e.observedAt, e.confirmedAt = now, now
	t.entries[upstream] = e
}

// Noticed records an entry of a coordinator's notice and reports whether the known limit has changed.
// A notice of a limit that has ended, or is higher, does not overrule a response that may be newer.
func (t *Table) Noticed(now time.Duration, coordinator string, noticed Entry) bool {
	e := t.entries[noticed.Upstream]
	if e == nil {
		return t.learn(now, coordinator, noticed)
	}
	if noticed.Version < e.versionOf(coordinator) {
		return false
	}
	mayBeOlder := now-e.observedAt < noticeDelay
	if !noticed.Named.Limited {
		if !mayBeOlder {
			delete(t.entries, noticed.Upstream)
		}
		return !mayBeOlder
	}
	e.confirmedAt = now
	if noticed.Version != e.versionOf(coordinator) {
		e.coordinator, e.version = coordinator, noticed.Version
		t.changes++
		e.change = t.changes // a response to a request that was sent before can't end this version
	}
	if noticed.Named.PerSecond == e.perSecond || mayBeOlder && noticed.Named.PerSecond > e.perSecond {
		return false
	}
	e.perSecond = noticed.Named.PerSecond
	return true
}

// learn records a noticed limit of which nothing was known, and reports whether there is one.
func (t *Table) learn(now time.Duration, coordinator string, noticed Entry) bool {
	if !noticed.Named.Limited {
		return false
	}
	t.changes++
	t.entries[noticed.Upstream] = &tableEntry{perSecond: noticed.Named.PerSecond, change: t.changes,
		coordinator: coordinator, version: noticed.Version, observedAt: now - noticeDelay, confirmedAt: now}
	return true
}

// Expire drops the entries of upstreams that are not listed and that nothing has confirmed for unlistedTTL.
func (t *Table) Expire(now time.Duration, listed func(Upstream) bool) {
	for upstream, e := range t.entries {
		if now-e.confirmedAt > unlistedTTL && !listed(upstream) {
			delete(t.entries, upstream)
		}
	}
}

// Upstreams returns the upstreams with a known limit, by ID and incarnation.
func (t *Table) Upstreams() []Upstream {
	list := make([]Upstream, 0, len(t.entries))
	for upstream := range t.entries {
		list = append(list, upstream)
	}
	slices.SortFunc(list, compareUpstreams)
	return list
}

// compareUpstreams orders upstreams by ID and incarnation.
func compareUpstreams(a, b Upstream) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}
