package event

// Events of workspaces' bounds on their requests in flight: 1200 to 1299.
var (
	LimitRefused = define(1201, "limit_refused", "A request was refused: its workspace's bound is reached, or no home answers and this entry's own part is in use.",
		"request", "workspace", "bound", "reason", "waited_us")
	LimitUnchecked = define(1202, "limit_unchecked", "No home of a workspace's bound answers; a request runs by this entry's word.",
		"request", "workspace", "bound", "waited_us")
	LimitHomeSilent = define(1203, "limit_home_silent", "The home of a part of a workspace's bound did not answer; its deputy is asked, or nobody.",
		"request", "workspace", "part", "home", "addr", "error")
	LimitHomeChanged = define(1204, "limit_home_changed", "Another home counts a running request now: the host list changed, or the home answers again or was started anew.",
		"request", "workspace", "part", "home", "before")
)
