package quarantine

import (
	"maps"
	"slices"
	"time"
)

// tidyAfter is how long a change of the own record that nobody waits for may take: it is written
// with others that come meanwhile.
const tidyAfter = 2 * time.Second

// never is when a record is due that need not be written.
const never = -1

// Reset replaces the records of all gateways: these are all there are.
func (b *Book) Reset(records map[string]Record, now time.Duration) {
	own, written := records[b.self]
	var named []Record
	for gateway := range b.records {
		if _, there := records[gateway]; !there {
			named = append(named, b.swap(gateway, Record{}))
			delete(b.records, gateway)
		}
	}
	for _, gateway := range slices.Sorted(maps.Keys(records)) {
		if gateway != b.self {
			named = append(named, b.swap(gateway, records[gateway]))
		}
	}
	for _, record := range named {
		b.settle(record, now)
	}
	if written {
		b.Take(b.self, own, now)
		return
	}
	b.adopted = true
	if len(b.own.Crashes)+len(b.own.Cleared)+len(b.own.Proven) > 0 {
		b.publish(now)
	}
}

// Take replaces the record of a gateway. The first one of this gateway itself is that of its
// earlier start and is taken over, so that what it saw outlives it; later ones are its own words.
func (b *Book) Take(gateway string, record Record, now time.Duration) {
	if gateway != b.self {
		b.replace(gateway, record, now)
		return
	}
	if !b.adopted {
		b.Adopt(record, now)
	}
}

// Adopt takes over a record of this gateway that it has not written, and writes anew what it
// does not hold.
func (b *Book) Adopt(record Record, now time.Duration) {
	b.adopted = true
	for _, crash := range record.Crashes {
		b.trust(crash)
		if !slices.Contains(b.own.Crashes, crash) {
			b.own.Crashes = append(b.own.Crashes, crash)
			b.merged.tell(crash, 1)
		}
	}
	for _, crash := range record.Cleared {
		if !slices.Contains(b.own.Cleared, crash) {
			b.own.Cleared = append(b.own.Cleared, crash)
			b.merged.clear(crash, 1)
		}
	}
	for _, request := range record.Proven {
		b.ranWell.add(request)
	}
	b.settle(record, now)
	if !slices.Equal(b.own.Crashes, record.Crashes) || !slices.Equal(b.own.Cleared, record.Cleared) || !slices.Equal(b.own.Proven, record.Proven) {
		b.publish(now)
	}
}

// Remove drops the record of a gateway. An own one that an operator has removed is forgotten.
func (b *Book) Remove(gateway string, now time.Duration) {
	if gateway == b.self {
		b.forgetOwn(now)
		return
	}
	b.replace(gateway, Record{}, now)
	delete(b.records, gateway)
}

// forgetOwn drops the own record.
func (b *Book) forgetOwn(now time.Duration) {
	own := b.own
	b.own = Record{}
	for _, crash := range own.Crashes {
		b.merged.tell(crash, -1)
	}
	for _, crash := range own.Cleared {
		b.merged.clear(crash, -1)
	}
	b.settle(own, now)
}

// Expire drops what counts no longer.
func (b *Book) Expire(now time.Duration) {
	b.changed(now, slices.Collect(maps.Keys(b.merged.entries))...)
}

// Due returns when the own record must be written, and false if it need not: nothing has
// changed, or the record of an earlier start, which would be lost, is not known yet.
func (b *Book) Due() (time.Duration, bool) { return b.due, b.adopted && b.due != never }

// Own returns the record to be written. What changes from now on makes it due again.
func (b *Book) Own() Record {
	b.due = never
	return Record{Crashes: slices.Clone(b.own.Crashes), Cleared: slices.Clone(b.own.Cleared), Proven: slices.Clone(b.own.Proven)}
}

// Unwritten records that the own record could not be written, and when to try again.
func (b *Book) Unwritten(again time.Duration) { b.publish(again) }

// publish makes the own record due at a time, unless it is due sooner.
func (b *Book) publish(at time.Duration) {
	if b.due == never || at < b.due {
		b.due = at
	}
}
