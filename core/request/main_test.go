package request

import (
	"testing"

	"acaciawinch/core/propertytest"
)

// courses is how many random courses a run takes, unless the command line says
// otherwise.
const courses = 10_000

func TestMain(m *testing.M) { propertytest.Main(m, courses) }
