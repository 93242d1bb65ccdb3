package gate

import (
	"testing"

	"acaciawinch/core/propertytest"
)

// propertyChecks is how many interleavings each property test plays, unless the
// command line sets another number.
const propertyChecks = 10_000

func TestMain(m *testing.M) { propertytest.Main(m, propertyChecks) }
