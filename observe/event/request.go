package event

// Events of requests: 1100 to 1199.
var (
	RequestAdmitted = define(1101, "request_admitted", "A request was admitted.",
		"request", "workspace", "pipeline", "revision", "deadline_ms", "stream", "keyed")
	RequestRefused = define(1102, "request_refused", "A request was refused at admission; nothing reached an upstream.",
		"workspace", "pipeline", "step", "status", "detail")
	RequestAnswered = define(1103, "request_answered", "The whole answer was handed to the caller's connection.",
		"request", "chunks", "digest", "duration_us")
	RequestGivenUp = define(1104, "request_given_up", "A request ended without a whole answer.",
		"request", "outcome", "cause", "step", "detail", "retry_after_ms", "duration_us")
	AttemptDispatched = define(1105, "attempt_dispatched", "An attempt of a stage was sent to a side.",
		"request", "stage", "attempt", "upstream", "reason", "remaining_ms", "resume", "alternatives")
	AttemptReattached = define(1106, "attempt_reattached", "An attempt is followed on a new stream.",
		"request", "stage", "attempt", "upstream", "reason", "from")
	AttemptCancelled = define(1107, "attempt_cancelled", "A side was told to end an attempt.",
		"request", "stage", "attempt", "upstream", "reason", "cause")
	PassEnded = define(1108, "pass_ended", "An attempt ended without serving the answer.",
		"request", "stage", "attempt", "upstream", "reason", "wasted", "duration_us")
	AttemptLeft = define(1109, "attempt_left", "An attempt shows no progress; another upstream takes over.",
		"request", "stage", "attempt", "upstream", "reason")
	AttemptKept = define(1110, "attempt_kept", "An attempt shows no progress and is waited for all the same.",
		"request", "stage", "attempt", "upstream", "reason")
	HedgeDeclined = define(1111, "hedge_declined", "A slow attempt got no second one beside it.",
		"request", "stage", "attempt", "upstream", "reason")
	EventDropped = define(1112, "event_dropped", "An event of a side was late, double or another attempt's, and changed nothing.",
		"request", "stage", "attempt", "upstream", "reason")
	ResultKept = define(1113, "result_kept", "The result that an earlier request with the key left behind is used.",
		"request", "stage", "attempt", "upstream", "reason")
	ClaimedPassResolved = define(1114, "claimed_pass_resolved", "A side told what became of a claimed attempt.",
		"request", "stage", "attempt", "upstream", "reason")
	StageClaimed = define(1115, "stage_claimed", "The claim of a non-idempotent stage came to a verdict.",
		"request", "stage", "attempt", "upstream", "reason")
	RequestSettling = define(1116, "request_settling", "A request is given up; its answer waits for proof that nothing starts later.",
		"request", "stage", "attempt", "upstream", "reason")
	StageTried = define(1118, "stage_tried", "A stage is tried although its upstreams were slow when last measured.",
		"request", "stage", "attempt", "upstream", "reason")
	ChartViolated = define(1117, "chart_violated", "A request made a move that its state chart does not allow, and is given up.",
		"request", "stage", "attempt", "upstream", "reason")
)
