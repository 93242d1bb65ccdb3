package pipeline

import (
	"slices"

	"acaciawinch/core/config"
)

// effective applies the workspace's parameters to a stage of its pipeline, and
// returns the prefix that goes before the stage's input.
func effective(request Request, stage config.Stage) (config.Stage, string) {
	for _, p := range request.Workspace.Stages {
		if p.Pipeline != request.Template.Name || p.Stage != stage.Name {
			continue
		}
		if p.Model != "" {
			stage.Model = p.Model
		}
		if p.Version != "" {
			stage.Version = p.Version
		}
		if p.MaxTokens != 0 {
			stage.MaxTokens = p.MaxTokens
		}
		return stage, p.Prefix
	}
	return stage, ""
}

// committed tells whether a non-idempotent stage stands before a stage: it has
// run when that stage is dispatched.
func committed(template config.Template, stage int) bool {
	return slices.ContainsFunc(template.Stages[:stage], func(earlier config.Stage) bool {
		return earlier.NonIdempotent
	})
}
