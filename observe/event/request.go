package event

// Request events: 1100 to 1199.
var (
	RequestAdmitted = define(1101, "request_admitted", "A request was admitted.",
		"request", "workspace", "pipeline", "revision", "deadline_ms", "stream", "keyed")
	RequestRefused = define(1102, "request_refused", "A request was refused at admission; nothing reached an upstream.",
		"workspace", "pipeline", "step", "status", "detail")
	RequestAnswered = define(1103, "request_answered", "The full response was written to the client's connection.",
		"request", "chunks", "digest", "duration_us")
	RequestGivenUp = define(1104, "request_given_up", "A request ended without a full response.",
		"request", "outcome", "cause", "step", "detail", "retry_after_ms", "duration_us")
	AttemptDispatched = define(1105, "attempt_dispatched", "An attempt of a stage was sent to a sidecar.",
		"request", "stage", "attempt", "upstream", "reason", "remaining_ms", "resume", "alternatives")
	AttemptReattached = define(1106, "attempt_reattached", "An attempt is followed on a new stream.",
		"request", "stage", "attempt", "upstream", "reason", "from")
	AttemptCancelled = define(1107, "attempt_cancelled", "A sidecar was requested to cancel an attempt.",
		"request", "stage", "attempt", "upstream", "reason", "cause")
	AttemptUnused = define(1108, "pass_ended", "An attempt ended without contributing to the response.",
		"request", "stage", "attempt", "upstream", "reason", "wasted", "duration_us")
	AttemptLeft = define(1109, "attempt_left", "An attempt makes no progress; another upstream takes over the stage.",
		"request", "stage", "attempt", "upstream", "reason")
	AttemptKept = define(1110, "attempt_kept", "An attempt makes no progress but is kept.",
		"request", "stage", "attempt", "upstream", "reason")
	HedgeDeclined = define(1111, "hedge_declined", "A slow attempt got no hedge.",
		"request", "stage", "attempt", "upstream", "reason")
	EventDropped = define(1112, "event_dropped", "An event from a sidecar was late, a duplicate or of another attempt, and was ignored.",
		"request", "stage", "attempt", "upstream", "reason")
	ResultKept = define(1113, "result_kept", "The stored result of an earlier request with the same key is used.",
		"request", "stage", "attempt", "upstream", "reason")
	ClaimedPassResolved = define(1114, "claimed_pass_resolved", "A sidecar reported the outcome of a claimed attempt.",
		"request", "stage", "attempt", "upstream", "reason")
	StageClaimed = define(1115, "stage_claimed", "The claim of a non-idempotent stage was decided.",
		"request", "stage", "attempt", "upstream", "reason")
	RequestAwaitingProof = define(1116, "request_settling", "A request is given up; its response waits for proof that no attempt can start later.",
		"request", "stage", "attempt", "upstream", "reason")
	StageTried = define(1118, "stage_tried", "A stage is tried although its upstreams were too slow when last measured.",
		"request", "stage", "attempt", "upstream", "reason")
	ChartViolated = define(1117, "chart_violated", "A request made a transition that its state chart does not allow, and is given up.",
		"request", "stage", "attempt", "upstream", "reason")
)
