package quarantine

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"acaciawinch/core/fault"
	"acaciawinch/core/fingerprint"
	core "acaciawinch/core/quarantine"
	"acaciawinch/core/replica"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// RecordKind is the kind of the gateways' crash records, each stored under the name of its
// gateway.
const RecordKind = "acaciawinch-crashes"

// Timing of Run.
const (
	// writeInterval is the least time between two writes of the record: crashes of several requests
	// at one upstream become known within it.
	writeInterval = 50 * time.Millisecond
	// writeRetryDelay is the delay before a failed write is retried.
	writeRetryDelay = 500 * time.Millisecond
	// expireInterval is how often crashes that no longer count are dropped.
	expireInterval = time.Minute
)

// crashSpec is the stored form of a crash.
type crashSpec struct {
	Request  string `json:"request"`
	Upstream string `json:"upstream"`
}

// recordSpec is the stored form of a record.
type recordSpec struct {
	Crashes []crashSpec `json:"crashes"`
	Cleared []crashSpec `json:"cleared,omitempty"`
	// Proven are requests that have run to their end before.
	Proven []string `json:"proven,omitempty"`
	// TrialCrashes are those of Crashes that happened in a trial of their request.
	TrialCrashes []crashSpec `json:"trial_crashes,omitempty"`
	// Evidence is what else the gateway knows of parts with crashes.
	Evidence []evidenceSpec `json:"evidence,omitempty"`
	// Era is the store's era that the gateway knew when it wrote the record.
	Era int64 `json:"era,omitempty"`
}

// evidenceSpec is the stored form of core.Evidence.
type evidenceSpec struct {
	Part    string `json:"part"`
	Before  int    `json:"before,omitempty"`
	Since   int    `json:"since,omitempty"`
	Trials  int    `json:"trials,omitempty"`
	Bursts  int    `json:"bursts,omitempty"`
	Moments int    `json:"moments,omitempty"`
}

// evidenceOf decodes evidence.
func evidenceOf(list []evidenceSpec) ([]core.Evidence, error) {
	var evidence []core.Evidence
	for _, spec := range list {
		part, err := fingerprint.Parse(spec.Part)
		if err != nil {
			return nil, err
		}
		evidence = append(evidence, core.Evidence{Part: part, Before: spec.Before, Since: spec.Since, Trials: spec.Trials, Bursts: spec.Bursts})
	}
	return evidence, nil
}

// specsOf encodes crashes.
func specsOf(crashes []core.Crash) []crashSpec {
	list := make([]crashSpec, len(crashes))
	for i, crash := range crashes {
		list[i] = crashSpec{Request: crash.Suspect.String(), Upstream: crash.Upstream}
	}
	return list
}

// crashesOf decodes crashes.
func crashesOf(list []crashSpec) ([]core.Crash, error) {
	crashes := make([]core.Crash, len(list))
	for i, spec := range list {
		request, err := fingerprint.Parse(spec.Request)
		if err != nil {
			return nil, err
		}
		crashes[i] = core.Crash{Suspect: request, Upstream: spec.Upstream}
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
	var trialCrashes []core.Crash
	if len(spec.TrialCrashes) > 0 {
		if trialCrashes, err = crashesOf(spec.TrialCrashes); err != nil {
			return core.Record{}, err
		}
	}
	evidence, err := evidenceOf(spec.Evidence)
	if err != nil {
		return core.Record{}, err
	}
	proven, err := requestsOf(spec.Proven)
	return core.Record{Crashes: crashes, Cleared: cleared, Proven: proven, TrialCrashes: trialCrashes, Evidence: evidence, Era: spec.Era}, err
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

// textsOf encodes fingerprints.
func textsOf(list []fingerprint.Fingerprint) []string {
	var texts []string
	for _, f := range list {
		texts = append(texts, f.String())
	}
	return texts
}

// specOf encodes a record.
func specOf(record core.Record) recordSpec {
	spec := recordSpec{Crashes: specsOf(record.Crashes), Cleared: specsOf(record.Cleared), TrialCrashes: specsOf(record.TrialCrashes), Era: record.Era}
	spec.Proven = textsOf(record.Proven)
	for _, e := range record.Evidence {
		spec.Evidence = append(spec.Evidence, evidenceSpec{Part: e.Part.String(), Before: e.Before, Since: e.Since, Trials: e.Trials, Bursts: e.Bursts})
	}
	return spec
}

// rewriteInterval is the average time between the writes of gateways that write their records again
// after the store has returned from an older copy: half of the least rate of writes that the known
// sites allow.
const rewriteInterval = 5 * time.Millisecond

// EraChanged is called before the first Reset after the store has returned from an older copy.
func (g *Guard) EraChanged(era int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revision = 0
	delay := rand.N(time.Duration(1+g.state.Records()) * rewriteInterval)
	g.state.EraChanged(era, delay)
	g.options.Logger.Event(event.RecordOutdated, observe.Fields{"era": era, "kept": g.state.Records(), "delay_ms": delay.Milliseconds()})
}

// Reset replaces the records of all gateways.
func (g *Guard) Reset(objects []replica.Object) {
	g.mu.Lock()
	defer g.mu.Unlock()
	records := make(map[string]core.Record, len(objects))
	before := g.revision
	g.revision = 0
	foreign := false
	for _, object := range objects {
		record, known := g.decodeRecord(object)
		if !known {
			continue
		}
		records[object.Name] = record
		foreign = foreign || object.Name == g.options.Name && g.isForeign(object, before) && !g.state.IsRestored(record)
	}
	now := clock.Boot()
	if era := g.options.Era(); era > 0 && !g.listed {
		g.StoreReturned(era) // it may have returned just before this process started
	}
	g.listed = true
	g.state.Reset(records, now)
	if own, known := records[g.options.Name]; known && foreign {
		g.state.Adopt(own, now)
	}
	g.partsChanged()
	g.wakeWriter()
}

// isForeign reports whether this gateway's record was written by an earlier incarnation, whose
// write took effect late: no write of this process has returned its revision. While a write is
// in flight this is not known here; the store then rejects that write with a conflict. g.mu must be
// held.
func (g *Guard) isForeign(own replica.Object, known int64) bool {
	return !g.writing && own.Revision > known
}

// Apply applies changes of records.
func (g *Guard) Apply(changes []replica.Change) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, change := range changes {
		if change.Deleted {
			g.removeRecord(change.Object.Name)
			continue
		}
		g.applyRecord(change.Object)
	}
	g.partsChanged()
	g.wakeWriter()
}

// applyRecord applies one record. A record of this gateway that this process has not written is
// merged. g.mu must be held.
func (g *Guard) applyRecord(object replica.Object) {
	foreign := object.Name == g.options.Name && g.isForeign(object, g.revision)
	record, known := g.decodeRecord(object)
	switch {
	case !known:
	case foreign:
		g.state.Adopt(record, clock.Boot())
	default:
		g.state.ReplaceRecord(object.Name, record, clock.Boot())
	}
}

// removeRecord drops a record that an operator has removed. g.mu must be held.
func (g *Guard) removeRecord(name string) {
	if name == g.options.Name {
		g.revision = 0
	}
	g.state.Remove(name, clock.Boot())
	g.options.Logger.Event(event.CrashesLearned, observe.Fields{"gateway": name, "revision": 0, "crashes": 0, "cleared": 0})
}

// decodeRecord decodes a record and logs it. If it returns false, the record is unreadable and
// the caller keeps the last known one. g.mu must be held.
func (g *Guard) decodeRecord(object replica.Object) (core.Record, bool) {
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

// Run writes the record of this gateway whenever it is due, until ctx ends.
func (g *Guard) Run(ctx context.Context) error {
	go g.stalls.Run(ctx)
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for ctx.Err() == nil {
		if g.wait(ctx, expire.C) {
			g.write(ctx)
			clock.Sleep(ctx, writeInterval)
		}
	}
	return nil
}

// wait waits until the record may be due, and reports whether it is.
func (g *Guard) wait(ctx context.Context, expire <-chan time.Time) bool {
	g.mu.Lock()
	due, pending := g.state.Due()
	g.mu.Unlock()
	var timer <-chan time.Time
	if remaining := due - clock.Boot(); pending && remaining <= 0 {
		return true
	} else if pending {
		timer = time.After(remaining)
	}
	select {
	case <-ctx.Done():
	case <-timer:
	case <-g.wake:
	case <-expire:
		g.mu.Lock()
		g.state.Expire(clock.Boot())
		g.mu.Unlock()
	}
	return false
}

// write writes the record of this gateway. A failed write is retried.
func (g *Guard) write(ctx context.Context) {
	g.mu.Lock()
	record, revision, confirmed := g.state.TakeOwnRecord(), g.revision, g.confirmed
	g.writing = true
	g.mu.Unlock()
	record.Era = g.options.Era()
	spec := specOf(record)
	var object replica.Object
	var err error
	if revision == 0 {
		object, err = g.options.Store().Create(ctx, RecordKind, g.options.Name, spec)
	} else {
		object, err = g.options.Store().Replace(ctx, RecordKind, g.options.Name, revision, spec)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writing = false
	g.reported = confirmed
	close(g.writeEnded)
	g.writeEnded = make(chan struct{})
	if err == nil {
		g.revision = max(g.revision, object.Revision)
		g.options.Logger.Event(event.CrashesWritten, observe.Fields{"revision": object.Revision, "crashes": len(record.Crashes), "cleared": len(record.Cleared)})
		return
	}
	g.writeFailed(object, err)
}

// writeFailed handles a failed write of the record. g.mu must be held.
func (g *Guard) writeFailed(object replica.Object, err error) {
	g.options.Logger.Warn(event.RecordUnwritten, observe.Fields{"object": g.options.Name, "error": err.Error()})
	now := clock.Boot()
	switch {
	case fault.Is(err, fault.NotFound):
		g.revision = 0
		g.state.WriteFailed(now)
	case fault.Is(err, fault.Conflict) && object.Revision > 0:
		// A write of an earlier incarnation, or one whose response was lost, or the object of an older
		// copy of the store.
		g.revision = object.Revision
		if record, known := g.decodeRecord(object); known && !g.state.IsRestored(record) {
			g.state.Adopt(record, now)
		}
		g.state.WriteFailed(now)
	default:
		g.state.WriteFailed(now + writeRetryDelay)
	}
}
