// Package clean deletes old configuration objects from the store. The protocol, which
// decides what to read and delete, is package core/config/retention; this package makes
// its calls at a bounded rate.
//
// One entry, the owner, does so. It is determined by rendezvous hashing over the host
// list. That only saves calls: several entries may safely clean at the same time.
package clean
