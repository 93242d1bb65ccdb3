package event

// Events of the workspaces' limits on requests in flight: 1200 to 1299.
var (
	LimitRefused = define(1201, "limit_refused", "A request was refused: the limit of its workspace is reached, or no home responds and this entry's own share of the limit is in use.",
		"request", "workspace", "bound", "reason", "waited_us")
	LimitUnchecked = define(1202, "limit_unchecked", "No home of a workspace's limit responds; a request was admitted on this entry's own share of the limit.",
		"request", "workspace", "bound", "waited_us")
	LimitHomeSilent = define(1203, "limit_home_silent", "The home of a part of a workspace's limit did not respond; its deputy is queried next, if there is one.",
		"request", "workspace", "part", "home", "addr", "error")
	LimitHomeChanged = define(1204, "limit_home_changed", "Another home now counts a running request: the host list changed, or the home responds again or was restarted.",
		"request", "workspace", "part", "home", "before")
)
