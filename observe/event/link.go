package event

// Events of connections between the fleet's processes: 9000 to 9099.
var (
	ConnectionRefused = define(9001, "connection_refused", "A connection from another process was refused; at most one line per second.", "peer", "error", "refused")
)
