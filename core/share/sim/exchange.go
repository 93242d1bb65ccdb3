package sim

import "time"

// recordBytes is the assumed size of one workspace's share in a batched message.
const recordBytes = 40

// exchange is a bank-assisted exchange of shares: after each period an entry returns
// the part of its share that it did not use to the bank and requests what it lacked.
// The bank distributes its balance in proportion to the requests.
type exchange struct {
	s           *simulation
	periodTicks int
	minShare    float64
	ticks       int
	banks       map[int]*bank
}

// bank holds the shares of one workspace's bound.
type bank struct {
	// balance is the part of the bound that no entry has.
	balance float64
	shares  [Entries]float64
	inUse   [Entries]int
	// peak is the most requests in flight, and refused the number of refusals, of each
	// entry in the current period.
	peak, refused [Entries]int
}

func newExchange(s *simulation, period time.Duration, minShare int) *exchange {
	return &exchange{s: s, periodTicks: int(period / tickInterval), minShare: float64(minShare), banks: make(map[int]*bank)}
}

// bank returns a workspace's bank. Initially the bound is split evenly.
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
	if float64(b.inUse[r.entry]+1) > max(b.shares[r.entry], x.minShare) {
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
	if x.ticks%x.periodTicks != 0 {
		return
	}
	for workspace := range Workspaces {
		if b, ok := x.banks[workspace]; ok {
			x.redistribute(workspace, b)
		}
	}
}

// redistribute collects unused shares and distributes them to the entries that lack some.
func (x *exchange) redistribute(workspace int, b *bank) {
	var deficits [Entries]float64
	totalDeficit := 0.0
	for i := range b.shares {
		wanted := float64(b.peak[i] + b.refused[i])
		if unused := b.shares[i] - wanted; unused > 0 {
			b.balance += unused
			b.shares[i] = wanted
			x.s.count(i, 0, recordBytes)
		}
		deficits[i] = max(wanted-b.shares[i], 0)
		totalDeficit += deficits[i]
		b.peak[i], b.refused[i] = b.inUse[i], 0
	}
	if totalDeficit == 0 {
		return
	}
	fraction := min(1, b.balance/totalDeficit)
	for i, deficit := range deficits {
		if deficit > 0 {
			b.shares[i] += deficit * fraction
			x.s.count(i, 0, recordBytes)
		}
	}
	b.balance -= totalDeficit * fraction
}
