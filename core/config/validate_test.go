package config

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// validTemplates returns a template with a pool stage, a non-idempotent service stage
// and an engine stage, and the model of the engine stage.
func validTemplates() Templates {
	return Templates{
		Models: []Model{{Name: "m", Version: "1", Service: "llm", Replicas: 2}},
		Templates: []Template{{Name: "t", DeadlineMS: 3000, MaxDeadlineMS: 5000, Stages: []Stage{
			{Name: "encode", Service: "encoders", Kind: KindPool, ExpectedMS: 10},
			{Name: "pay", Service: "bank", Kind: KindService, NonIdempotent: true},
			{Name: "write", Service: "llm", Kind: KindEngine, Model: "m", Version: "1", MaxTokens: 8},
		}}},
	}
}

// validWorkspace returns a workspace that sets a token limit for the engine stage.
func validWorkspace() Workspace {
	return Workspace{Name: "w", Weight: 1, Pipelines: []string{"t"},
		Stages: []StageParameters{{Pipeline: "t", Stage: "write", MaxTokens: 4}}}
}

func TestValidateAcceptsAValidConfiguration(t *testing.T) {
	s := NewSnapshot(1, "c", validTemplates(), []Workspace{validWorkspace()})
	assert.Equal(t, len(s.Validate()), 0, "%v", s.Validate())
}

func TestValidateNamesTheBrokenRule(t *testing.T) {
	stage := func(i int, change func(*Stage)) func(*Templates, *Workspace) {
		return func(x *Templates, _ *Workspace) { change(&x.Templates[0].Stages[i]) }
	}
	template := func(change func(*Template)) func(*Templates, *Workspace) {
		return func(x *Templates, _ *Workspace) { change(&x.Templates[0]) }
	}
	workspace := func(change func(*Workspace)) func(*Templates, *Workspace) {
		return func(_ *Templates, w *Workspace) { change(w) }
	}
	cases := []struct {
		want       string
		invalidate func(*Templates, *Workspace)
	}{
		{"templates t stages: must be 3 to 6, are 2", template(func(x *Template) { x.Stages = x.Stages[:2]; x.Stages[0].Name = "write" })},
		{"templates t stages: must be 3 to 6, are 7", template(func(x *Template) {
			for i := range 4 {
				x.Stages = append(x.Stages, Stage{Name: fmt.Sprint("x", i), Service: "s", Kind: KindPool})
			}
		})},
		{"templates T name: must be 1 to 63 lower-case", template(func(x *Template) { x.Name = "T" })},
		{"templates t deadline_ms: must be 1 to 5000, is 5001", template(func(x *Template) { x.DeadlineMS = 5001 })},
		{"templates t max_deadline_ms: must be 1 to 60000, is 60001", template(func(x *Template) { x.MaxDeadlineMS = 60001 })},
		{"templates t deadline_ms: is 3000, but the stages are expected to take 3011", stage(1, func(s *Stage) { s.ExpectedMS = 3001 })},
		{`templates t stages[0].kind: must be "engine", "pool" or "service", is "x"`, stage(0, func(s *Stage) { s.Kind = "x" })},
		{`templates t stages[1].name: "encode" stands twice`, stage(1, func(s *Stage) { s.Name = "encode" })},
		{"templates t stages[0].non_idempotent: only service stages", stage(0, func(s *Stage) { s.NonIdempotent = true })},
		{"templates t stages[2].non_idempotent: a generation changes nothing", stage(2, func(s *Stage) { s.NonIdempotent = true })},
		{"templates t stages[2].model: missing", stage(2, func(s *Stage) { s.Model = "" })},
		{"templates t stages[2].version: missing", stage(2, func(s *Stage) { s.Version = "" })},
		{"templates t stages[2].model: m@2 on llm is not among", stage(2, func(s *Stage) { s.Version = "2" })},
		{"templates t stages[2].max_tokens: must be 1 to 8192, is 0", stage(2, func(s *Stage) { s.MaxTokens = 0 })},
		{"templates t stages[0].model: only engine stages", stage(0, func(s *Stage) { s.Model = "m" })},
		{"templates t stages[0].max_tokens: only engine stages", stage(0, func(s *Stage) { s.MaxTokens = 1 })},
		{"templates t name: stands twice", func(x *Templates, _ *Workspace) { x.Templates = append(x.Templates, x.Templates[0]) }},
		{"models m@1 on llm replicas: must be 1 to 10000, is 0", func(x *Templates, _ *Workspace) { x.Models[0].Replicas = 0 }},
		{"drained U: must be 1 to 63 lower-case", func(x *Templates, _ *Workspace) { x.Drained = []string{"U"} }},
		{"workspaces w weight: must be 1 to 1000, is 0", workspace(func(w *Workspace) { w.Weight = 0 })},
		{"workspaces w priority: must be -10 to 10, is 11", workspace(func(w *Workspace) { w.Priority = 11 })},
		{"workspaces w max_in_flight: must be 0 to", workspace(func(w *Workspace) { w.MaxInFlight = -1 })},
		{"workspaces w pipelines: must be 1 to 16, are 0", workspace(func(w *Workspace) { w.Pipelines, w.Stages = nil, nil })},
		{`workspaces w pipelines[1]: no template is named "u"`, workspace(func(w *Workspace) { w.Pipelines = []string{"t", "u"} })},
		{`workspaces w pipelines[1]: "t" stands twice`, workspace(func(w *Workspace) { w.Pipelines = []string{"t", "t"} })},
		{`workspaces w deadline_ms: is 6000, but "t" allows at most 5000`, workspace(func(w *Workspace) { w.DeadlineMS = 6000 })},
		{`workspaces w stages[0].pipeline: "u" is not among`, workspace(func(w *Workspace) { w.Stages[0].Pipeline = "u" })},
		{`workspaces w stages[0].stage: "t" has no stage "none"`, workspace(func(w *Workspace) { w.Stages[0].Stage = "none" })},
		{`workspaces w stages[0].stage: "pay" is no engine stage`, workspace(func(w *Workspace) { w.Stages[0].Stage = "pay" })},
		{"workspaces w stages[0].stage: nothing is set", workspace(func(w *Workspace) { w.Stages[0].MaxTokens = 0 })},
		{"workspaces w stages[0].model: m@9 on llm is not among", workspace(func(w *Workspace) { w.Stages[0].Version = "9" })},
		{"workspaces w stages[0].prefix: must be 0 to 2048", workspace(func(w *Workspace) { w.Stages[0].Prefix = strings.Repeat("x", 2049) })},
		{`workspaces w stages[1].stage: "write" of "t" stands twice`, workspace(func(w *Workspace) { w.Stages = append(w.Stages, w.Stages[0]) })},
	}
	for _, c := range cases {
		t.Run(c.want, func(t *testing.T) {
			templates, w := validTemplates(), validWorkspace()
			c.invalidate(&templates, &w)
			problems := NewSnapshot(1, "c", templates, []Workspace{w}).Validate()
			matches := func(p Problem) bool { return strings.HasPrefix(p.String(), c.want) }
			assert.Assert(t, slices.ContainsFunc(problems, matches), "%v", problems)
		})
	}
}

func TestValidateRejectsAShardThatDoesNotFitAnObject(t *testing.T) {
	var workspaces []Workspace
	for i := 0; len(workspaces) < 600; i++ {
		w := validWorkspace()
		w.Name = fmt.Sprint("w", i)
		w.Stages[0].Prefix = strings.Repeat("x", MaxPrefixBytes)
		if ShardOf(w.Name) == 0 {
			workspaces = append(workspaces, w)
		}
	}
	problems := NewSnapshot(1, "c", validTemplates(), workspaces).Validate()
	assert.Equal(t, len(problems), 1)
	assert.Assert(t, strings.Contains(problems[0].Text, "the 600 workspaces of shard 0 take"))
}

func TestRepeatedNamesAreFoundInAChange(t *testing.T) {
	w := validWorkspace()
	problems := Change{PutWorkspaces: []Workspace{w, w}}.ValidateUnique()
	assert.DeepEqual(t, problems, []Problem{{Section: SectionWorkspaces, Name: "w", Key: "name", Text: "stands twice"}})
}
