package gate

// Cause is what the cost of a pass is charged to. A pass is one run of an attempt at
// the upstream.
type Cause string

// The causes. Every pass is charged to exactly one of them, once its cause is certain.
const (
	CauseUseful     Cause = "useful"
	CauseHedgeLost  Cause = "hedge_lost"
	CauseDeadline   Cause = "deadline"
	CauseCallerGone Cause = "caller_gone"
	CauseSuperseded Cause = "superseded"
	CauseFailed     Cause = "failed"
)

// Causes lists all causes in the order in which they are reported.
var Causes = []Cause{
	CauseUseful, CauseHedgeLost, CauseDeadline, CauseCallerGone, CauseSuperseded, CauseFailed,
}

// Charge is the work charged to one cause so far.
type Charge struct {
	Cause Cause `json:"cause"`
	// Passes counts the attempts that were passed to the upstream.
	Passes uint64 `json:"passes"`
	// Cost is their work in the upstream's units.
	Cost uint64 `json:"cost"`
}

// Charges returns the work charged so far, one Charge per cause.
func (g *Gate) Charges() []Charge {
	charges := make([]Charge, 0, len(Causes))
	for _, cause := range Causes {
		charge := g.charges[cause]
		charge.Cause = cause
		charges = append(charges, charge)
	}
	return charges
}

// charge charges the pass of r to cause, unless it is already charged.
func (g *Gate) charge(r *record, cause Cause) {
	if r.charged {
		return
	}
	r.charged = true
	charge := g.charges[cause]
	charge.Passes++
	charge.Cost += r.passCost
	g.charges[cause] = charge
}

// chargeExpired charges a result that is forgotten without an acknowledgement or
// cancellation. A reader that received all of it has probably used it.
func (g *Gate) chargeExpired(r *record) {
	if r.phase != phaseDone {
		return
	}
	if r.delivered {
		g.charge(r, CauseUseful)
		return
	}
	g.charge(r, CauseCallerGone)
}
