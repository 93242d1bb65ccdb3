package claim_test

import (
	"math/rand/v2"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/claim"
	"acaciawinch/core/fault"
)

// newAttempt returns the description of an attempt with the given key and body, and
// a random source.
func newAttempt(key, body string) (claim.AttemptSpec, *rand.Rand) {
	id := claim.Identity{Workspace: "w", Pipeline: "p", Key: key, Stage: "s", BodyDigest: claim.DigestBody([]byte(body))}
	target := claim.Target{Upstream: "u", Addr: "127.0.0.1:1", Incarnation: 7, SidecarClockUS: 3}
	return claim.AttemptSpec{Identity: id, Request: "r", Attempt: 1, Target: target, NowUnix: 100}, rand.New(rand.NewPCG(1, 2))
}

// openConflicted returns a machine whose create conflicted with an existing claim
// and that expects the result of the read.
func openConflicted(t *testing.T, spec claim.AttemptSpec, rng *rand.Rand) *claim.Machine {
	t.Helper()
	m := claim.Open(spec, claim.DefaultRules(), rng)
	assert.Equal(t, m.Next().Call, claim.CallCreate)
	assert.NilError(t, m.Wrote(claim.WriteConflict, 0))
	assert.Equal(t, m.Next().Call, claim.CallRead)
	return m
}

func TestSameKeyWithAnotherBodyIsInvalid(t *testing.T) {
	first, rng := newAttempt("k", "body")
	second, _ := newAttempt("k", "other body")
	assert.Equal(t, first.Name(), second.Name())
	written := claim.Open(first, claim.DefaultRules(), rng).Next().Record
	m := openConflicted(t, second, rng)
	err := m.Found(written, 1)
	assert.Assert(t, fault.Is(err, fault.Invalid))
	assert.Equal(t, m.Next().Call, claim.CallNone)
	assert.Equal(t, m.Verdict().Status, claim.Invalid)
}

func TestRecordOfAnotherKeyIsRejected(t *testing.T) {
	first, rng := newAttempt("k", "body")
	second, _ := newAttempt("other", "body")
	assert.Assert(t, first.Name() != second.Name())
	done := claim.Open(first, claim.DefaultRules(), rng).Next().Record
	done.State = claim.StateDone
	done.Result = claim.NewResult([][]byte{[]byte("mine")}, 100)
	m := openConflicted(t, second, rng)
	assert.Assert(t, fault.Is(m.Found(done, 1), fault.Internal))
	assert.Equal(t, len(m.Verdict().Chunks), 0)
}

func TestDeletedClaimIsUnknown(t *testing.T) {
	spec, rng := newAttempt("k", "body")
	other := spec
	other.Request = "r2"
	written := claim.Open(other, claim.DefaultRules(), rng).Next().Record
	m := openConflicted(t, spec, rng)
	assert.NilError(t, m.Found(written, 1))
	assert.NilError(t, m.Waited())
	assert.NilError(t, m.Resolved(claim.SidecarResponse{State: claim.SidecarNotRun, Incarnation: 7}))
	assert.NilError(t, m.Wrote(claim.WriteConflict, 0))
	assert.NilError(t, m.Missing())
	assert.Equal(t, m.Verdict().Status, claim.Unknown)
}

func TestUnexpectedResponseIsAnInternalError(t *testing.T) {
	spec, rng := newAttempt("k", "body")
	m := claim.Open(spec, claim.DefaultRules(), rng)
	assert.Assert(t, fault.Is(m.Waited(), fault.Internal))
	assert.Assert(t, fault.Is(m.Missing(), fault.Internal))
	assert.Assert(t, fault.Is(m.Resolved(claim.SidecarResponse{}), fault.Internal))
	assert.NilError(t, m.Wrote(claim.WriteOK, 1))
	assert.Equal(t, m.Verdict().Status, claim.Owned)
	assert.Assert(t, fault.Is(m.Wrote(claim.WriteOK, 1), fault.Internal))
}

func TestRecordFitsTheStore(t *testing.T) {
	rules := claim.DefaultRules()
	spec, rng := newAttempt("k", "body")
	record := claim.Open(spec, rules, rng).Next().Record
	record.Result = claim.NewResult([][]byte{make([]byte, rules.MaxResultBytes)}, rules.MaxResultBytes)
	assert.Assert(t, !record.Result.Omitted)
	value, err := record.Encode()
	assert.NilError(t, err)
	assert.Assert(t, len(value) < 1<<20)
	decoded, err := claim.Decode(value)
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(decoded, record))
	larger := claim.NewResult([][]byte{make([]byte, rules.MaxResultBytes), {1}}, rules.MaxResultBytes)
	assert.Assert(t, larger.Omitted && len(larger.Chunks) == 0 && larger.Count == 2)
}
