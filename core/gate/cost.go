package gate

// Cause is what the work of a pass is charged to.
type Cause string

// The causes. Every pass is charged to exactly one, when it is certain which.
const (
	CauseUseful     Cause = "useful"
	CauseHedgeLost  Cause = "hedge_lost"
	CauseDeadline   Cause = "deadline"
	CauseCallerGone Cause = "caller_gone"
	CauseSuperseded Cause = "superseded"
	CauseFailed     Cause = "failed"
)

// Causes lists all causes in the order of reports.
var Causes = []Cause{
	CauseUseful, CauseHedgeLost, CauseDeadline, CauseCallerGone, CauseSuperseded, CauseFailed,
}

// Charge is the work charged to one cause so far.
type Charge struct {
	Cause Cause `json:"cause"`
	// Passes counts attempts that were handed to the upstream.
	Passes uint64 `json:"passes"`
	// Cost is their work in the upstream's units.
	Cost uint64 `json:"cost"`
}

// Charges returns the work charged so far, one line per cause.
func (g *Gate) Charges() []Charge {
	lines := make([]Charge, 0, len(Causes))
	for _, cause := range Causes {
		line := g.charges[cause]
		line.Cause = cause
		lines = append(lines, line)
	}
	return lines
}

// charge books the pass of r to cause, unless it is booked already.
func (g *Gate) charge(r *record, cause Cause) {
	if r.charged {
		return
	}
	r.charged = true
	line := g.charges[cause]
	line.Passes++
	line.Cost += r.spent
	g.charges[cause] = line
}

// chargeAged books a result that ages out without acknowledgement or
// cancellation: a reader that got all of it has probably used it.
func (g *Gate) chargeAged(r *record) {
	if r.phase != phaseDone {
		return
	}
	if r.delivered {
		g.charge(r, CauseUseful)
		return
	}
	g.charge(r, CauseCallerGone)
}
