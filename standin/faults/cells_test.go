package faults

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestCells runs the cells of the matrix that belong to CI. They wait for events, so
// that their verdicts don't depend on the load of the machine.
func TestCells(t *testing.T) {
	cells := []struct{ fault, step string }{
		{"entry killed", "mid-stream"},
		{"side killed", "pay flight"},
		{"store answer lost after effect", "claim sent"},
		{"entry stopped as planned", "mid-stream"},
		{"dispatch late", "pay before"},
		{"another request's answers", "pay answer"},
		{"zones lose all packets between them", "pay before"},
		{"side killed, 6 requests at once", "pay before"},
		{"leaving by the engine's notice", "drain"},
		{"operators racing", "config accept"},
		{"lease lapsed while its holder is paused", "placement plan"},
	}
	for _, c := range cells {
		t.Run(c.fault+" at "+c.step, func(t *testing.T) {
			report := runCell(t, cellOf(t, c.fault, c.step))
			assert.Assert(t, report.Passed(), "%v\nfolder: %s", report.Findings, report.Dir)
		})
	}
}
