// Package pools does the stages of requests. One gateway owns the queue of each
// pool, chosen by rendezvous hash among those that answer, so that the batches are
// filled with the items of all gateways: a call costs 200 ms whether it is full or
// nearly empty. An Asker gives a request's stage to the pool's owner, over a stream
// or within the process; an Owner queues, batches and calls. A wrong or second owner
// only makes batches smaller.
package pools

import (
	"time"

	"acaciawinch/core/pool"
)

// Task is one request's stage.
type Task struct {
	// Part is the part of the service's pool that does it; the Asker chooses it.
	Part
	// Request is the client's id of its request.
	Request string
	Stage   int
	Pieces  int
	// Key is what a first stage works on, Inputs the results that a later one works on.
	Key    string
	Inputs []string
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
	// Remaining is what is left until the request ends, Due until it must have this
	// stage to be on time; Due is below 0 if it is late already.
	Remaining, Due time.Duration
	// Class is which requests it waits with.
	Class Class
	// Value is what the request counts for against others of its rank.
	Value float64
	// Pulls are what each piece moves: where its inputs lie and its result is needed.
	Pulls []pool.Pull
}

// Class is a set of requests that wait alike.
type Class struct {
	// Rank is that of the workspace, 0 for the most urgent and for those without one; it
	// decides at the pools.
	Rank int
	// Priority is that of the route.
	Priority int
}

// Failure says why a task has no results; empty if it has.
type Failure string

// The failures of a task.
const (
	// Late: it could not be done before the request's end.
	Late Failure = "late"
	// Gone: an input no longer exists; the stages before must be done again.
	Gone Failure = "gone"
	// Evacuated: all upstreams of the pool are in zones that are to be emptied.
	Evacuated Failure = "evacuated"
	// Failed: the upstreams failed.
	Failed Failure = "failed"
	// OwnerLost: the owner fell silent before it answered.
	OwnerLost Failure = "owner_lost"
	// OwnerLeft: the owner is stopping, or another one took its place, and it did not
	// begin the task.
	OwnerLeft Failure = "owner_left"
)

// Result is the end of a task.
type Result struct {
	// Handles holds one result for each piece.
	Handles []string
	Failure Failure
	// Wait is the owner's estimate for a task of the same class that is queued now and
	// can be in time, Backlog that for one queued behind all others.
	Wait, Backlog time.Duration
}

// Notify is how an owner tells an asker of its task. Both functions are called with
// the Owner's lock held: they must return at once and not call the Owner.
type Notify struct {
	// Begun is called at most once, when the task's inputs have been read.
	Begun func()
	// Done is called once, unless the task is cancelled before.
	Done func(Result)
}
