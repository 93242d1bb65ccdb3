package main

import (
	"slices"

	"acaciawinch/core/config"
	"acaciawinch/standin/catalog"
)

// pair names a workspace and a pipeline.
type pair struct {
	workspace string
	pipeline  string
}

// pairs holds the pairs of a configuration by kind.
type pairs struct {
	// idempotent pipelines may be retried. nonIdempotent ones have a stage that must run
	// at most once.
	idempotent    []pair
	nonIdempotent []pair
	// foreign is a workspace and a pipeline that it may not call.
	foreign pair
}

// pairsOf returns the pairs of a configuration by kind.
func pairsOf(c catalog.Catalog) pairs {
	var all pairs
	for _, workspace := range c.Workspaces {
		for _, template := range c.Templates {
			p := pair{workspace: workspace.Name, pipeline: template.Name}
			switch {
			case !slices.Contains(workspace.Pipelines, template.Name):
				all.foreign = p
			case slices.ContainsFunc(template.Stages, runsOnce):
				all.nonIdempotent = append(all.nonIdempotent, p)
			default:
				all.idempotent = append(all.idempotent, p)
			}
		}
	}
	return all
}

// runsOnce reports whether a stage must run at most once.
func runsOnce(stage config.Stage) bool { return stage.NonIdempotent }
