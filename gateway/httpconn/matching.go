package httpconn

import (
	"crypto/rand"
	"encoding/hex"
	"hash/maphash"
	"net/http"
	"slices"
)

// This file holds the invariant of the package: a response is given to the one call that it answers,
// or its connection is closed. An upstream may send a response twice, and the copy may arrive when
// the next response is due, so the order of responses says nothing. A response is known to answer a
// call only if
//
//   - it echoes the ID of the call, and no other request on its connection had that ID, or
//   - it has no ID, and nothing else was ever sent on its connection.
//
// Every request therefore has an ID: Do draws one if its caller has none. A connection on which a
// response had no ID is not used for another call. Only the responses to notifications need not be
// told apart, as they are given to no call; notifications have connections of their own.

// maxRequests is the number of requests after which a connection is closed. All their IDs are
// remembered, as a copy of any response may still arrive.
const maxRequests = 512

// history is what was sent on a connection.
type history struct {
	// ids holds the hashes of the IDs of all requests.
	ids []uint64
	// responses is the number of responses that were read.
	responses int
	// hadHead is set once a HEAD request was sent. The body of a response depends on the method of
	// its request, so that the end of a response to an unknown one of the requests is unknown.
	hadHead bool
}

// idSeed is the seed of the hashes of IDs. IDs with equal hashes only cost a new connection.
var idSeed = maphash.MakeSeed()

// accepts reports whether a request with an ID may be sent on the connection.
func (h *history) accepts(id string) bool {
	return !h.isFull() && !slices.Contains(h.ids, maphash.String(idSeed, id))
}

// isFull reports whether the connection has carried as many requests as it may.
func (h *history) isFull() bool { return len(h.ids) >= maxRequests }

// record records a request that is sent.
func (h *history) record(method, id string) {
	h.ids = append(h.ids, maphash.String(idSeed, id))
	h.hadHead = h.hadHead || method == http.MethodHead
}

// ownership says to which request a response belongs.
type ownership int

const (
	// ownResponse answers the last request.
	ownResponse ownership = iota
	// otherResponse answers another request. The response to the last one may follow.
	otherResponse
	// unknownResponse answers an unknown request. Nothing more is read from the connection.
	unknownResponse
)

// owner returns to which request the next response on the connection belongs; r is the last one.
func (h *history) owner(r Request, info ResponseInfo) ownership {
	h.responses++
	switch {
	case r.oneWay, info.ID == r.ID:
		return ownResponse
	case info.ID != "" && !h.hadHead:
		return otherResponse
	case info.ID == "" && len(h.ids) == 1 && h.responses == 1 && (r.drawn || info.NotRun):
		return ownResponse
	default:
		return unknownResponse
	}
}

// newID draws the ID of a request whose caller has none.
func newID() string {
	var random [8]byte
	_, _ = rand.Read(random[:]) // crypto/rand.Read never returns an error
	return hex.EncodeToString(random[:])
}
