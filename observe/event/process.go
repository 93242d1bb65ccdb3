package event

// Process lifecycle events: 1000 to 1099.
var (
	ProcessStarted  = define(1001, "process_started", "The process started.", "role", "name", "zone", "incarnation")
	ProcessDraining = define(1002, "process_draining", "A planned stop began; new work is refused.", "in_flight")
	ProcessStopped  = define(1003, "process_stopped", "The process stopped.", "reason")
	ProcessFailed   = define(1004, "process_failed", "The process failed and ends.", "error")
)
