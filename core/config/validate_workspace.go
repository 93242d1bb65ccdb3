package config

import (
	"fmt"
	"slices"
)

// checkWorkspace checks the parameters of one workspace.
func (v *validator) checkWorkspace(w Workspace) {
	v.setDeclaration(SectionWorkspaces, w.Name)
	v.checkName("name", w.Name)
	v.checkRange("weight", w.Weight, 1, MaxWeight)
	v.checkRange("priority", w.Priority, MinPriority, MaxPriority)
	v.checkRange("deadline_ms", w.DeadlineMS, 0, MaxDeadlineMS)
	v.checkRange("max_in_flight", w.MaxInFlight, 0, MaxInFlightLimit)
	v.checkPipelines(w)
	if len(w.Stages) > MaxStageParameters {
		v.addProblem("stages", "%d are declared, at most %d are allowed", len(w.Stages), MaxStageParameters)
	}
	for i, p := range w.Stages {
		v.checkParameters(fmt.Sprintf("stages[%d].", i), w, p)
	}
	v.checkParametersUnique(w.Stages)
}

// checkPipelines checks the templates that a workspace may call.
func (v *validator) checkPipelines(w Workspace) {
	if len(w.Pipelines) < 1 || len(w.Pipelines) > MaxPipelines {
		v.addProblem("pipelines", "must be 1 to %d, are %d", MaxPipelines, len(w.Pipelines))
	}
	for i, name := range w.Pipelines {
		key := fmt.Sprintf("pipelines[%d]", i)
		if slices.Contains(w.Pipelines[:i], name) {
			v.addProblem(key, "%q stands twice", name)
		}
		template, found := v.templates[name]
		if !found {
			v.addProblem(key, "no template is named %q", name)
			continue
		}
		if w.DeadlineMS > template.MaxDeadlineMS {
			v.addProblem("deadline_ms", "is %d, but %q allows at most %d", w.DeadlineMS, name, template.MaxDeadlineMS)
		}
	}
}

// checkParameters checks the parameters that a workspace sets for one stage.
func (v *validator) checkParameters(key string, w Workspace, p StageParameters) {
	if !slices.Contains(w.Pipelines, p.Pipeline) {
		v.addProblem(key+"pipeline", "%q is not among the workspace's pipelines", p.Pipeline)
		return
	}
	template, found := v.templates[p.Pipeline]
	if !found {
		return // reported by checkPipelines
	}
	i := slices.IndexFunc(template.Stages, func(s Stage) bool { return s.Name == p.Stage })
	if i < 0 {
		v.addProblem(key+"stage", "%q has no stage %q", p.Pipeline, p.Stage)
		return
	}
	v.checkOverrides(key, template.Stages[i], p)
}

// checkOverrides checks the values that replace those of the template's stage.
func (v *validator) checkOverrides(key string, stage Stage, p StageParameters) {
	v.checkRange(key+"max_tokens", p.MaxTokens, 0, MaxTokens)
	v.checkRange(key+"prefix", len(p.Prefix), 0, MaxPrefixBytes)
	if p.Model == "" && p.Version == "" && p.MaxTokens == 0 && p.Prefix == "" {
		v.addProblem(key+"stage", "nothing is set")
	}
	if stage.Kind != KindEngine {
		v.addProblem(key+"stage", "%q is no engine stage, so nothing can be set", stage.Name)
		return
	}
	if p.Model != "" || p.Version != "" {
		v.checkModelDeclared(key, valueOr(p.Model, stage.Model), valueOr(p.Version, stage.Version), stage.Service)
	}
}

// valueOr returns value, or fallback if value is empty.
func valueOr(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

// checkParametersUnique rejects more than one set of parameters for one stage.
func (v *validator) checkParametersUnique(parameters []StageParameters) {
	type stageKey struct{ pipeline, stage string }
	seen := map[stageKey]bool{}
	for i, p := range parameters {
		key := stageKey{p.Pipeline, p.Stage}
		if seen[key] {
			v.addProblem(fmt.Sprintf("stages[%d].stage", i), "%q of %q stands twice", p.Stage, p.Pipeline)
		}
		seen[key] = true
	}
}
