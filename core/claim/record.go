package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/fault"
)

// Prefix is the common prefix of the names of all claim objects.
const Prefix = "claims/"

// digestBytes is the length to which SHA-256 is truncated in names and digests.
const digestBytes = 16

// State is the progress of a claimed stage, as stored in its record.
type State string

// The states of a record.
const (
	// StateOpen: the attempt with the record's nonce may be dispatched or running.
	StateOpen State = "open"
	// StateDone: the attempt ran; the record holds the result or its digest.
	StateDone State = "done"
	// StateAbandoned: the attempt has not run and never will; the next caller may
	// start another one.
	StateAbandoned State = "abandoned"
)

// Identity identifies a claim and the body of the request it was made for.
type Identity struct {
	Workspace string `json:"workspace"`
	Pipeline  string `json:"pipeline"`
	// Key is the client's idempotency key, or the request id if there was none.
	Key   string `json:"key"`
	Stage string `json:"stage"`
	// BodyDigest is the digest of the request's body, by DigestBody.
	BodyDigest string `json:"body_digest"`
}

// Target is the sidecar that an attempt is dispatched to.
type Target struct {
	Upstream core.UpstreamID `json:"upstream"`
	// Addr is the IP:port of the sidecar.
	Addr        string           `json:"addr"`
	Zone        string           `json:"zone"`
	Incarnation core.Incarnation `json:"incarnation"`
	// SidecarClockUS is the ticket: the reading of the sidecar's own clock at the time at
	// which the sidecar was chosen, in microseconds since the sidecar started.
	SidecarClockUS uint64 `json:"side_clock_us"`
}

// Record is the value of a claim object.
type Record struct {
	Identity
	State State `json:"state"`
	// Request and Attempt identify the current attempt; Nonce distinguishes it from
	// all others.
	Request core.RequestID `json:"request"`
	Attempt uint32         `json:"attempt"`
	Nonce   uint64         `json:"nonce"`
	// KeyGenerated is set if the entry generated the key itself.
	KeyGenerated bool   `json:"minted,omitempty"`
	Target       Target `json:"target"`
	// Epoch is incremented each time a lookup abandons the claim. A request that
	// had the claim in an earlier epoch may have been reported as not run, so it
	// must not start the stage.
	Epoch uint64 `json:"epoch,omitempty"`
	// DispatchWithinMS is the time after the write within which the owner intends
	// to dispatch. Another caller waits that long before it has the attempt refused.
	DispatchWithinMS int64 `json:"dispatch_within_ms,omitempty"`
	// Result is set in StateDone, and only then.
	Result *Result `json:"result,omitempty"`
	// CreatedUnix is the wall clock of the first writer in seconds. It is used only
	// for the expiry after a day, so the clocks of hosts may differ by minutes.
	CreatedUnix int64 `json:"created_unix"`
}

// Result is the output of a claimed stage.
type Result struct {
	// Chunks are the output, absent if Omitted is set; the sidecar may still keep them.
	Chunks [][]byte `json:"chunks,omitempty"`
	// Count is the number of chunks of the whole output, and Digest its digest.
	Count  int    `json:"count"`
	Digest string `json:"digest"`
	// Omitted is set if the chunks were larger than the limit of a record.
	Omitted bool `json:"omitted,omitempty"`
}

// NewResult returns the result of chunks, without the chunks if they have more
// than maxBytes in total.
func NewResult(chunks [][]byte, maxBytes int) *Result {
	result := &Result{Count: len(chunks), Digest: DigestChunks(chunks)}
	size := 0
	for _, chunk := range chunks {
		size += len(chunk)
	}
	if size > maxBytes {
		result.Omitted = true
		return result
	}
	result.Chunks = chunks
	return result
}

// Scope returns the prefix of the names of all claims of one key.
func Scope(workspace, pipeline, key string) string {
	return Prefix + digestStrings(workspace, pipeline, key) + "/"
}

// Name returns the name of the claim object of one stage.
func (id Identity) Name() string {
	return Scope(id.Workspace, id.Pipeline, id.Key) + id.Stage
}

// AttemptKey returns the key of the current attempt.
func (r Record) AttemptKey() core.AttemptKey {
	return core.AttemptKey{Request: r.Request, Stage: r.Stage, Number: r.Attempt, Side: r.Target.Incarnation}
}

// DispatchWithin returns DispatchWithinMS as a duration.
func (r Record) DispatchWithin() time.Duration {
	return time.Duration(r.DispatchWithinMS) * time.Millisecond
}

// Encode returns the record as the value of its object.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "claim.encode", "", err)
	}
	return value, nil
}

// Decode parses the value of a claim object. Errors have code Internal, because
// only this package writes claims.
func Decode(value []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, fault.Wrap(fault.Internal, "claim.decode", "", err)
	}
	return record, nil
}

// DigestBody returns the digest of a request's body.
func DigestBody(body []byte) string {
	return digestStrings(string(body))
}

// DigestChunks returns the digest of an output, over its bytes in order. It does
// not depend on how the output was split into chunks.
func DigestChunks(chunks [][]byte) string {
	digest := sha256.New()
	for _, chunk := range chunks {
		digest.Write(chunk)
	}
	return hexDigest(digest)
}

// digestStrings returns a digest of parts. It includes their lengths, so that
// ("ab", "c") and ("a", "bc") differ.
func digestStrings(parts ...string) string {
	digest := sha256.New()
	for _, part := range parts {
		length := uint64(len(part))
		for shift := 0; shift < 64; shift += 8 {
			digest.Write([]byte{byte(length >> shift)})
		}
		digest.Write([]byte(part))
	}
	return hexDigest(digest)
}

// hexDigest returns the truncated hash in hex.
func hexDigest(digest hash.Hash) string {
	return hex.EncodeToString(digest.Sum(nil)[:digestBytes])
}
