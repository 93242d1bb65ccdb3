// Package relay passes on what gateways know of the platform's store, so that few of them
// read it and the others follow these. Server answers followers; Follower runs this
// process's own choice of sources (package core/source), reads the store or follows
// another gateway, and feeds the View.
//
// What is passed on: the changes that the follower's copies lack, and the newest proof that
// the configuration is the store's, which bounds for how long keys are trusted. The proof's
// time is passed on as package core/proof says, so that it is never taken for younger than
// it is. The proof is read before the changes that go with it, and a follower takes the
// changes before the proof, so that its copy is at least as new as what was proved.
package relay
