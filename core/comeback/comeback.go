// Package comeback keeps the places of refused clients. In a burst, a client that was refused returns
// within the same burst; without a place it would wait behind all that have arrived since, with less
// time than they have.
//
// A place is known by the fingerprint of the request, ends with the request's deadline and is used
// once. What it gives depends on what the client was told:
//
//   - A client that returns in time for its objective is queued by its due time as others are, behind those
//     that are due later. If it went first, it would be just in time at this pool and late at the
//     next one, and fewer requests of a chain would be in time.
//   - A client that returns late is queued among the late tasks by its deadline, which is earlier than those
//     of clients that have arrived since. That order is enough; a place before it would help clients
//     that can't be served.
//   - A client that was told when to return, because room was expected for it, is not refused for the work
//     ahead of it when it does, and its work counts as late work until then. Others are therefore not
//     told of the same room. Without this, both would be told and one refused again.
//
// A place never lets a task run whose deadline can't be met, and never goes before another rank or class.
//
// The package does no I/O and reads no clock. It is not safe for concurrent use.
package comeback

import (
	"container/heap"
	"time"

	"acaciawinch/core/fingerprint"
)

// MaxPlaces bounds the places: at 810 requests a second, the refused clients of 5 s. They take about
// 0.5 MB.
const MaxPlaces = 4096

// returnGrace is how long after the time that a client was told its work stays reserved: it allows for the
// refusal and the retry on the network, some tens of ms each, and for the time until a busy gateway
// submits the retry.
const returnGrace = 250 * time.Millisecond

// Places holds the places of refused clients.
type Places struct {
	byFingerprint map[fingerprint.Fingerprint]*place
	byDeadline    deadlineHeap
}

// place is the place of one refused client.
type place struct {
	fingerprint       fingerprint.Fingerprint
	arrived, deadline time.Time
	// items of work are reserved until reservedUntil; 0 if none are.
	items         int
	reservedUntil time.Time
	// index is the position in the heap.
	index int
}

// New returns an empty Places.
func New() *Places {
	return &Places{byFingerprint: make(map[fingerprint.Fingerprint]*place)}
}

// Refused keeps the place of a client that arrived at a time and whose request ends at a deadline. A
// client that already has a place keeps its first arrival. If there are too many places, the one with
// the earliest deadline is dropped, and Refused returns true.
func (p *Places) Refused(request fingerprint.Fingerprint, arrived, deadline time.Time) (dropped bool) {
	if known := p.byFingerprint[request]; known != nil {
		if known.arrived.Before(arrived) {
			arrived = known.arrived
		}
		p.remove(known)
	}
	created := &place{fingerprint: request, arrived: arrived, deadline: deadline}
	p.byFingerprint[request] = created
	heap.Push(&p.byDeadline, created)
	if len(p.byDeadline) <= MaxPlaces {
		return false
	}
	p.remove(p.byDeadline[0])
	return true
}

// Reserve reserves the items of a refused client, which was told to return at a time.
func (p *Places) Reserve(request fingerprint.Fingerprint, items int, returnAt time.Time) {
	if known := p.byFingerprint[request]; known != nil {
		known.items, known.reservedUntil = items, returnAt.Add(returnGrace)
	}
}

// Returned ends the place of a client that returned, and returns its first arrival.
func (p *Places) Returned(request fingerprint.Fingerprint, now time.Time) (arrived time.Time, known bool) {
	arrived, _, known = p.Take(request, now)
	return arrived, known
}

// Take is Returned, and also reports whether the client was told when to return.
func (p *Places) Take(request fingerprint.Fingerprint, now time.Time) (arrived time.Time, told, known bool) {
	p.Expire(now)
	found := p.byFingerprint[request]
	if found == nil {
		return time.Time{}, false, false
	}
	p.remove(found)
	return found.arrived, found.items > 0, true
}

// Expire ends the places whose deadline has passed, and returns their number.
func (p *Places) Expire(now time.Time) int {
	ended := 0
	for len(p.byDeadline) > 0 && !now.Before(p.byDeadline[0].deadline) {
		p.remove(p.byDeadline[0])
		ended++
	}
	return ended
}

// Reserved returns the number of items that are reserved.
func (p *Places) Reserved(now time.Time) int {
	items := 0
	for _, kept := range p.byDeadline {
		if now.Before(kept.reservedUntil) && now.Before(kept.deadline) {
			items += kept.items
		}
	}
	return items
}

// Len returns the number of places.
func (p *Places) Len() int { return len(p.byDeadline) }

// remove ends a place.
func (p *Places) remove(ended *place) {
	delete(p.byFingerprint, ended.fingerprint)
	heap.Remove(&p.byDeadline, ended.index)
}
