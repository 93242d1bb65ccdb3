package event

// Events of routing: 2000 to 2099.
var (
	RouteChosen = define(2001, "route_chosen", "An upstream was chosen for a stage.",
		"request", "stage", "service", "upstream", "zone", "expected_us", "policy", "reason", "alternatives")
	RouteRefused = define(2002, "route_refused", "No upstream can carry out a stage in time.",
		"request", "stage", "service", "retry_after_ms", "reason", "alternatives")
	UpstreamSuspected = define(2003, "upstream_suspected", "An upstream did not answer; this entry avoids it for a while.",
		"upstream", "cause", "strikes", "avoid_for")
	UpstreamRecovered = define(2004, "upstream_recovered", "A suspected upstream answered again.",
		"upstream")
	PickerBuilt = define(2005, "picker_built", "The upstreams to choose from were taken from a new state of the fleet.",
		"upstreams", "excluded")
)
