package feed

import (
	"slices"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/fleet"
	"acaciawinch/core/placement"
)

// State is one immutable version of the fleet's state. It may be read by many
// goroutines.
type State struct {
	// Revision is that of the configuration in force; zero before the first one
	// was accepted.
	Revision core.Revision

	config *config.Snapshot
	hosts  fleet.List
	// hostsKnown is set once any host list was received.
	hostsKnown       bool
	plan             placement.Plan
	placementVersion uint64
}

// Template returns a pipeline template by name.
func (s *State) Template(name string) (config.Template, bool) { return s.config.Template(name) }

// Workspace returns a workspace by name. Sidecars have none.
func (s *State) Workspace(name string) (config.Workspace, bool) { return s.config.Workspace(name) }

// Models returns the model versions that the fleet should keep loaded.
func (s *State) Models() []config.Model { return slices.Clone(s.config.Templates().Models) }

// Templates returns the part of the configuration that all workspaces share. It
// must not be changed.
func (s *State) Templates() config.Templates { return s.config.Templates() }

// Hosts returns the whole host list. It must not be changed.
func (s *State) Hosts() []fleet.Host { return s.hosts.Hosts }

// HostsVersion returns the version of the host list.
func (s *State) HostsVersion() uint64 { return s.hosts.Version }

// Placement returns the desired placement and the version of its object, which is the
// fencing token of the orders that follow from it. The version is zero while there is
// no placement.
func (s *State) Placement() (placement.Plan, uint64) { return s.plan, s.placementVersion }

// Drained reports whether operators have drained the upstream.
func (s *State) Drained(upstream string) bool { return s.config.Drained(upstream) }
