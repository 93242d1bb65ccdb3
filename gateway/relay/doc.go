// Package relay passes the state of the platform's store from gateway to gateway, so that only
// a few of them watch the store. A reader is a gateway that watches the store itself. A
// follower receives store updates from another gateway, its source. Server serves followers.
// Follower applies this process's choice of a source (package core/source): it reads the store
// or follows another gateway, and updates the View.
//
// A source sends the changes that the follower's copies lack and its newest freshness proof, in
// short proof: the time up to which its configuration is known to match the store and thus to
// hold every revoked API key. The proof bounds for how long keys are trusted. Package
// core/proof converts its time between the clocks of two processes, so that a proof never
// appears newer than it is. The hops of a proof are the processes that it has come through. The
// source reads the proof before the changes that it sends with it, and the follower applies the
// changes before the proof, so that its copy is at least as new as the proof. Large changes are
// compressed and sent in pieces.
package relay
