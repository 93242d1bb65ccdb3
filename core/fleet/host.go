// Package fleet describes the hosts of a fleet: entries and upstreams.
package fleet

// Role is the kind of process that runs on a host.
type Role string

// The roles of hosts.
const (
	RoleEntry    Role = "entry"
	RoleUpstream Role = "upstream"
)

// Host is one entry of the platform's host list.
type Host struct {
	// Name is unique: the name of the entry or upstream.
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Service is the upstream's group; empty for entries.
	Service string `json:"service,omitempty"`
	Zone    string `json:"zone"`
	Region  string `json:"region,omitempty"`
	// Addr is the IP:port of the drpc listener of the entry or of the upstream's sidecar.
	Addr string `json:"addr"`
	// Leaving is set while the host is about to be removed.
	Leaving bool `json:"leaving,omitempty"`
}

// List is one version of the host list.
type List struct {
	Version uint64 `json:"version"`
	Hosts   []Host `json:"hosts"`
}
