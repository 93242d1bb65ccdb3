// Package side is the runtime of the side process: the gate of the one upstream
// beside it. All work and all orders for the upstream go through it. The
// decisions are package core/gate's; this package holds the goroutines, the
// connections and the kept results.
package side
