package routes

import (
	"net"
	"slices"
	"sort"
	"strings"
)

// Table is one complete version of the configuration.
type Table struct {
	// Version is the version number that the operator gives to the configuration; it only rises.
	Version int64
	Limits  Limits

	hosts         map[string][]*Route
	services      map[string]*Service
	keys          map[string]*Workspace
	hasWorkspaces bool
	// resumable holds the services of the routes whose streams may be resumed.
	resumable []string
}

// NewTable returns the Table of a validated configuration.
func NewTable(version int64, limits Limits, list []*Route, services []*Service, workspaces []*Workspace) *Table {
	t := &Table{
		Version:       version,
		Limits:        limits,
		hosts:         make(map[string][]*Route),
		services:      make(map[string]*Service),
		keys:          make(map[string]*Workspace),
		hasWorkspaces: len(workspaces) > 0,
	}
	for _, route := range list {
		t.hosts[route.Host] = append(t.hosts[route.Host], route)
		t.addResumable(route)
	}
	for _, ofHost := range t.hosts {
		sort.SliceStable(ofHost, func(i, j int) bool { return len(ofHost[i].Prefix) > len(ofHost[j].Prefix) })
	}
	for _, service := range services {
		t.services[service.Name] = service
	}
	for _, workspace := range workspaces {
		for _, key := range workspace.Keys {
			t.keys[key] = workspace
		}
	}
	return t
}

// addResumable adds the services of a route whose streams may be resumed.
func (t *Table) addResumable(route *Route) {
	if !route.CanResume() {
		return
	}
	for _, target := range route.Targets {
		if !slices.Contains(t.resumable, target.Service) {
			t.resumable = append(t.resumable, target.Service)
		}
	}
}

// ResumableServices returns the services of the routes whose streams may be resumed. The caller must not change
// the slice.
func (t *Table) ResumableServices() []string { return t.resumable }

// Find returns the route with the longest prefix of path among those of the host in a Host
// header, or nil if there is none. The path is matched as the client sent it.
func (t *Table) Find(hostHeader, path string) *Route {
	for _, route := range t.hosts[HostName(hostHeader)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// HostName returns the host of a Host header in lower case, without its port.
func HostName(hostHeader string) string {
	host, _, err := net.SplitHostPort(hostHeader)
	if err != nil {
		host = hostHeader
	}
	return strings.ToLower(host)
}

// Service returns the service with a name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// HasWorkspaces reports whether the configuration has workspaces, whose API keys routes may need.
func (t *Table) HasWorkspaces() bool { return t.hasWorkspaces }

// NeedsKey reports whether requests of a route need an API key.
func (t *Table) NeedsKey(route *Route) bool { return t.hasWorkspaces && !route.Anonymous }

// Workspace returns the workspace to which an API key belongs, or nil if there is none.
func (t *Table) Workspace(key string) *Workspace { return t.keys[key] }
