// Package slopes measures, with the real processes and small stand-ins on one
// machine, how each cost of the system grows: with requests, stage calls, tokens,
// claims, probes, peers, workspaces, hosts, changes, kept results and relays. It
// fits a line to each cost, and from the lines works out the costs at the size
// that the system is designed for.
package slopes
