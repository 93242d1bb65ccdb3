package share

import (
	"slices"
	"time"

	"acaciawinch/core"
)

// Held is the permit of a request that runs on this entry.
type Held struct {
	Workspace string
	Part      int
	Bound     int
	Permit    PermitID
	// End is the time at which the permit expires.
	End time.Time
	// Home is the home that counts the permit, and Incarnation the incarnation in which
	// it does. Home is empty while no home counts the permit.
	Home        string
	Incarnation core.Incarnation
}

// Heard records the incarnation in a home's response. A new incarnation means that the
// home restarted and its ledger lost the permits counted before.
func (a *Asker) Heard(home string, incarnation core.Incarnation) { a.incarnations[home] = incarnation }

// Move returns the home that should count a permit but does not, and the request to
// send to it. It returns false if the right home counts the permit, no home is
// available or the permit has expired. The right home changes when the host list
// changes or a home stops or resumes responding; a home that restarted must count its
// permits again.
func (a *Asker) Move(now time.Time, homes *Homes, held Held) (Home, Ask, bool) {
	candidates := homes.Of(held.Workspace, held.Part)
	first := slices.IndexFunc(candidates, func(h Home) bool { return a.available(now, h) })
	if first < 0 || !now.Before(held.End) {
		return Home{}, Ask{}, false
	}
	home := candidates[first]
	known, answered := a.incarnations[home.Name]
	if held.Home == home.Name && (!answered || held.Incarnation == known) {
		return Home{}, Ask{}, false
	}
	ask := Ask{
		Workspace: held.Workspace,
		Part:      held.Part,
		Bound:     held.Bound,
		Permit:    held.Permit,
		Life:      held.End.Sub(now),
		Running:   true,
	}
	return home, ask, true
}
