// Package ratelimit applies the decisions of package core/ratelimit in one gateway. A Limiter learns the
// limits that upstreams name in their responses, tells the other gateways, and gets the permits for
// requests to these upstreams from the coordinator of their service: over a stream, or within the
// process if this gateway is the coordinator.
//
// While no limit is known, a Limiter sends nothing and does no work.
package ratelimit
