// Package retryafter computes when a refused client is told to return. Clients that are refused in a
// burst and return within the same burst are refused again, and those that are refused together
// would return together.
//
// The package does no I/O and reads no clock.
package retryafter

import (
	"time"

	"acaciawinch/core/rendezvous"
)

const (
	// honouredPart is the part of its remaining time that a client waits at most, whatever it is told.
	honouredPart = 3
	// spreadPart is the part of the value by which it is varied. For a client that has 5 s left, that is
	// 330 ms, about the time of one call, so that the clients of one batch return to different calls.
	spreadPart = 5
)

// Refusal describes the refusal of one request.
type Refusal struct {
	// ID is the ID of the request. Requests with different IDs get different values.
	ID string
	// Remaining is the time until the client gives up.
	Remaining time.Duration
	// Chain is the shortest time in which the whole request can be served.
	Chain time.Duration
	// Room is when the owner of the pool expects room for the request; 0 if it named no time.
	Room time.Duration
	// NoRoom is set if no room is expected while the request can still be served.
	NoRoom bool
	// Estimate is the time after which the present work is done.
	Estimate time.Duration
}

// Honoured returns how long a client waits at most if it has a time left.
func Honoured(remaining time.Duration) time.Duration { return remaining / honouredPart }

// Value returns how long the client is told to wait, never more than clients honour. If there will
// be no room by then, it is the latest time at which the request can still be served: other requests
// may end earlier than expected.
func Value(r Refusal) time.Duration {
	honoured := Honoured(r.Remaining)
	latest := min(honoured, r.Remaining-r.Chain)
	value := min(r.Estimate, honoured)
	switch {
	case r.Room > 0 && r.Room <= honoured:
		value = r.Room
	case (r.Room > 0 || r.NoRoom) && latest > 0:
		value = latest
	}
	return max(0, value-spread(r.ID, value))
}

// spread returns by how much a value is reduced for a request.
func spread(id string, value time.Duration) time.Duration {
	const steps = 1 << 16
	step := rendezvous.Score(rendezvous.Hash(id), 0) % steps
	return time.Duration(float64(value) / spreadPart * float64(step) / steps)
}
