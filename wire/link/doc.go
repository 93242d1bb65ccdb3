// Package link opens and serves drpc connections between the fleet's own
// processes. Both ends of each connection prove that they have the fleet's key
// before the first call; a connection on which either proof fails is refused. Bytes
// are counted in both directions. docs/design/wire.md compares the alternatives.
package link
