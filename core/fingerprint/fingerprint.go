// Package fingerprint recognises a request that is sent again under another id: attempts with the
// same workspace, method, host, target and body have the same fingerprint. Different requests whose
// prompts hold the same part have the fingerprint of the part in common.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"acaciawinch/core/fault"
)

// size is the number of bytes of a Fingerprint: enough that a client can't find a request with the
// fingerprint of another one.
const size = 16

// Fingerprint identifies a request across its attempts, or a part of prompts across requests.
type Fingerprint [size]byte

// Request holds the parts of a request that its Fingerprint covers.
type Request struct {
	// Workspace is the owner of the client's key, empty on routes without keys.
	Workspace string
	Method    string
	Host      string
	// Target is the path and query as the client sent them.
	Target string
	Body   []byte
}

// Of returns the fingerprint of a request.
func Of(r Request) Fingerprint {
	hash := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(r.Workspace), []byte(r.Method), []byte(r.Host), []byte(r.Target), r.Body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part))) // keeps the parts apart: "ab", "c" and "a", "bc" differ
		_, _ = hash.Write(length[:])                             // a hash never fails to write
		_, _ = hash.Write(part)                                  // as above
	}
	f := Fingerprint(hash.Sum(nil)[:size])
	f[0] &^= partMark
	return f
}

// Parse returns the fingerprint that String returned as text.
func Parse(text string) (Fingerprint, error) {
	content, err := hex.DecodeString(text)
	if err != nil || len(content) != size {
		return Fingerprint{}, fault.New(fault.Invalid, "fingerprint.parse", "", "%q is no fingerprint", text)
	}
	return Fingerprint(content), nil
}
