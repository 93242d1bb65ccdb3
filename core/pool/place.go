package pool

// SetReserved sets the number of items of refused clients that were told to return soon. Late tasks wait
// behind them.
func (p *Pool) SetReserved(items int) { p.reserved = items }
