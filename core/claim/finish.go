package claim

import "acaciawinch/core/fault"

// Finishing carries the recording of a result. The driver makes the calls that
// Next returns, as with Machine.
//
// Safe: an attempt that ran is never replaced, because its side never answers
// NOT_RUN for it. So the only writers that can get in between record the same
// result.
type Finishing struct {
	record  Record
	version uint64
	call    Call
	reads   int
	rules   Rules
	err     error
}

// Finish returns what records chunks as the result of the owned or attached
// attempt in record, read at version.
func Finish(record Record, version uint64, chunks [][]byte, rules Rules) *Finishing {
	record.State = StateDone
	record.Result = NewResult(chunks, rules.MaxResultBytes)
	return &Finishing{record: record, version: version, call: CallUpdate, rules: rules}
}

// Next returns the call to make; CallNone at the end.
func (f *Finishing) Next() Step {
	return Step{Call: f.call, Name: f.record.Name(), Record: f.record, Version: f.version}
}

// Err returns why the result could not be recorded, or nil, once Next returns
// CallNone. The result is not lost by that: the side still holds it for a time.
func (f *Finishing) Err() error { return f.err }

// Wrote hands in the answer to the update.
func (f *Finishing) Wrote(answer WriteAnswer) {
	switch answer {
	case WriteOK:
		f.call = CallNone
	case WriteUnavailable:
		f.fail(fault.Unavailable, "the store is unavailable")
	default:
		f.call = CallRead
	}
}

// Found hands in what the read after a conflict or a lost answer found.
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

// Missing hands in that the claim is no longer there.
func (f *Finishing) Missing() { f.fail(fault.NotFound, "the claim was deleted") }

// Unreadable hands in that the read had no answer.
func (f *Finishing) Unreadable() { f.fail(fault.Unavailable, "the claim could not be read") }

// fail ends with an error.
func (f *Finishing) fail(code fault.Code, detail string) {
	f.call = CallNone
	f.err = fault.New(code, "claim.finish", "", "%s", detail)
}
