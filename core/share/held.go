package share

import (
	"slices"
	"time"

	"acaciawinch/core"
)

// Held is the permit of a request that runs at this entry.
type Held struct {
	Workspace string
	Part      int
	Bound     int
	Permit    PermitID
	// End is when the permit ends by itself.
	End time.Time
	// Home counts the permit, under Incarnation. It is empty while nobody does.
	Home        string
	Incarnation core.Incarnation
}

// Heard notes the incarnation under which a home answered. A home that was
// started again has an empty ledger.
func (a *Asker) Heard(home string, incarnation core.Incarnation) { a.incarnations[home] = incarnation }

// Move returns the home that should count a permit and does not, and the ask for
// it; false if there is none. Such is the case when the host list changed, a home
// fell silent or answers again, or was started anew.
func (a *Asker) Move(now time.Time, homes *Homes, held Held) (Home, Ask, bool) {
	list := homes.Of(held.Workspace, held.Part)
	at := slices.IndexFunc(list, func(h Home) bool { return a.present(now, h) })
	if at < 0 || !now.Before(held.End) {
		return Home{}, Ask{}, false
	}
	home := list[at]
	known, heard := a.incarnations[home.Name]
	if held.Home == home.Name && (!heard || held.Incarnation == known) {
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
