package quarantine

import (
	"maps"
	"slices"
	"time"
)

// batchDelay is how long the write of a change may wait that no other gateway depends on: changes
// that follow within it are written together.
const batchDelay = 2 * time.Second

// notDue is the due time of a record that need not be written.
const notDue = -1

// Reset replaces the records of all gateways by the given ones.
func (b *Book) Reset(records map[string]Record, now time.Duration) {
	own, found := records[b.self]
	var affected []Record
	for gateway := range b.records {
		if _, present := records[gateway]; !present {
			affected = append(affected, b.swapRecord(gateway, Record{}))
			delete(b.records, gateway)
		}
	}
	for _, gateway := range slices.Sorted(maps.Keys(records)) {
		if gateway != b.self {
			affected = append(affected, b.swapRecord(gateway, records[gateway]))
		}
	}
	for _, record := range affected {
		b.reevaluateRecord(record, now)
	}
	if found {
		b.Take(b.self, own, now)
		return
	}
	b.adopted = true
	if len(b.own.Crashes)+len(b.own.Cleared)+len(b.own.Proven) > 0 {
		b.scheduleWrite(now)
	}
}

// Take replaces the record of a gateway. The first record of this gateway itself was written by its
// earlier incarnation and is adopted, so that the crashes it saw survive a restart; later ones are
// its own writes and are ignored.
func (b *Book) Take(gateway string, record Record, now time.Duration) {
	if gateway != b.self {
		b.replaceRecord(gateway, record, now)
		return
	}
	if !b.adopted {
		b.Adopt(record, now)
	}
}

// Adopt merges a record of this gateway that this incarnation did not write into the own one, and
// schedules a write if the two differ.
func (b *Book) Adopt(record Record, now time.Duration) {
	b.adopted = true
	for _, crash := range record.Crashes {
		b.dropSuspicion(crash)
		if !slices.Contains(b.own.Crashes, crash) {
			b.own.Crashes = append(b.own.Crashes, crash)
			b.merged.countReport(crash, 1)
		}
	}
	for _, crash := range record.Cleared {
		if !slices.Contains(b.own.Cleared, crash) {
			b.own.Cleared = append(b.own.Cleared, crash)
			b.merged.countCleared(crash, 1)
		}
	}
	for _, request := range record.Proven {
		b.completed.add(request)
	}
	b.reevaluateRecord(record, now)
	if !slices.Equal(b.own.Crashes, record.Crashes) || !slices.Equal(b.own.Cleared, record.Cleared) || !slices.Equal(b.own.Proven, record.Proven) {
		b.scheduleWrite(now)
	}
}

// Remove drops the record of a gateway. This gateway's own record is only removed by an operator,
// and is dropped too.
func (b *Book) Remove(gateway string, now time.Duration) {
	if gateway == b.self {
		b.dropOwn(now)
		return
	}
	b.replaceRecord(gateway, Record{}, now)
	delete(b.records, gateway)
}

// dropOwn drops the own record.
func (b *Book) dropOwn(now time.Duration) {
	own := b.own
	b.own = Record{}
	for _, crash := range own.Crashes {
		b.merged.countReport(crash, -1)
	}
	for _, crash := range own.Cleared {
		b.merged.countCleared(crash, -1)
	}
	b.reevaluateRecord(own, now)
}

// Expire drops the crashes that have expired.
func (b *Book) Expire(now time.Duration) {
	b.reevaluate(now, slices.Collect(maps.Keys(b.merged.entries))...)
}

// Due returns when the own record must be written, and false if it need not be: nothing has
// changed, or the record of an earlier incarnation, which the write would overwrite, is not known
// yet.
func (b *Book) Due() (time.Duration, bool) { return b.due, b.adopted && b.due != notDue }

// Own returns the record to be written and marks it as written. Later changes make it due again.
func (b *Book) Own() Record {
	b.due = notDue
	return Record{Crashes: slices.Clone(b.own.Crashes), Cleared: slices.Clone(b.own.Cleared), Proven: slices.Clone(b.own.Proven)}
}

// Unwritten records that the write of the own record failed and is to be retried at a time.
func (b *Book) Unwritten(retryAt time.Duration) { b.scheduleWrite(retryAt) }

// scheduleWrite makes the own record due at a time, unless it is due sooner.
func (b *Book) scheduleWrite(at time.Duration) {
	if b.due == notDue || at < b.due {
		b.due = at
	}
}
