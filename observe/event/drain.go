package event

// Drain events: 7000 to 7999.
var (
	DrainBegan  = define(7001, "drain_began", "A source requested that the upstream gets no new work.", "upstream", "source", "sources", "queued", "in_flight")
	DrainEnded  = define(7002, "drain_ended", "A source withdrew its drain request.", "upstream", "source", "sources")
	StopExpired = define(7003, "stop_expired", "The timeout of a planned stop expired before all work was finished.", "unsettled", "unacknowledged", "readers")
)
