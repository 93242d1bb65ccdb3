package feed

import (
	"github.com/uber-go/tally/v4"

	"acaciawinch/core/fleet"
	"acaciawinch/observe"
	"acaciawinch/platform/hosts"
	"acaciawinch/platform/objects"
	"acaciawinch/wire/link"
)

// DefaultRelaysPerZone is how many entries of a zone watch the platform. At 11
// zones this makes 44 relays with 88 waiting watch calls, and some 32 subscribers for
// each relay.
const DefaultRelaysPerZone = 4

// Options are the settings and dependencies of a Feed.
type Options struct {
	// Name, Zone and Region are those of this process; an entry is found in the host
	// list by its name.
	Name   string
	Zone   string
	Region string
	// Role is fleet.RoleEntry for entries, which receive the whole configuration and may
	// be relays, or fleet.RoleUpstream for sidecars, which receive no workspaces.
	Role fleet.Role
	// RelaysPerZone must be the same in all processes of the fleet; zero means
	// DefaultRelaysPerZone.
	RelaysPerZone int
	Objects       objects.API
	Hosts         hosts.Lister
	Dialer        *link.Dialer
	Logger        *observe.Logger
	Metrics       tally.Scope
	// Timing overrides the default intervals; it may be zero.
	Timing Timing
	// Seed seeds the random source that jitters the waits.
	Seed uint64
}
