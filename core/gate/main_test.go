package gate

import (
	"testing"

	"acaciawinch/core/propertytest"
)

// propertyChecks is how many interleavings each property test runs by default. A
// command line flag overrides it.
const propertyChecks = 10_000

func TestMain(m *testing.M) { propertytest.Main(m, propertyChecks) }
