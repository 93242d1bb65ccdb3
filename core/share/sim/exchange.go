package sim

import "time"

// recordBytes is taken for one share in a message among others.
const recordBytes = 40

// exchange is the bank-assisted share exchange: after each period an entry gives
// what it did not use to the bank and asks for what it lacked, and the bank deals
// out what it has in proportion.
type exchange struct {
	s     *simulation
	every int
	least float64
	ticks int
	banks map[int]*bank
}

// bank holds the shares of one workspace's bound.
type bank struct {
	balance float64
	shares  [Entries]float64
	inUse   [Entries]int
	// peak and refused are of the present period.
	peak, refused [Entries]int
}

func newExchange(s *simulation, every time.Duration, least int) *exchange {
	return &exchange{s: s, every: int(every / tickEvery), least: float64(least), banks: make(map[int]*bank)}
}

// bank returns a workspace's bank; its bound is split evenly at first.
func (x *exchange) bank(workspace int) *bank {
	b, ok := x.banks[workspace]
	if !ok {
		b = &bank{}
		for i := range b.shares {
			b.shares[i] = float64(x.s.bounds[workspace]) / Entries
		}
		x.banks[workspace] = b
	}
	return b
}

func (x *exchange) arrive(r *request) {
	b := x.bank(r.workspace)
	if float64(b.inUse[r.entry]+1) > max(b.shares[r.entry], x.least) {
		b.refused[r.entry]++
		x.s.refuse(r)
		return
	}
	b.inUse[r.entry]++
	b.peak[r.entry] = max(b.peak[r.entry], b.inUse[r.entry])
	x.s.admit(r)
}

func (x *exchange) ended(r *request) { x.bank(r.workspace).inUse[r.entry]-- }

func (x *exchange) tick() {
	x.ticks++
	if x.ticks%x.every != 0 {
		return
	}
	for workspace := range Workspaces {
		if b, ok := x.banks[workspace]; ok {
			x.deal(workspace, b)
		}
	}
}

// deal collects excess shares and deals them out among those that lack some.
func (x *exchange) deal(workspace int, b *bank) {
	var lacks [Entries]float64
	total := 0.0
	for i := range b.shares {
		wanted := float64(b.peak[i] + b.refused[i])
		if excess := b.shares[i] - wanted; excess > 0 {
			b.balance += excess
			b.shares[i] = wanted
			x.s.count(i, 0, recordBytes)
		}
		lacks[i] = max(wanted-b.shares[i], 0)
		total += lacks[i]
		b.peak[i], b.refused[i] = b.inUse[i], 0
	}
	if total == 0 {
		return
	}
	part := min(1, b.balance/total)
	for i, lack := range lacks {
		if lack > 0 {
			b.shares[i] += lack * part
			x.s.count(i, 0, recordBytes)
		}
	}
	b.balance -= total * part
}
