package side

import (
	"context"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/claim"
	"acaciawinch/platform/objects"
	"acaciawinch/wire/wirepb"
)

// Pace of a planned stop's look at the claims of unacknowledged results. An
// acknowledgement on its way comes before the first look.
const (
	recordCheck = time.Second
	// maxRecordReads bounds the reads of the object API in one look.
	maxRecordReads = 32
)

// awaitRecords acknowledges results by their claims until ctx ends: once a claim
// holds the result, nobody asks this side for it, also if the acknowledgement was
// lost or its sender died before it.
func (p *process) awaitRecords(ctx context.Context) {
	if p.settings.Platform.Objects == "" {
		return
	}
	ticker := time.NewTicker(recordCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, held := range p.keeper.unacknowledged(maxRecordReads) {
			if recorded(ctx, p.objects, held) {
				p.keeper.acknowledge(held.key)
			}
		}
	}
}

// heldResult is a result that the side keeps, with the claim of its attempt.
type heldResult struct {
	key   core.AttemptKey
	claim *wirepb.ClaimKey
}

// recorded tells whether the claim holds the result itself, and not only its
// digest. While the object API doesn't answer it is not known.
func recorded(ctx context.Context, store objects.API, held heldResult) bool {
	object, err := store.Get(ctx, held.claim.GetClaim())
	if err != nil {
		return false
	}
	record, err := claim.Decode(object.Value)
	if err != nil || record.State != claim.StateDone || record.Nonce != held.claim.GetNonce() {
		return false
	}
	return record.Result != nil && !record.Result.Omitted
}

// unacknowledged returns results of claimed attempts that nobody has acknowledged,
// at most count of them.
func (k *keeper) unacknowledged(count int) []heldResult {
	var found []heldResult
	k.read(func(time.Duration) {
		for key, a := range k.attempts {
			if a.claim != nil && !a.acknowledged && a.isDone() && len(found) < count {
				found = append(found, heldResult{key: key, claim: a.claim})
			}
		}
	})
	return found
}

// acknowledge notes that nobody needs the result of an attempt any longer.
func (k *keeper) acknowledge(key core.AttemptKey) {
	k.do(func(now time.Duration) {
		if a, found := k.attempts[key]; found {
			a.acknowledged = true
		}
		k.gate.Acknowledge(now, key)
	})
}
