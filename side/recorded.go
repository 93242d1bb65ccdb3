package side

import (
	"context"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/claim"
	"acaciawinch/platform/objects"
	"acaciawinch/wire/wirepb"
)

// Limits on how a planned stop checks the claims of unacknowledged results. An
// acknowledgement in flight arrives before the first check.
const (
	recordCheckInterval = time.Second
	// maxRecordReads bounds the reads of the object API in one check.
	maxRecordReads = 32
)

// awaitRecords acknowledges each result that the claim of its attempt holds, until ctx
// ends: once a claim holds the result, no caller requests it from this sidecar, even if the acknowledgement was
// lost or its sender crashed before sending it.
func (p *process) awaitRecords(ctx context.Context) {
	if p.settings.Platform.Objects == "" {
		return
	}
	ticker := time.NewTicker(recordCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, result := range p.dispatcher.unacknowledged(maxRecordReads) {
			if isRecorded(ctx, p.objects, result) {
				p.dispatcher.acknowledge(result.key)
			}
		}
	}
}

// unacknowledgedResult is a stored result, with the claim of its attempt.
type unacknowledgedResult struct {
	key   core.AttemptKey
	claim *wirepb.ClaimKey
}

// isRecorded reports whether the claim holds the result itself, and not only its
// digest. If the object API fails, it returns false.
func isRecorded(ctx context.Context, store objects.API, result unacknowledgedResult) bool {
	object, err := store.Get(ctx, result.claim.GetClaim())
	if err != nil {
		return false
	}
	record, err := claim.Decode(object.Value)
	if err != nil || record.State != claim.StateDone || record.Nonce != result.claim.GetNonce() {
		return false
	}
	return record.Result != nil && !record.Result.Omitted
}

// unacknowledged returns at most count results of claimed attempts that are not
// acknowledged.
func (d *dispatcher) unacknowledged(count int) []unacknowledgedResult {
	var found []unacknowledgedResult
	d.read(func(time.Duration) {
		for key, a := range d.attempts {
			if a.claim != nil && !a.acknowledged && a.isDone() && len(found) < count {
				found = append(found, unacknowledgedResult{key: key, claim: a.claim})
			}
		}
	})
	return found
}

// acknowledge records that the result of an attempt is no longer needed.
func (d *dispatcher) acknowledge(key core.AttemptKey) {
	d.do(func(now time.Duration) {
		if a, found := d.attempts[key]; found {
			a.acknowledged = true
		}
		d.gate.Acknowledge(now, key)
	})
}
