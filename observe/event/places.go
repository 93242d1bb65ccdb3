package event

// Events of refused clients and of shares of pools: 10150 to 10159.
var (
	PoolPlaceKept      = define(10150, "pool_place_kept", "The owner of a pool refused the first stage of a request as late and keeps its place until the request ends. With retry_after_ms above 0, its items are reserved until then. Dropped reports whether another place was dropped for it.", "service", "request", "workspace", "items", "retry_after_ms", "ends_ms", "places", "dropped")
	PoolPlaceUsed      = define(10151, "pool_place_used", "A refused client has returned to its place; with told, it was told when to return and is not refused for others ahead of it. Due_ms is below 0 if its task is late.", "service", "request", "workspace", "since_ms", "told", "due_ms", "remaining_ms", "places")
	PoolPassedOver     = define(10152, "pool_passed_over", "The pool is full and a task went behind others of its rank and class, because its workspace got more than twice its equal share of the last seconds' items.", "service", "request", "workspace", "waiting")
	RequestNotAdmitted = define(10153, "request_not_admitted", "A request was refused before its first stage, as it can't end before its deadline. Shortest_ms is the time of its stages without waits, waiting_ms that behind the tasks in time, from estimates of at most max_age_ms; backlog_ms is the longest backlog of its pools.", "request", "route", "shortest_ms", "waiting_ms", "backlog_ms", "engine_ms", "to_objective_ms", "to_deadline_ms", "max_age_ms")
)
