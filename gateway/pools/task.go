// Package pools runs the stages of requests on pools of upstreams. The upstreams of a service's
// pool are divided into parts. Each part has one queue, and one gateway owns it: the owner,
// chosen by its CPU cores and then by rendezvous hashing among the gateways that respond. A common
// queue fills batches with the items of all gateways, which matters because a call takes 200 ms
// whether it is full or nearly empty.
//
// A task is one stage of one request and consists of items, each of which yields one result. A task
// is in time while it can still be done when it is due, and late after that.
//
// A Dispatcher submits a task to the owner of the part, over a stream or within the process. An
// Owner queues items, closes batches and calls upstreams. A result stays at the upstream that
// made it and is named by a handle, which begins with the upstream's address. A wrong or second
// owner only makes batches smaller.
package pools

import (
	"time"

	"acaciawinch/core/pool"
)

// Task is one stage of one request.
type Task struct {
	// Part is the part of the pool that runs the task; the Dispatcher chooses it.
	Part
	// Request is the client's ID of the request.
	Request string
	// Stage is the index of the stage, Items the number of its items.
	Stage int
	Items int
	// Key identifies the input of a first stage; Inputs are the handles of the results that a later
	// stage works on.
	Key    string
	Inputs []string
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
	// Remaining is the time until the deadline of the request; Due is the time until the stage
	// must be done for the request to meet its latency objective, below 0 if it is late
	// already.
	Remaining, Due time.Duration
	// Class is the class that the task is queued in.
	Class Class
	// Value is the weight of the request against others of the same rank.
	Value float64
	// Transfers are the bytes that each item moves between zones: where its inputs are and where
	// its result is needed.
	Transfers []pool.Transfer
	// Later holds the sender's newest estimates for the later pools of the request's chain.
	Later []LaterWait
	// Fingerprint is equal for all attempts of a client at the same request; empty if unknown.
	Fingerprint []byte
	// Workspace is the workspace of the request; empty if it has none.
	Workspace string
	// Ends is the time until the last stage must be complete for the request to be served; Remaining
	// leaves time for the stages that follow, as the sender expects them. 0 if unknown.
	Ends time.Duration
}

// LaterWait is an estimate of the wait of a task at a later pool of a chain.
type LaterWait struct {
	Service string
	// Wait is the time until the call ends that serves a task queued behind all others, as a late
	// task is; 0 if it is unknown.
	Wait time.Duration
	// Age is the time since the estimate was made.
	Age time.Duration
	// Shortest is the shortest time that the stage takes at that pool.
	Shortest time.Duration
}

// Class groups requests that share an estimate of the wait.
type Class struct {
	// Rank is the rank of the workspace, 0 for the most urgent and for requests without a
	// workspace. Pools order their queues by it.
	Rank int
	// Priority is the priority of the route.
	Priority int
}

// Failure is the reason why a task has no results; empty if it has them.
type Failure string

// The failures of a task.
const (
	// Late: the task could not be done before the deadline of its request.
	Late Failure = "late"
	// Gone: an input no longer exists; the earlier stages must be run again.
	Gone Failure = "gone"
	// Evacuated: all upstreams of the pool are in evacuated zones.
	Evacuated Failure = "evacuated"
	// Failed: the upstreams failed.
	Failed Failure = "failed"
	// NoMemory: the owner has no memory for the task, of which nothing has run.
	NoMemory Failure = "no_memory"
	// OwnerLost: the owner stopped responding before the task ended.
	OwnerLost Failure = "owner_lost"
	// OwnerLeft: the owner is stopping or another gateway has become the owner, and none of the
	// items has been sent.
	OwnerLeft Failure = "owner_left"
)

// Result is the outcome of a task.
type Result struct {
	// Handles holds the handle of one result for each item.
	Handles []string
	Failure Failure
	// Wait is the owner's estimate of the time that a task of the same class takes if it is
	// queued now and is in time; Backlog is the estimate for a task queued behind all others.
	Wait, Backlog time.Duration
	// RetryAfter is the time after which a task that was refused as late would be served if it came
	// back; 0 if not before its deadline or if unknown.
	RetryAfter time.Duration
	// LateRefused is set if the owner would refuse a late task that has the time that this task has
	// left.
	LateRefused bool
}

// Notify holds the callbacks with which an owner reports on a task. Both are called while the
// Owner's lock is held: they must return at once and must not call the Owner.
type Notify struct {
	// InputsRead is called at most once, when the task's inputs have been read.
	InputsRead func()
	// Done is called once, unless the task is cancelled before.
	Done func(Result)
}
