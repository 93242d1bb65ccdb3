package pool

// SetReserved sets the number of items of refused clients that were told to return soon. Late tasks wait
// behind them.
func (p *Pool) SetReserved(items int) { p.reserved = items }

// isReturned reports whether the task is that of a refused client that has returned to its place.
func (t *Task) isReturned() bool { return !t.Arrived.IsZero() }
