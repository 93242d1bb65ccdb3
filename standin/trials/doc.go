// Package trials holds end-to-end tests that run the real binaries as separate
// processes. The tests build the binaries, wait for events rather than for fixed
// times, and judge by the records of the callers and the ledgers of the stand-ins.
package trials
