// Package feed keeps every process's copy of the fleet's state: configuration,
// host list and placement. docs/design/configuration.md compares the alternatives.
//
// A process is an entry, which serves callers, or the sidecar of one upstream. The entries
// that are relays by the host list watch the platform. A process subscribes to
// the feed of one entry at a time, its provider; entries pass on what they receive. An
// origin is an entry that sends heartbeats of its own: it is a relay, or reads the platform
// directly with success. Other entries forward the heartbeats that they receive.
//
// feed.go connects the components, and state.go is what users of the package get; hold.go
// is the only file that changes the state of a process. start.go loads the first state of a new
// process. The subscribing part is follow.go (choice of the provider), receive.go (one
// subscription), catchup.go (a revision seen in a message) and alone.go (direct reads
// when no entry can be followed). The serving part is relay.go and watch.go for relays,
// and serve.go, which sends the feed. platform.go calls the platform, wire.go encodes
// the messages.
package feed
