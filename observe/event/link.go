package event

// Events of connections between the fleet's processes: 9000 to 9099.
var (
	ConnectionRefused = define(9001, "connection_refused", "A connection from another process was refused and served nothing; one line a second at most.", "peer", "error", "refused")
)
