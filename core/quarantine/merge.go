package quarantine

import (
	"slices"
	"time"

	"acaciawinch/core/fingerprint"
)

// merged is what the records of all gateways say together. It is kept by differences: when a zone is
// lost each gateway writes and each takes the records of all, which must not cost the work of merging
// all each time.
type merged struct {
	entries map[Crash]*entry
	// suspects holds the crashes that count by their requests, ended by their upstreams.
	suspects map[fingerprint.Fingerprint][]Crash
	ended    map[string][]Crash
	// proven counts the other gateways that say of a request that it ran well.
	proven map[fingerprint.Fingerprint]int
}

// entry is what is known of one crash.
type entry struct {
	// told counts the other gateways that tell of it, mine whether this one does or suspects it,
	// cleared all that have cleared it.
	told, mine, cleared int
	// learned is when it became known here.
	learned time.Duration
	known   bool
	// counts is set while it is in suspects and ended.
	counts bool
}

// newMerged returns what no records say.
func newMerged() merged {
	return merged{
		entries:  make(map[Crash]*entry),
		suspects: make(map[fingerprint.Fingerprint][]Crash),
		ended:    make(map[string][]Crash),
		proven:   make(map[fingerprint.Fingerprint]int),
	}
}

// of returns the entry of a crash.
func (m *merged) of(crash Crash) *entry {
	one := m.entries[crash]
	if one == nil {
		one = &entry{}
		m.entries[crash] = one
	}
	return one
}

// tell counts this gateway's word of a crash up or down, clear that of any gateway that clears it.
// The crash must be settled afterwards.
func (m *merged) tell(crash Crash, by int)  { m.of(crash).mine += by }
func (m *merged) clear(crash Crash, by int) { m.of(crash).cleared += by }

// learnedAt returns when a crash became known here.
func (m *merged) learnedAt(crash Crash) time.Duration {
	if one := m.entries[crash]; one != nil {
		return one.learned
	}
	return 0
}

// record counts another gateway's record up or down. Its crashes must be settled afterwards.
func (m *merged) record(record Record, by int) {
	for _, crash := range record.Crashes {
		m.of(crash).told += by
	}
	for _, crash := range record.Cleared {
		m.of(crash).cleared += by
	}
	for _, request := range record.Proven {
		m.proven[request] += by
		if m.proven[request] == 0 {
			delete(m.proven, request)
		}
	}
}

// settle lets a crash count or not, by who tells of it and who has cleared it.
func (m *merged) settle(crash Crash, now time.Duration) {
	one := m.of(crash)
	reported := one.told+one.mine > 0
	if reported && !one.known {
		one.learned = now
	}
	one.known = reported
	counts := reported && one.cleared == 0 && now-one.learned < keepFor
	switch {
	case counts && !one.counts:
		m.suspects[crash.Request] = append(m.suspects[crash.Request], crash)
		m.ended[crash.Upstream] = append(m.ended[crash.Upstream], crash)
	case !counts && one.counts:
		unlist(m.suspects, crash.Request, crash)
		unlist(m.ended, crash.Upstream, crash)
	}
	one.counts = counts
	if !reported && one.cleared == 0 {
		delete(m.entries, crash)
	}
}

// unlist removes a crash from the list under a key.
func unlist[K comparable](lists map[K][]Crash, key K, crash Crash) {
	left := slices.DeleteFunc(lists[key], func(one Crash) bool { return one == crash })
	if len(left) == 0 {
		delete(lists, key)
		return
	}
	lists[key] = left
}

// replace takes the newest record of another gateway in place of the last one.
func (b *Book) replace(gateway string, record Record, now time.Duration) {
	b.settle(b.swap(gateway, record), now)
}

// swap counts a record of another gateway in place of the last one, and returns what both name,
// which must be settled.
func (b *Book) swap(gateway string, record Record) Record {
	last := b.records[gateway]
	b.records[gateway] = record
	b.merged.record(record, 1)
	b.merged.record(last, -1)
	return Record{
		Crashes: slices.Concat(record.Crashes, last.Crashes),
		Cleared: slices.Concat(record.Cleared, last.Cleared),
		Proven:  slices.Concat(record.Proven, last.Proven),
	}
}

// settle settles all that a record names.
func (b *Book) settle(named Record, now time.Duration) {
	b.changed(now, slices.Concat(named.Crashes, named.Cleared)...)
	for _, request := range named.Proven {
		b.prove(request, now)
	}
}

// changed settles crashes of which somebody's word has changed, and brings the own record up to date.
func (b *Book) changed(now time.Duration, crashes ...Crash) {
	for _, crash := range crashes {
		b.merged.settle(crash, now)
	}
	b.tidy(now)
	for _, crash := range crashes {
		b.prove(crash.Request, now)
	}
}

// prove tells the other gateways of a request that is about to be refused and ran well here, until it
// has no crashes that count.
func (b *Book) prove(request fingerprint.Fingerprint, now time.Duration) {
	crashes := len(b.merged.suspects[request])
	at := slices.Index(b.own.Proven, request)
	switch {
	case crashes == 0:
		delete(b.trials, request)
		if at >= 0 {
			b.own.Proven = slices.Delete(b.own.Proven, at, at+1)
			b.publish(now + tidyAfter)
		}
	case at < 0 && crashes >= crashLimit && b.ranWell.has(request) && b.merged.proven[request] == 0:
		b.own.Proven = append(b.own.Proven, request)
		b.publish(now)
	}
}

// tidy drops from the own record the crashes that were cleared or lapsed, and what was cleared
// of crashes that nobody tells of any more. The order keeps all gateways from counting a cleared
// crash: its gateway drops it first, and then who cleared it.
func (b *Book) tidy(now time.Duration) {
	before := len(b.own.Crashes) + len(b.own.Cleared)
	var dropped []Crash
	b.own.Crashes = slices.DeleteFunc(b.own.Crashes, func(crash Crash) bool {
		one := b.merged.of(crash)
		if one.cleared == 0 && now-one.learned < keepFor {
			return false
		}
		one.mine--
		dropped = append(dropped, crash)
		return true
	})
	b.own.Cleared = slices.DeleteFunc(b.own.Cleared, func(crash Crash) bool {
		one := b.merged.of(crash)
		if one.told > 0 {
			return false
		}
		one.cleared--
		dropped = append(dropped, crash)
		return true
	})
	for _, crash := range dropped {
		b.merged.settle(crash, now)
	}
	if len(b.own.Crashes)+len(b.own.Cleared) != before {
		b.publish(now + tidyAfter)
	}
}
