package event

// Events of the side process, the gate of its upstream: 3000 to 3999.
var (
	AttemptAdmitted = define(3001, "attempt_admitted", "The gate admitted an attempt to its queue.", "request", "stage", "attempt", "workspace", "claimed", "hedge", "priority", "queued", "running", "wait_ms", "service_ms", "remaining_ms")
	AttemptAttached = define(3002, "attempt_attached", "A known attempt was asked for again; the asker follows it and nothing is run twice.", "request", "stage", "attempt", "call")
	AttemptRefused  = define(3003, "attempt_refused", "The gate refused an attempt: it was not run and will not be.", "request", "stage", "attempt", "call", "workspace", "reason", "detail", "retry_after_ms", "queued", "running", "wait_ms", "service_ms", "remaining_ms")
	AttemptGone     = define(3004, "attempt_gone", "An attempt was asked for of which the gate can't say that it did not run.", "request", "stage", "attempt", "call", "reason", "detail")
	AttemptEvicted  = define(3005, "attempt_evicted", "A waiting attempt was refused: it was not run and will not be.", "request", "stage", "attempt", "reason", "detail", "retry_after_ms")
	AttemptStarted  = define(3006, "attempt_started", "An attempt was handed to the upstream.", "request", "stage", "attempt", "waited_ms")
	AttemptStopped  = define(3007, "attempt_stopped", "A running attempt is cancelled at the upstream.", "request", "stage", "attempt", "cause")
	AttemptEnded    = define(3008, "attempt_ended", "An attempt at the upstream ended.", "request", "stage", "attempt", "result", "detail", "cost", "chunks", "ran_ms")
	AttemptResolved = define(3009, "attempt_resolved", "Somebody asked what became of a claimed attempt.", "request", "stage", "attempt", "claim", "state", "detail")
	UpstreamMoved   = define(3010, "upstream_moved", "The upstream's state, by its chart, changed.", "upstream", "from", "to", "reason")
	OrderGiven      = define(3011, "order_given", "The engine took an order.", "upstream", "action", "model", "fencing")
	OrderRefused    = define(3012, "order_refused", "An order was not given, or the engine refused it: its fencing number is old.", "upstream", "fencing", "highest", "detail")
	OrderFailed     = define(3013, "order_failed", "An order could not be given; it is tried again.", "upstream", "action", "model", "fencing", "error")
	GateFault       = define(3014, "gate_fault", "The gate's own rules were broken.", "upstream", "error")
)
