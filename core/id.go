package core

// Incarnation is the random number that a process chooses when it starts. A
// message meant for another incarnation is refused.
type Incarnation uint64

// Revision numbers accepted configurations. It only rises.
type Revision uint64

// RequestID names one request of one caller. It begins with the host name of
// the entry process that admitted the request.
type RequestID string

// UpstreamID names one upstream, as the host list does.
type UpstreamID string

// AttemptKey names one attempt of one stage of one request.
type AttemptKey struct {
	Request RequestID
	Stage   string
	// Number rises by one with each attempt of the stage, hedges included.
	Number uint32
	// Side is the incarnation of the side process that the attempt is meant for.
	Side Incarnation
}
