// Package feed keeps every process's copy of the fleet's state: configuration,
// host list and placement. Relay entries watch the platform and push changes to
// all other processes. docs/design/configuration.md has the ways weighed.
//
// To read it: feed.go wires the parts and state.go is what callers get; hold.go is
// the only file that changes what a process holds. start.go brings a fresh process
// to its first state. A subscriber's side is follow.go (whom to follow), receive.go
// (one feed), catchup.go (a revision seen in a message) and alone.go (nobody to
// follow). A relay's side is relay.go and watch.go, and serve.go sends the feed.
// platform.go makes the calls of the platform, wire.go the messages.
package feed
