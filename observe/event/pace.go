package event

// Events of the pace of engines: 10130 to 10139.
var (
	EngineSlow      = define(10130, "engine_slow", "An engine is excluded for requests whose objectives it would miss while others meet them: its pace or its time to the first event is clearly above that of others.", "service", "upstream", "pace_us", "usual_us", "first_percent", "age_ms")
	EngineSlowEnded = define(10131, "engine_slow_ended", "No request was kept away from an engine for its pace for five seconds.", "service", "upstream", "pace_us", "usual_us", "first_percent", "age_ms")
	PaceUnshared    = define(10132, "engine_pace_unshared", "The holder of the paces of a service does not respond; the last values and own observations stay in use.", "service", "holder", "error")
	PaceShared      = define(10133, "engine_pace_shared", "The paces of a service are shared with a holder for the first time, or again after a failure.", "service", "holder", "before", "engines")
)
