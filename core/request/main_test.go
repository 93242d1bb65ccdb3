package request

import (
	"testing"

	"acaciawinch/core/propertytest"
)

// randomRequests is how many random requests a property is checked with, unless the
// command line sets another number.
const randomRequests = 10_000

func TestMain(m *testing.M) { propertytest.Main(m, randomRequests) }
