// Package trials tests the real binaries as separate processes. Its tests build
// them, wait on events only, and take their verdicts from the callers' records
// and the stand-ins' ledgers.
package trials
