package pool

// SetReserved sets the number of items of refused clients that were told to return soon. Late tasks wait
// behind them.
func (p *Pool) SetReserved(items int) { p.reserved = items }

// AddReserved adds items to those that are reserved.
func (p *Pool) AddReserved(items int) { p.reserved += items }
