package pipeline

import (
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/config"
)

func TestOnlyWhatFollowsANonIdempotentStageIsCommitted(t *testing.T) {
	template := config.Template{Stages: []config.Stage{
		{Name: "encode"}, {Name: "pay", NonIdempotent: true}, {Name: "confirm"},
	}}
	assert.Assert(t, !committed(template, 0))
	assert.Assert(t, !committed(template, 1), "a payment that has not run may be refused")
	assert.Assert(t, committed(template, 2))
}
