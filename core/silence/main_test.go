package silence_test

import (
	"testing"

	"acaciawinch/core/propertytest"
)

func TestMain(m *testing.M) { propertytest.Main(m, 0) }
