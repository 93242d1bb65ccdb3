package pipeline

import (
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/config"
)

func TestWhatFollowsANonIdempotentStageGoesFirst(t *testing.T) {
	request := Request{
		Workspace: config.Workspace{Priority: -2},
		Template: config.Template{Stages: []config.Stage{
			{Name: "encode"}, {Name: "pay", NonIdempotent: true}, {Name: "confirm"},
		}},
	}
	assert.Equal(t, priority(request, 0), -2)
	assert.Equal(t, priority(request, 1), -2, "a payment that has not run may be refused")
	assert.Equal(t, priority(request, 2), config.MaxPriority)
}
