// Package link opens and serves drpc connections between the fleet's own
// processes. Both ends of each connection prove that they hold the fleet's key
// before the first call; a connection that does not is refused. Bytes are counted
// in both directions. docs/design/wire.md has the ways weighed.
package link
