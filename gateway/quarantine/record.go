package quarantine

import (
	"context"
	"encoding/json"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/fingerprint"
	core "acaciawinch/core/quarantine"
	"acaciawinch/core/replica"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// RecordKind is the kind of the gateways' records of crashes, each under its gateway's name.
const RecordKind = "acaciawinch-crashes"

// Timing of the writer.
const (
	// writePause is between two writes of the record: crashes of several requests at one
	// upstream become known within it.
	writePause = 50 * time.Millisecond
	// failedPause is how long after a failed write it is tried again.
	failedPause = 500 * time.Millisecond
	// expireEvery is how often crashes that count no longer are dropped.
	expireEvery = time.Minute
)

// crashSpec is a crash as the store has it.
type crashSpec struct {
	Request  string `json:"request"`
	Upstream string `json:"upstream"`
}

// recordSpec is a record as the store has it.
type recordSpec struct {
	Crashes []crashSpec `json:"crashes"`
	Cleared []crashSpec `json:"cleared,omitempty"`
	// Proven are requests that ran well before.
	Proven []string `json:"proven,omitempty"`
}

// specsOf encodes crashes.
func specsOf(crashes []core.Crash) []crashSpec {
	list := make([]crashSpec, len(crashes))
	for i, crash := range crashes {
		list[i] = crashSpec{Request: crash.Request.String(), Upstream: crash.Upstream}
	}
	return list
}

// crashesOf decodes crashes.
func crashesOf(list []crashSpec) ([]core.Crash, error) {
	crashes := make([]core.Crash, len(list))
	for i, one := range list {
		request, err := fingerprint.Parse(one.Request)
		if err != nil {
			return nil, err
		}
		crashes[i] = core.Crash{Request: request, Upstream: one.Upstream}
	}
	return crashes, nil
}

// recordOf decodes the record in an object.
func recordOf(object replica.Object) (core.Record, error) {
	var spec recordSpec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		return core.Record{}, fault.Wrap(fault.Invalid, "quarantine.record", object.Name, err)
	}
	crashes, err := crashesOf(spec.Crashes)
	if err != nil {
		return core.Record{}, err
	}
	cleared, err := crashesOf(spec.Cleared)
	if err != nil {
		return core.Record{}, err
	}
	proven, err := requestsOf(spec.Proven)
	return core.Record{Crashes: crashes, Cleared: cleared, Proven: proven}, err
}

// requestsOf decodes fingerprints.
func requestsOf(list []string) ([]fingerprint.Fingerprint, error) {
	requests := make([]fingerprint.Fingerprint, len(list))
	for i, text := range list {
		request, err := fingerprint.Parse(text)
		if err != nil {
			return nil, err
		}
		requests[i] = request
	}
	return requests, nil
}

// specOf encodes a record.
func specOf(record core.Record) recordSpec {
	spec := recordSpec{Crashes: specsOf(record.Crashes), Cleared: specsOf(record.Cleared)}
	for _, request := range record.Proven {
		spec.Proven = append(spec.Proven, request.String())
	}
	return spec
}

// Reset takes the records of all gateways.
func (g *Guard) Reset(objects []replica.Object) {
	g.mu.Lock()
	defer g.mu.Unlock()
	records := make(map[string]core.Record, len(objects))
	before := g.revision
	g.revision = 0
	foreign := false
	for _, object := range objects {
		foreign = foreign || object.Name == g.options.Name && g.isForeign(object, before)
		if record, known := g.read(object); known {
			records[object.Name] = record
		}
	}
	now := clock.Boot()
	g.book.Reset(records, now)
	if own, known := records[g.options.Name]; known && foreign {
		g.book.Adopt(own, now)
	}
	g.wakeWriter()
}

// isForeign tells whether the own record was written by an earlier start, whose write was carried out
// late: no write of this process has brought its revision. While one is under way the store's
// refusal of that tells. The lock is held.
func (g *Guard) isForeign(own replica.Object, known int64) bool {
	return !g.writing && own.Revision > known
}

// Apply takes changes of records.
func (g *Guard) Apply(changes []replica.Change) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, change := range changes {
		if change.Deleted {
			g.remove(change.Object.Name)
			continue
		}
		g.take(change.Object)
	}
	g.wakeWriter()
}

// take takes one record. An own one that this process has not written is merged. The lock is held.
func (g *Guard) take(object replica.Object) {
	foreign := object.Name == g.options.Name && g.isForeign(object, g.revision)
	record, known := g.read(object)
	switch {
	case !known:
	case foreign:
		g.book.Adopt(record, clock.Boot())
	default:
		g.book.Take(object.Name, record, clock.Boot())
	}
}

// remove drops a record that an operator has removed. The lock is held.
func (g *Guard) remove(name string) {
	if name == g.options.Name {
		g.revision = 0
	}
	g.book.Remove(name, clock.Boot())
	g.options.Logger.Event(event.CrashesLearned, observe.Fields{"gateway": name, "revision": 0, "crashes": 0, "cleared": 0})
}

// read decodes a record and logs it. One that can't be read leaves what was known. The lock is held.
func (g *Guard) read(object replica.Object) (core.Record, bool) {
	own := object.Name == g.options.Name
	if own {
		g.revision = max(g.revision, object.Revision)
	}
	record, err := recordOf(object)
	if err != nil {
		g.options.Logger.Warn(event.RecordUnreadable, observe.Fields{"gateway": object.Name, "revision": object.Revision, "error": err.Error()})
		return core.Record{}, false
	}
	if !own {
		g.options.Logger.Event(event.CrashesLearned, observe.Fields{"gateway": object.Name, "revision": object.Revision,
			"crashes": len(record.Crashes), "cleared": len(record.Cleared)})
	}
	return record, true
}

// Run writes the own record whenever that is due, until ctx ends.
func (g *Guard) Run(ctx context.Context) error {
	expire := time.NewTicker(expireEvery)
	defer expire.Stop()
	for ctx.Err() == nil {
		if g.wait(ctx, expire.C) {
			g.write(ctx)
			clock.Sleep(ctx, writePause)
		}
	}
	return nil
}

// wait waits until something may be due, and tells whether the record is.
func (g *Guard) wait(ctx context.Context, expire <-chan time.Time) bool {
	g.mu.Lock()
	due, must := g.book.Due()
	g.mu.Unlock()
	var timer <-chan time.Time
	if left := due - clock.Boot(); must && left <= 0 {
		return true
	} else if must {
		timer = time.After(left)
	}
	select {
	case <-ctx.Done():
	case <-timer:
	case <-g.wake:
	case <-expire:
		g.mu.Lock()
		g.book.Expire(clock.Boot())
		g.mu.Unlock()
	}
	return false
}

// write writes the own record. What fails is tried again.
func (g *Guard) write(ctx context.Context) {
	g.mu.Lock()
	record, revision := g.book.Own(), g.revision
	g.writing = true
	g.mu.Unlock()
	spec := specOf(record)
	var kept replica.Object
	var err error
	if revision == 0 {
		kept, err = g.options.Store().Create(ctx, RecordKind, g.options.Name, spec)
	} else {
		kept, err = g.options.Store().Replace(ctx, RecordKind, g.options.Name, revision, spec)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writing = false
	if err == nil {
		g.revision = max(g.revision, kept.Revision)
		g.options.Logger.Event(event.CrashesWritten, observe.Fields{"revision": kept.Revision, "crashes": len(record.Crashes), "cleared": len(record.Cleared)})
		return
	}
	g.unwritten(kept, err)
}

// unwritten takes in why the record could not be written. The lock is held.
func (g *Guard) unwritten(kept replica.Object, err error) {
	g.options.Logger.Warn(event.RecordUnwritten, observe.Fields{"object": g.options.Name, "error": err.Error()})
	now := clock.Boot()
	switch {
	case fault.Is(err, fault.NotFound):
		g.revision = 0
		g.book.Unwritten(now)
	case fault.Is(err, fault.Conflict) && kept.Revision > 0:
		// A write of an earlier start, or one of which the answer was lost.
		if record, known := g.read(kept); known {
			g.book.Adopt(record, now)
		}
		g.book.Unwritten(now)
	default:
		g.book.Unwritten(now + failedPause)
	}
}
