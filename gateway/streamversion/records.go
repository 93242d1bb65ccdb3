package streamversion

import (
	"context"
	"slices"
	"time"

	"acaciawinch/core/fault"
	core "acaciawinch/core/streamversion"
	"acaciawinch/gateway/clock"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/wirepb"
)

const (
	// copyWait bounds how long the first event of a stream waits for the copies of its record. Without them the
	// stream is refused if its client comes back, it never goes on at another version.
	copyWait = 150 * time.Millisecond
	// nextHolderDelay is the time after which a further gateway gets a copy in place of one that is silent.
	nextHolderDelay = 40 * time.Millisecond
	// neededCopies is how many copies at other gateways the first event waits for: the loss of this gateway and one
	// more leaves a copy.
	neededCopies = 2
	// recordMargin is added to the time for which the client may come back, for the way of its attempts.
	recordMargin = 2 * time.Second
	// maxBatch bounds the records of one message.
	maxBatch = 1000
)

// Stream is a stream of which a client gets the first event.
type Stream struct {
	Key core.Key
	// Request is the ID of the attempt, for the log.
	Request          string
	Service, Version string
	// Lifetime is for how much longer the client may take the stream up.
	Lifetime time.Duration
}

// Begun must be called right before an event of a stream is first passed to the client by this process. While
// several versions serve, it returns once other gateways hold the record, or after copyWait.
func (k *Keeper) Begun(ctx context.Context, stream Stream) {
	lifetime := min(stream.Lifetime+recordMargin, core.MaxStreamTime)
	record := core.Record{Key: stream.Key, Service: stream.Service, Version: stream.Version, Expires: clock.Boot() + lifetime}
	k.mu.Lock()
	k.begun.Put(record)
	if !k.service(stream.Service).state.Mixed() {
		k.mu.Unlock()
		return
	}
	targets, spare := k.targets(k.gateways.Candidates(record.Key))
	k.mu.Unlock()
	k.copyFirst(ctx, stream, record, targets, spare)
}

// copyRound copies the record of one stream to gateways.
type copyRound struct {
	keeper  *Keeper
	message *wirepb.StreamRecords
	// spare are the gateways that may take the place of one that has no copy.
	spare []view.Member
	// acks receives whether a gateway has stored the record; pending counts those that have not responded, acked those
	// that have stored it.
	acks           chan bool
	pending, acked int
}

// copyFirst copies the record of a stream to its holders and waits for as many as needed.
func (k *Keeper) copyFirst(ctx context.Context, stream Stream, record core.Record, targets, spare []view.Member) {
	started := time.Now()
	round := copyRound{keeper: k, spare: spare, acks: make(chan bool, len(targets)+len(spare)),
		message: &wirepb.StreamRecords{Records: []*wirepb.StreamRecord{recordMessage(record, clock.Boot())}}}
	for _, target := range targets {
		round.send(target)
	}
	needed := min(neededCopies, len(targets)+len(spare))
	ctx, cancel := context.WithTimeout(ctx, copyWait)
	defer cancel()
	round.wait(ctx, needed)
	k.recordCopies(stream, round.acked, needed, time.Since(started))
}

// send stores the record at a gateway.
func (r *copyRound) send(to view.Member) {
	r.pending++
	go func() { r.acks <- r.keeper.sendRecords(to, r.message) == nil }()
}

// sendSpare stores the record at a further gateway, if there is one.
func (r *copyRound) sendSpare() {
	if len(r.spare) > 0 {
		r.send(r.spare[0])
		r.spare = r.spare[1:]
	}
}

// wait waits until enough gateways have stored the record, none is left that may, or ctx ends.
func (r *copyRound) wait(ctx context.Context, needed int) {
	next := time.NewTicker(nextHolderDelay)
	defer next.Stop()
	for r.acked < needed && r.pending > 0 {
		select {
		case stored := <-r.acks:
			r.pending--
			if stored {
				r.acked++
			} else {
				r.sendSpare()
			}
		case <-next.C:
			r.sendSpare()
		case <-ctx.Done():
			return
		}
	}
}

// targets returns the other gateways that get a copy at first, and those that may take the place of one of them.
// k.mu must be held.
func (k *Keeper) targets(order []core.Gateway) (targets, spare []view.Member) {
	for place, g := range order {
		member, other := k.members[g.Incarnation]
		switch {
		case !other:
		case place < core.Copies:
			targets = append(targets, member)
		default:
			spare = append(spare, member)
		}
	}
	return targets, spare
}

// recordCopies logs the copies of a stream's record and counts them in the metrics.
func (k *Keeper) recordCopies(stream Stream, acked, needed int, waited time.Duration) {
	fields := observe.Fields{"request": stream.Request, "stream": stream.Key.Attempt, "service": stream.Service, "software": stream.Version,
		"copies": acked, "needed": needed, "waited_us": waited.Microseconds()}
	if acked < needed {
		k.metrics.uncopied.Inc(1)
		k.options.Logger.Warn(event.StreamRecordUncopied, fields)
		return
	}
	k.metrics.copied.Inc(1)
	k.options.Logger.Event(event.StreamRecordCopied, fields)
}

// sendRecords stores records at another gateway.
func (k *Keeper) sendRecords(to view.Member, records *wirepb.StreamRecords) error {
	ctx, cancel := context.WithTimeout(k.options.Lifetime, peerTimeout)
	defer cancel()
	_, err := wirepb.NewDRPCStreamVersionClient(k.options.Dialer.Conn(ctx, to.Address)).Record(ctx, records)
	return fault.Wrap(fault.Unavailable, "stream.record", to.Name, err)
}

// copyToNewHolders copies the records of services with several versions to the gateways that hold them by the
// present list of gateways and did not by the one before. k.mu must be held.
func (k *Keeper) copyToNewHolders(before core.Fleet) {
	records := slices.Concat(k.held.All(""), k.begun.All(""))
	records = slices.DeleteFunc(records, func(r core.Record) bool { return !k.service(r.Service).state.Mixed() })
	k.copyAll(records, &before, "gateways")
}

// copyAll copies records to their holders in the background, but for those that held them by an earlier list of
// gateways. k.mu must be held.
func (k *Keeper) copyAll(records []core.Record, before *core.Fleet, reason string) {
	now := clock.Boot()
	batches := make(map[string][]*wirepb.StreamRecord)
	for _, record := range records {
		var old []core.Gateway
		if before != nil {
			old = before.Holders(record.Key)
		}
		for _, holder := range k.gateways.Holders(record.Key) {
			if _, other := k.members[holder.Incarnation]; other && !slices.Contains(old, holder) {
				batches[holder.Incarnation] = append(batches[holder.Incarnation], recordMessage(record, now))
			}
		}
	}
	for incarnation, batch := range batches {
		go k.sendBatch(k.members[incarnation], batch, reason)
	}
}

// sendBatch stores records at another gateway, in messages of bounded size.
func (k *Keeper) sendBatch(to view.Member, batch []*wirepb.StreamRecord, reason string) {
	for part := range slices.Chunk(batch, maxBatch) {
		fields := observe.Fields{"peer": to.Name, "records": len(part), "reason": reason}
		if err := k.sendRecords(to, &wirepb.StreamRecords{Records: part}); err != nil {
			fields["error"] = err.Error()
			k.options.Logger.Warn(event.StreamRecordsUnsent, fields)
			return
		}
		k.options.Logger.Event(event.StreamRecordsSent, fields)
	}
}

// recordMessage encodes a record.
func recordMessage(r core.Record, now time.Duration) *wirepb.StreamRecord {
	return &wirepb.StreamRecord{Workspace: r.Key.Workspace, Attempt: r.Key.Attempt, Service: r.Service, Version: r.Version,
		RemainingMs: uint64(max(0, r.Expires-now).Milliseconds()), Conflict: r.Conflict}
}

// recordOf decodes a record.
func recordOf(m *wirepb.StreamRecord, now time.Duration) core.Record {
	remaining := min(time.Duration(min(m.GetRemainingMs(), uint64(core.MaxStreamTime.Milliseconds())))*time.Millisecond, core.MaxStreamTime)
	return core.Record{Key: core.Key{Workspace: m.GetWorkspace(), Attempt: m.GetAttempt()}, Service: m.GetService(), Version: m.GetVersion(),
		Expires: now + remaining, Conflict: m.GetConflict()}
}
