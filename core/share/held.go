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
	// ExpiresAt is the time at which the permit expires.
	ExpiresAt time.Time
	// Home is the home that counts the permit, and Incarnation the incarnation in which
	// it does. Home is empty while no home counts the permit.
	Home        string
	Incarnation core.Incarnation
}

// ObserveIncarnation records the incarnation in a home's response. A new incarnation
// means that the home restarted and its ledger lost the permits counted before.
func (c *Client) ObserveIncarnation(home string, inc core.Incarnation) { c.incarnations[home] = inc }

// Reassign returns the home that should count a permit but does not, and the request to
// send to it. It returns false if the right home counts the permit, no home is
// available or the permit has expired. The right home changes when the host list
// changes or a home stops or resumes responding; a home that restarted must count its
// permits again.
func (c *Client) Reassign(now time.Time, homes *Homes, held Held) (Home, AcquireRequest, bool) {
	candidates := homes.Of(held.Workspace, held.Part)
	first := slices.IndexFunc(candidates, func(h Home) bool { return c.available(now, h) })
	if first < 0 || !now.Before(held.ExpiresAt) {
		return Home{}, AcquireRequest{}, false
	}
	home := candidates[first]
	known, responded := c.incarnations[home.Name]
	if held.Home == home.Name && (!responded || held.Incarnation == known) {
		return Home{}, AcquireRequest{}, false
	}
	request := AcquireRequest{
		Workspace: held.Workspace,
		Part:      held.Part,
		Bound:     held.Bound,
		Permit:    held.Permit,
		TTL:       held.ExpiresAt.Sub(now),
		Running:   true,
	}
	return home, request, true
}
