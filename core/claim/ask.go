package claim

import (
	"time"

	"acaciawinch/core"
)

// Ask describes the attempt for which a claim is opened.
type Ask struct {
	Identity
	Request core.RequestID
	Attempt uint32
	Target  Target
	// Minted is set if the entry made the key itself, so that no other request
	// can have it.
	Minted bool
	// DispatchWithin is how soon after the claim the stage will be dispatched,
	// as the asker expects; zero if at once.
	DispatchWithin time.Duration
	// NowUnix is the wall clock in seconds, for expiry only.
	NowUnix int64
}

// record returns the record of the ask's first attempt.
func (a Ask) record(nonce uint64) Record {
	return Record{
		Identity:         a.Identity,
		State:            StateOpen,
		Request:          a.Request,
		Attempt:          a.Attempt,
		Nonce:            nonce,
		Minted:           a.Minted,
		Target:           a.Target,
		DispatchWithinMS: a.DispatchWithin.Milliseconds(),
		CreatedUnix:      a.NowUnix,
	}
}

// Rules are the bounds of the protocol. The zero value is not usable; see
// DefaultRules.
type Rules struct {
	// Patience is the least time that an open claim of another request is given
	// before its side is asked, because the question has the attempt refused if
	// it was not dispatched yet. It doubles with each further round.
	Patience time.Duration
	// MaxPatience bounds each wait, the owner's announced time included.
	MaxPatience time.Duration
	// MaxRounds bounds how often another request's claim is met before the
	// verdict is Unknown.
	MaxRounds int
	// MaxReads bounds how often the claim is read after lost answers.
	MaxReads int
	// RetryAfter is what verdicts tell that may change by themselves.
	RetryAfter time.Duration
	// MaxResultBytes is the largest result that a record holds.
	MaxResultBytes int
}

// DefaultRules returns the bounds used in production. 512 KiB of result are at
// most 700 KB in the record's base64, below the store's 1 MB.
func DefaultRules() Rules {
	return Rules{
		Patience:       25 * time.Millisecond,
		MaxPatience:    time.Second,
		MaxRounds:      6,
		MaxReads:       12,
		RetryAfter:     time.Second,
		MaxResultBytes: 512 << 10,
	}
}
