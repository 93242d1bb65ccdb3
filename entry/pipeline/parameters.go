package pipeline

import (
	"slices"

	"acaciawinch/core/config"
)

// effectiveStage returns a stage with the workspace's parameters applied, and the
// prefix that precedes the stage's input.
func effectiveStage(request Request, stage config.Stage) (config.Stage, string) {
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

// committed reports whether a non-idempotent stage precedes the given stage, and has
// thus run by the time the given stage is dispatched.
func committed(template config.Template, stage int) bool {
	return slices.ContainsFunc(template.Stages[:stage], func(earlier config.Stage) bool {
		return earlier.NonIdempotent
	})
}
