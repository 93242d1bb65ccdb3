package event_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/observe/event"
)

func TestNumbersAndNamesAreUnique(t *testing.T) {
	numbers := make(map[int]string)
	names := make(map[string]int)
	for _, e := range event.Catalogue() {
		other, taken := numbers[e.Number]
		assert.Assert(t, !taken, "%s has the number of %s", e.Name, other)
		number, taken := names[e.Name]
		assert.Assert(t, !taken, "%d has the name of %d", e.Number, number)
		numbers[e.Number] = e.Name
		names[e.Name] = e.Number
	}
}

func TestPageHoldsTheCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), event.Markdown(), "run make docs")
}
