package config

import (
	"fmt"
	"slices"
)

// workspace checks one workspace.
func (v *validator) workspace(w Workspace) {
	v.begin(SectionWorkspaces, w.Name)
	v.isName("name", w.Name)
	v.inRange("weight", w.Weight, 1, MaxWeight)
	v.inRange("priority", w.Priority, MinPriority, MaxPriority)
	v.inRange("deadline_ms", w.DeadlineMS, 0, MaxDeadlineMS)
	v.inRange("max_in_flight", w.MaxInFlight, 0, MaxInFlightLimit)
	v.pipelines(w)
	if len(w.Stages) > MaxStageParameters {
		v.reject("stages", "%d are declared, at most %d are allowed", len(w.Stages), MaxStageParameters)
	}
	for i, p := range w.Stages {
		v.parameters(fmt.Sprintf("stages[%d].", i), w, p)
	}
	v.repeated(w.Stages)
}

// pipelines checks which templates a workspace may call.
func (v *validator) pipelines(w Workspace) {
	if len(w.Pipelines) < 1 || len(w.Pipelines) > MaxPipelines {
		v.reject("pipelines", "must be 1 to %d, are %d", MaxPipelines, len(w.Pipelines))
	}
	for i, name := range w.Pipelines {
		key := fmt.Sprintf("pipelines[%d]", i)
		if slices.Contains(w.Pipelines[:i], name) {
			v.reject(key, "%q stands twice", name)
		}
		template, found := v.templates[name]
		if !found {
			v.reject(key, "no template is named %q", name)
			continue
		}
		if w.DeadlineMS > template.MaxDeadlineMS {
			v.reject("deadline_ms", "is %d, but %q allows at most %d", w.DeadlineMS, name, template.MaxDeadlineMS)
		}
	}
}

// parameters checks what a workspace sets for one stage.
func (v *validator) parameters(key string, w Workspace, p StageParameters) {
	if !slices.Contains(w.Pipelines, p.Pipeline) {
		v.reject(key+"pipeline", "%q is not among the workspace's pipelines", p.Pipeline)
		return
	}
	template, found := v.templates[p.Pipeline]
	if !found {
		return // Reported by pipelines.
	}
	i := slices.IndexFunc(template.Stages, func(s Stage) bool { return s.Name == p.Stage })
	if i < 0 {
		v.reject(key+"stage", "%q has no stage %q", p.Pipeline, p.Stage)
		return
	}
	v.overrides(key, template.Stages[i], p)
}

// overrides checks what replaces the template's values of a stage.
func (v *validator) overrides(key string, stage Stage, p StageParameters) {
	v.inRange(key+"max_tokens", p.MaxTokens, 0, MaxTokens)
	v.inRange(key+"prefix", len(p.Prefix), 0, MaxPrefixBytes)
	if p.Model == "" && p.Version == "" && p.MaxTokens == 0 && p.Prefix == "" {
		v.reject(key+"stage", "nothing is set")
	}
	if stage.Kind != KindEngine {
		v.reject(key+"stage", "%q is no engine stage, so nothing can be set", stage.Name)
		return
	}
	if p.Model != "" || p.Version != "" {
		v.isDeclared(key, either(p.Model, stage.Model), either(p.Version, stage.Version), stage.Service)
	}
}

// either returns value, or fallback if it is empty.
func either(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

// repeated rejects parameters that are set twice for one stage.
func (v *validator) repeated(parameters []StageParameters) {
	type place struct{ pipeline, stage string }
	seen := map[place]bool{}
	for i, p := range parameters {
		at := place{p.Pipeline, p.Stage}
		if seen[at] {
			v.reject(fmt.Sprintf("stages[%d].stage", i), "%q of %q stands twice", p.Stage, p.Pipeline)
		}
		seen[at] = true
	}
}
