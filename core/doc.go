// Package core holds the identifiers and outcomes that every part of
// acaciawinch shares. Its sub-packages hold the decisions.
//
// Nothing below core does I/O, starts a goroutine, reads a wall clock or draws
// from a global random source: time, randomness and observations come in as
// arguments, and decisions with their reasons come out.
package core
