package fingerprint

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
)

// The first byte of a Fingerprint tells what it identifies.
const (
	// partMark is set in the fingerprint of a part of a prompt, and in no other. The rest of the byte is the
	// length of the part's ID if the ID follows as it is, and 0 if its hash does.
	partMark = 0x80
	// maxPlainID is the length of the longest ID that a fingerprint holds as it is.
	maxPlainID = size - 1
)

// OfPart returns the fingerprint of a part of prompts, given its ID. All requests whose prompts hold the part
// have it in common, whatever their service, model and workspace: one ID names one content.
func OfPart(id string) Fingerprint {
	var f Fingerprint
	if len(id) <= maxPlainID {
		f[0] = partMark | byte(len(id))
		copy(f[1:], id)
		return f
	}
	f[0] = partMark
	hash := sha256.Sum256([]byte(id))
	copy(f[1:], hash[:])
	return f
}

// IsPart reports whether the fingerprint identifies a part of prompts, and not a request.
func (f Fingerprint) IsPart() bool { return f[0]&partMark != 0 }

// PartID returns the ID of the part that the fingerprint identifies, or "#" and its hash if the ID is too long
// to be held.
func (f Fingerprint) PartID() string {
	if length := int(f[0] &^ partMark); length > 0 && length <= maxPlainID {
		return string(bytes.ToValidUTF8(f[1:1+length], []byte("?")))
	}
	return "#" + hex.EncodeToString(f[1:])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
