// Package entry is the runtime of the entry role: it admits callers' requests
// over HTTP, walks each through the stages of its pipeline by drpc calls to the
// sides of the upstreams, and serves the other processes of the fleet.
package entry
