package claim

import "acaciawinch/core/fault"

// Finishing is a state machine that records a result in the claim. The driver
// makes the calls that Next returns, as with Machine.
//
// Safe: an attempt that ran is never replaced, because its sidecar never returns
// NOT_RUN for it. So any concurrent writer of the claim records the same result.
type Finishing struct {
	record  Record
	version uint64
	call    Call
	reads   int
	rules   Rules
	err     error
}

// Finish returns a Finishing that records chunks as the result of the attempt in
// record, which the caller owns or attached to and which has the given version.
func Finish(record Record, version uint64, chunks [][]byte, rules Rules) *Finishing {
	record.State = StateDone
	record.Result = NewResult(chunks, rules.MaxResultBytes)
	return &Finishing{record: record, version: version, call: CallUpdate, rules: rules}
}

// Next returns the call to make, or CallNone at the end.
func (f *Finishing) Next() Step {
	return Step{Call: f.call, Name: f.record.Name(), Record: f.record, Version: f.version}
}

// Err returns why the result could not be recorded, or nil, once Next returns
// CallNone. Such an error does not lose the result: the sidecar still keeps it
// for a time.
func (f *Finishing) Err() error { return f.err }

// Wrote processes the store's response to the update.
func (f *Finishing) Wrote(response WriteAnswer) {
	switch response {
	case WriteOK:
		f.call = CallNone
	case WriteUnavailable:
		f.fail(fault.Unavailable, "the store is unavailable")
	default:
		f.call = CallRead
	}
}

// Found processes the claim that was read after a conflict or a lost response.
func (f *Finishing) Found(record Record, version uint64) {
	f.reads++
	switch {
	case record.Nonce != f.record.Nonce:
		f.fail(fault.Conflict, "the claim names another attempt")
	case record.State == StateDone:
		f.call = CallNone
	case f.reads > f.rules.MaxReads:
		f.fail(fault.Unavailable, "the claim could not be updated")
	default:
		f.version = version
		f.call = CallUpdate
	}
}

// Missing processes a read that found no claim.
func (f *Finishing) Missing() { f.fail(fault.NotFound, "the claim was deleted") }

// Unreadable processes a read that failed.
func (f *Finishing) Unreadable() { f.fail(fault.Unavailable, "the claim could not be read") }

// fail ends the recording with an error.
func (f *Finishing) fail(code fault.Code, detail string) {
	f.call = CallNone
	f.err = fault.New(code, "claim.finish", "", "%s", detail)
}
