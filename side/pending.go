package side

import "time"

// pending is what a planned stop waits for.
type pending struct {
	// unsettled attempts wait or run.
	unsettled int
	// unacknowledged results wait for their caller.
	unacknowledged int
	// readers are streams that have not got their closing event.
	readers int
}

// pending returns what a planned stop waits for.
func (k *keeper) pending() pending {
	var p pending
	k.read(func(time.Duration) {
		p.unsettled = k.gate.Unsettled()
		p.unacknowledged = k.gate.Unacknowledged()
		p.readers = k.readers
	})
	return p
}
