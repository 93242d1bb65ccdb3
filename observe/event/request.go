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
)
