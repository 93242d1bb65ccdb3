package claim

import "acaciawinch/core/fault"

// ResultRecorder is a state machine that records a result in the claim. The driver
// makes the calls that Next returns, as with Machine.
//
// Safe: an attempt that ran is never replaced, because its sidecar never returns
// NOT_RUN for it. So any concurrent writer of the claim records the same result.
type ResultRecorder struct {
	record  Record
	version uint64
	call    Call
	reads   int
	rules   Rules
	err     error
}

// Finish returns a ResultRecorder that records chunks as the result of the attempt in
// record, which the caller owns or attached to and which has the given version.
func Finish(record Record, version uint64, chunks [][]byte, rules Rules) *ResultRecorder {
	record.State = StateDone
	record.Result = NewResult(chunks, rules.MaxResultBytes)
	return &ResultRecorder{record: record, version: version, call: CallUpdate, rules: rules}
}

// Next returns the call to make, or CallNone at the end.
func (r *ResultRecorder) Next() Step {
	return Step{Call: r.call, Name: r.record.Name(), Record: r.record, Version: r.version}
}

// Err returns why the result could not be recorded, or nil, once Next returns
// CallNone. Such an error does not lose the result: the sidecar still keeps it
// for a time.
func (r *ResultRecorder) Err() error { return r.err }

// Wrote processes the store's response to the update.
func (r *ResultRecorder) Wrote(response WriteResponse) {
	switch response {
	case WriteOK:
		r.call = CallNone
	case WriteUnavailable:
		r.fail(fault.Unavailable, "the store is unavailable")
	default:
		r.call = CallRead
	}
}

// Found processes the claim that was read after a conflict or a lost response.
func (r *ResultRecorder) Found(record Record, version uint64) {
	r.reads++
	switch {
	case record.Nonce != r.record.Nonce:
		r.fail(fault.Conflict, "the claim names another attempt")
	case record.State == StateDone:
		r.call = CallNone
	case r.reads > r.rules.MaxReads:
		r.fail(fault.Unavailable, "the claim could not be updated")
	default:
		r.version = version
		r.call = CallUpdate
	}
}

// Missing processes a read that found no claim.
func (r *ResultRecorder) Missing() { r.fail(fault.NotFound, "the claim was deleted") }

// Unreadable processes a read that failed.
func (r *ResultRecorder) Unreadable() { r.fail(fault.Unavailable, "the claim could not be read") }

// fail ends the recording with an error.
func (r *ResultRecorder) fail(code fault.Code, detail string) {
	r.call = CallNone
	r.err = fault.New(code, "claim.finish", "", "%s", detail)
}
