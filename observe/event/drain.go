package event

// Events of drains: 7000 to 7999.
var (
	DrainBegan  = define(7001, "drain_began", "A source asks that the upstream gets no new work.", "upstream", "source", "sources", "queued", "in_flight")
	DrainEnded  = define(7002, "drain_ended", "A source takes back its wish for a drain.", "upstream", "source", "sources")
	StopExpired = define(7003, "stop_expired", "The longest time of a planned stop passed before all was done.", "unsettled", "unacknowledged", "readers")
)
