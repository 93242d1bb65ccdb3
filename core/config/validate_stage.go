package config

import "fmt"

// checkTemplate checks one template and its stages.
func (v *validator) checkTemplate(t Template) {
	v.setDeclaration(SectionTemplates, t.Name)
	v.checkName("name", t.Name)
	v.checkRange("max_deadline_ms", t.MaxDeadlineMS, 1, MaxDeadlineMS)
	v.checkRange("deadline_ms", t.DeadlineMS, 1, max(t.MaxDeadlineMS, 1))
	if len(t.Stages) < MinStages || len(t.Stages) > MaxStages {
		v.addProblem("stages", "must be %d to %d, are %d", MinStages, MaxStages, len(t.Stages))
	}
	seen := map[string]bool{}
	expected := 0
	for i, stage := range t.Stages {
		key := fmt.Sprintf("stages[%d].", i)
		if seen[stage.Name] {
			v.addProblem(key+"name", "%q stands twice", stage.Name)
		}
		seen[stage.Name] = true
		expected += stage.ExpectedMS
		v.checkStage(key, stage)
	}
	if expected > t.DeadlineMS {
		v.addProblem("deadline_ms", "is %d, but the stages are expected to take %d", t.DeadlineMS, expected)
	}
}

// checkStage checks one stage of a template. The argument key is the stage's path below
// the template.
func (v *validator) checkStage(key string, s Stage) {
	v.checkName(key+"name", s.Name)
	v.checkName(key+"service", s.Service)
	v.checkRange(key+"expected_ms", s.ExpectedMS, 0, MaxDeadlineMS)
	switch s.Kind {
	case KindEngine:
		v.checkEngineStage(key, s)
	case KindPool, KindService:
		v.checkOtherStage(key, s)
	default:
		v.addProblem(key+"kind", "must be %q, %q or %q, is %q", KindEngine, KindPool, KindService, s.Kind)
	}
}

// checkEngineStage checks the settings that only a stage on a model engine has.
func (v *validator) checkEngineStage(key string, s Stage) {
	v.checkRange(key+"max_tokens", s.MaxTokens, 1, MaxTokens)
	v.checkModelDeclared(key, s.Model, s.Version, s.Service)
	if s.NonIdempotent {
		v.addProblem(key+"non_idempotent", "a generation changes nothing and may be repeated; mark the stage of the service that acts")
	}
}

// checkModelDeclared rejects a model version that is not declared for the service,
// because no engine loads it.
func (v *validator) checkModelDeclared(key, model, version, service string) {
	if model == "" {
		v.addProblem(key+"model", "missing: an engine stage names its model")
		return
	}
	if version == "" {
		v.addProblem(key+"version", "missing: an engine stage names its model's version")
		return
	}
	if m := (Model{Name: model, Version: version, Service: service}); !v.models[m.Key()] {
		v.addProblem(key+"model", "%s is not among the declared models", m.Key())
	}
}

// checkOtherStage checks a pool or service stage: it rejects the settings of other
// kinds of stages.
func (v *validator) checkOtherStage(key string, s Stage) {
	if s.Model != "" || s.Version != "" {
		v.addProblem(key+"model", "only engine stages have a model")
	}
	if s.MaxTokens != 0 {
		v.addProblem(key+"max_tokens", "only engine stages have a token limit")
	}
	if s.Kind == KindPool && s.NonIdempotent {
		v.addProblem(key+"non_idempotent", "only service stages may be non-idempotent")
	}
}
