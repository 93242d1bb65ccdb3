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
// zones this makes 44 relays with 88 waiting calls, and some 32 subscribers each.
const DefaultRelaysPerZone = 4

// Options are what a Feed works with.
type Options struct {
	// Name, Zone and Region are the process's own; an entry is found in the host
	// list by its name.
	Name   string
	Zone   string
	Region string
	// Role is fleet.RoleEntry for entries, which hold everything and may be
	// relays, or fleet.RoleUpstream for sides, which hold no workspaces.
	Role fleet.Role
	// RelaysPerZone is the same in all processes of the fleet; zero means
	// DefaultRelaysPerZone.
	RelaysPerZone int
	Objects       objects.API
	Hosts         hosts.Lister
	Dialer        *link.Dialer
	Logger        *observe.Logger
	Metrics       tally.Scope
	// Timing may be zero.
	Timing Timing
	// Seed starts the random source of the waits between tries.
	Seed uint64
}
