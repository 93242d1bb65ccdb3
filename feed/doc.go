// Package feed keeps every process's copy of the fleet's state: configuration,
// host list and placement. Relay entries watch the platform and push changes to
// all other processes.
package feed
