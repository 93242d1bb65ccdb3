// Package link opens and serves drpc connections between the fleet's own
// processes. Every call carries the fleet's shared key; a call with another key
// is refused. Bytes are counted in both directions.
package link
