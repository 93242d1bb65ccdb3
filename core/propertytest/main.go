// Package propertytest runs property tests so that each run draws the same cases.
package propertytest

import (
	"flag"
	"os"
	"strconv"
	"testing"

	// The flags are rapid's.
	_ "pgregory.net/rapid"
)

// seed is that of all property tests.
const seed = 20261202

// Main runs a package's tests from TestMain. Each property is checked with so many
// cases, or rapid's own number if checks is 0. The command line may set others.
func Main(m *testing.M, checks int) {
	flag.Parse()
	set("rapid.seed", seed)
	if checks > 0 {
		set("rapid.checks", checks)
	}
	os.Exit(m.Run())
}

// set sets a flag that the command line leaves at its default.
func set(name string, value int) {
	if f := flag.Lookup(name); f.Value.String() == f.DefValue {
		_ = flag.Set(name, strconv.Itoa(value)) // a number that the flag takes
	}
}
