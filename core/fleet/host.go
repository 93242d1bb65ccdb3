// Package fleet holds what is known of the hosts: entries and upstreams.
package fleet

// Role tells what runs on a host.
type Role string

// The roles of hosts.
const (
	RoleEntry    Role = "entry"
	RoleUpstream Role = "upstream"
)

// Host is one line of the platform's host list.
type Host struct {
	// Name is unique: the entry's or the upstream's name.
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Service is the upstream's group; empty for entries.
	Service string `json:"service,omitempty"`
	Zone    string `json:"zone"`
	Region  string `json:"region,omitempty"`
	// Addr is the IP:port of the entry's or side's drpc listener.
	Addr string `json:"addr"`
	// Leaving is set while the host is about to go.
	Leaving bool `json:"leaving,omitempty"`
}

// List is the host list at one version.
type List struct {
	Version uint64 `json:"version"`
	Hosts   []Host `json:"hosts"`
}
