package routes

import (
	"net"
	"sort"
	"strings"
)

// Table is one whole configuration.
type Table struct {
	// Version is the operator's number of the configuration; it only rises.
	Version int64
	Limits  Limits

	hosts      map[string][]*Route
	services   map[string]*Service
	keys       map[string]*Workspace
	workspaces bool
}

// NewTable returns the Table of a checked configuration.
func NewTable(version int64, limits Limits, list []*Route, services []*Service, workspaces []*Workspace) *Table {
	t := &Table{
		Version:    version,
		Limits:     limits,
		hosts:      make(map[string][]*Route),
		services:   make(map[string]*Service),
		keys:       make(map[string]*Workspace),
		workspaces: len(workspaces) > 0,
	}
	for _, route := range list {
		t.hosts[route.Host] = append(t.hosts[route.Host], route)
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

// Find returns the route with the longest prefix of path among those of a Host
// header's host, or nil. The path is taken as the client sent it.
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

// Service returns a service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// HasWorkspaces tells whether there are workspaces, whose keys routes may need.
func (t *Table) HasWorkspaces() bool { return t.workspaces }

// NeedsKey tells whether requests of a route must bring a key.
func (t *Table) NeedsKey(route *Route) bool { return t.workspaces && !route.Anonymous }

// Workspace returns who holds a key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.keys[key] }
