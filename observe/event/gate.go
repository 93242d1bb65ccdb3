package event

// Events of the side process (sidecar), whose gate admits attempts to its upstream:
// 3000 to 3999.
var (
	AttemptAdmitted = define(3001, "attempt_admitted", "The gate admitted an attempt to its queue.", "request", "stage", "attempt", "workspace", "claimed", "hedge", "priority", "queued", "running", "wait_ms", "service_ms", "remaining_ms")
	AttemptAttached = define(3002, "attempt_attached", "A known attempt was requested again; the caller follows the existing run, nothing runs twice.", "request", "stage", "attempt", "call")
	AttemptRefused  = define(3003, "attempt_refused", "The gate refused an attempt: it did not run and will not run.", "request", "stage", "attempt", "call", "workspace", "reason", "detail", "retry_after_ms", "queued", "running", "wait_ms", "service_ms", "remaining_ms")
	AttemptGone     = define(3004, "attempt_gone", "An attempt was requested that the gate can neither follow nor prove not to have run.", "request", "stage", "attempt", "call", "reason", "detail")
	AttemptEvicted  = define(3005, "attempt_evicted", "A queued attempt was refused: it did not run and will not run.", "request", "stage", "attempt", "reason", "detail", "retry_after_ms")
	AttemptStarted  = define(3006, "attempt_started", "An attempt was sent to the upstream.", "request", "stage", "attempt", "waited_ms")
	AttemptStopped  = define(3007, "attempt_stopped", "A running attempt was cancelled at the upstream.", "request", "stage", "attempt", "cause")
	AttemptEnded    = define(3008, "attempt_ended", "An attempt at the upstream ended.", "request", "stage", "attempt", "result", "detail", "cost", "chunks", "ran_ms")
	AttemptResolved = define(3009, "attempt_resolved", "A caller requested the outcome of a claimed attempt.", "request", "stage", "attempt", "claim", "state", "detail")
	UpstreamMoved   = define(3010, "upstream_moved", "The upstream's state in its state chart changed.", "upstream", "from", "to", "reason")
	OrderGiven      = define(3011, "order_given", "The engine accepted an order.", "upstream", "action", "model", "fencing")
	OrderRefused    = define(3012, "order_refused", "An order was not sent, or the engine refused it: its fencing token is stale.", "upstream", "fencing", "highest", "detail")
	OrderFailed     = define(3013, "order_failed", "An order could not be sent; it is retried.", "upstream", "action", "model", "fencing", "error")
	GateFault       = define(3014, "gate_fault", "An invariant of the gate was violated.", "upstream", "error")
)
