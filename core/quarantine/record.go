package quarantine

import (
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
	b.records = make(map[string]Record, len(records))
	for gateway, record := range records {
		if gateway != b.self {
			b.records[gateway] = record
		}
	}
	b.merge(now)
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
		b.records[gateway] = record
		b.merge(now)
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
		if !slices.Contains(b.own.Crashes, crash) {
			b.own.Crashes = append(b.own.Crashes, crash)
		}
	}
	for _, crash := range record.Cleared {
		if !slices.Contains(b.own.Cleared, crash) {
			b.own.Cleared = append(b.own.Cleared, crash)
		}
	}
	for _, request := range record.Proven {
		b.ranWell.add(request)
	}
	b.merge(now)
	if !slices.Equal(b.own.Crashes, record.Crashes) || !slices.Equal(b.own.Cleared, record.Cleared) || !slices.Equal(b.own.Proven, record.Proven) {
		b.publish(now)
	}
}

// Remove drops the record of a gateway. An own one that an operator has removed is forgotten.
func (b *Book) Remove(gateway string, now time.Duration) {
	if gateway == b.self {
		b.own = Record{}
	}
	delete(b.records, gateway)
	b.merge(now)
}

// Expire drops what counts no longer.
func (b *Book) Expire(now time.Duration) { b.merge(now) }

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

// tidy drops from the own record the crashes that were cleared or lapsed, and what was cleared
// of crashes that nobody tells of any more. The order keeps all gateways from counting a cleared
// crash: its gateway drops it first, and then who cleared it.
func (b *Book) tidy(cleared map[Crash]bool, now time.Duration) {
	before := len(b.own.Crashes) + len(b.own.Cleared)
	b.own.Crashes = slices.DeleteFunc(b.own.Crashes, func(crash Crash) bool {
		return cleared[crash] || now-b.learned[crash] >= keepFor
	})
	told := make(map[Crash]bool)
	for _, record := range b.records {
		for _, crash := range record.Crashes {
			told[crash] = true
		}
	}
	b.own.Cleared = slices.DeleteFunc(b.own.Cleared, func(crash Crash) bool { return !told[crash] })
	if len(b.own.Crashes)+len(b.own.Cleared) != before {
		b.publish(now + tidyAfter)
	}
}
