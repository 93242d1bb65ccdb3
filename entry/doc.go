// Package entry implements the entry role. An entry admits callers' requests over HTTP,
// runs the stages of each request's pipeline by drpc calls to the sidecars of the
// upstreams, and serves drpc to the other processes of the fleet: the feed of the fleet's
// state, request traces, and the permits by which workspaces are limited.
package entry
