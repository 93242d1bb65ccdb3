package claim

import (
	"time"

	"acaciawinch/core"
)

// AttemptSpec describes the attempt for which a claim is opened.
type AttemptSpec struct {
	Identity
	Request core.RequestID
	Attempt uint32
	Target  Target
	// KeyGenerated is set if the entry generated the key itself, so that no other
	// request can have it.
	KeyGenerated bool
	// DispatchWithin is the time after which the caller expects to dispatch the
	// claimed stage; zero means immediately.
	DispatchWithin time.Duration
	// NowUnix is the wall clock in seconds, for expiry only.
	NowUnix int64
}

// record returns an open record for the described attempt.
func (s AttemptSpec) record(nonce uint64) Record {
	return Record{
		Identity:         s.Identity,
		State:            StateOpen,
		Request:          s.Request,
		Attempt:          s.Attempt,
		Nonce:            nonce,
		KeyGenerated:     s.KeyGenerated,
		Target:           s.Target,
		DispatchWithinMS: s.DispatchWithin.Milliseconds(),
		CreatedUnix:      s.NowUnix,
	}
}

// Rules are the limits of the protocol. The zero value is not usable; see
// DefaultRules.
type Rules struct {
	// MinWait is the minimum wait before the sidecar of another request's open
	// claim is queried. The wait gives the owner time to dispatch, because Resolve makes
	// the sidecar refuse an attempt that was not dispatched yet. It doubles with each
	// further round.
	MinWait time.Duration
	// MaxWait bounds each wait, also one for the owner's DispatchWithin.
	MaxWait time.Duration
	// MaxRounds bounds how often an open claim of another request is found before
	// the verdict is Unknown.
	MaxRounds int
	// MaxReads bounds how often the claim is read after lost responses.
	MaxReads int
	// RetryAfter is the value of Verdict.RetryAfter where a retry may succeed.
	RetryAfter time.Duration
	// MaxResultBytes is the largest result that a record holds.
	MaxResultBytes int
}

// DefaultRules returns the limits used in production. A result of 512 KiB takes
// at most 700 KB in the record's base64, below the store's limit of 1 MB.
func DefaultRules() Rules {
	return Rules{
		MinWait:        25 * time.Millisecond,
		MaxWait:        time.Second,
		MaxRounds:      6,
		MaxReads:       12,
		RetryAfter:     time.Second,
		MaxResultBytes: 512 << 10,
	}
}
