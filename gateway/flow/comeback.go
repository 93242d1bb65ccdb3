package flow

import (
	"fmt"
	"time"

	"acaciawinch/core/retryafter"
	"acaciawinch/core/stages"
	"acaciawinch/gateway/pools"
)

// noCapacity is the refusal of a request whose pools can't serve it in time.
type noCapacity struct {
	reason string
	// room is when the owner of a pool expects room for the request; 0 if it named no time.
	room time.Duration
	// noRoom is set if no room is expected before the deadline of the request.
	noRoom bool
}

// Error implements the error interface.
func (n *noCapacity) Error() string { return n.reason }

// lateStage returns the refusal of a request for a stage that its pool refused as late.
func lateStage(stage int, result pools.Result) *noCapacity {
	return &noCapacity{
		reason: fmt.Sprintf("stage %d: %s", stage, result.Failure),
		room:   result.RetryAfter,
		noRoom: result.LateRefused,
	}
}

// comeBackAfter returns the Retry-After value for a request that its pools can't serve in time. The
// estimate is used if there is no forecast.
func (rq *request) comeBackAfter(refusal *noCapacity, estimate time.Duration) time.Duration {
	return retryafter.Value(retryafter.Refusal{
		ID:        rq.hdr.ID,
		Remaining: time.Until(rq.deadline),
		Chain:     rq.shortestChain() + firstEventAllowance,
		Room:      refusal.room,
		NoRoom:    refusal.noRoom,
		Estimate:  estimate,
	})
}

// retryAfterDecimals returns the number of decimals of a Retry-After value in seconds. Values that are spread
// need ms: with two decimals, clients that were refused together often got the same one.
func (rq *request) retryAfterDecimals() int {
	if rq.ReturnPlaces {
		return 3
	}
	return 2
}

// shortestChain returns the shortest time of the request's stages.
func (rq *request) shortestChain() time.Duration {
	return rq.longestPath(func(stage int) time.Duration { return rq.shortestCall(rq.route.Stages[stage].Service) })
}

// longestPath returns the time of the longest path through the request's stages, given the time of each.
func (rq *request) longestPath(timeOf func(stage int) time.Duration) time.Duration {
	return stages.New(rq.route.Stages, rq.hdr.Items).Remaining(timeOf)
}
