package event

// Routing events: 2000 to 2099.
var (
	RouteChosen = define(2001, "route_chosen", "An upstream was chosen for a stage.",
		"request", "stage", "service", "upstream", "zone", "expected_us", "policy", "reason", "alternatives")
	RouteRefused = define(2002, "route_refused", "No upstream can run a stage before its deadline.",
		"request", "stage", "service", "retry_after_ms", "reason", "alternatives")
	UpstreamSuspected = define(2003, "upstream_suspected", "An upstream did not respond; this entry avoids it for a while.",
		"upstream", "cause", "strikes", "avoid_for")
	UpstreamRecovered = define(2004, "upstream_recovered", "A suspected upstream responded again.",
		"upstream")
	PickerBuilt = define(2005, "picker_built", "The set of candidate upstreams was rebuilt from a new state of the fleet.",
		"upstreams", "excluded")
)
