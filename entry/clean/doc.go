// Package clean deletes old configuration objects from the platform's object API, the
// store. The protocol, which decides what to read and delete, is package
// core/config/retention; this package makes its calls at a bounded rate. One run of the
// protocol is called a pass.
//
// Only one entry, the owner, makes passes. Rendezvous hashing over the host list
// determines the owner. Having a single one only saves calls: several entries may safely
// clean at the same time.
package clean
