package side

import "time"

// pending counts what a planned stop waits for.
type pending struct {
	// unsettled is the number of attempts that wait or run.
	unsettled int
	// unacknowledged is the number of results that a caller may still need; see
	// gate.Gate.Unacknowledged.
	unacknowledged int
	// subscribers is the number of streams that have not received their closing event.
	subscribers int
}

// pending returns what a planned stop waits for.
func (d *dispatcher) pending() pending {
	var p pending
	d.read(func(time.Duration) {
		p.unsettled = d.gate.Unsettled()
		p.unacknowledged = d.gate.Unacknowledged()
		p.subscribers = d.subscribers
	})
	return p
}
