package config

import (
	"fmt"
	"slices"
)

// The sections of a configuration, as they stand in the operators' files.
const (
	SectionTemplates  = "templates"
	SectionModels     = "models"
	SectionWorkspaces = "workspaces"
	SectionDrained    = "drained"
)

// Problem is one broken rule of a configuration.
type Problem struct {
	// Section and Name tell which declaration is at fault: Name is the name of a
	// template or workspace, the Key of a model, or an upstream.
	Section string `json:"section"`
	Name    string `json:"name"`
	// Key is the path below the declaration, such as "stages[1].kind"; it may be empty.
	Key string `json:"key,omitempty"`
	// Text says what is wrong, for people.
	Text string `json:"text"`
}

// String returns section, name, key and text.
func (p Problem) String() string {
	place := p.Section + " " + p.Name
	if p.Key != "" {
		place += " " + p.Key
	}
	return place + ": " + p.Text
}

// Validate returns every broken rule of the templates, the models, the drained
// upstreams and those workspaces that are loaded.
func (s *Snapshot) Validate() []Problem {
	v := newValidator(s.templates)
	v.shared()
	for i, shard := range s.shards {
		for _, w := range shard.workspaces {
			v.workspace(w)
		}
		v.shardSize(i, shard)
	}
	return v.problems
}

// ValidateDeclared is Validate for a list of workspaces as declared, in which a
// name may stand twice.
func ValidateDeclared(templates Templates, workspaces []Workspace) []Problem {
	v := newValidator(templates)
	v.shared()
	v.unique(SectionWorkspaces, keys(workspaces, workspaceName))
	for _, w := range workspaces {
		v.workspace(w)
	}
	return v.problems
}

// Repeated returns a problem for each name that the change puts twice: which of
// the two is meant can't be known.
func (c Change) Repeated() []Problem {
	v := newValidator(Templates{Templates: c.PutTemplates, Models: c.PutModels, Drained: c.Drain})
	v.names()
	v.unique(SectionWorkspaces, keys(c.PutWorkspaces, workspaceName))
	return v.problems
}

// validator collects problems of one configuration.
type validator struct {
	shape     Templates
	templates map[string]Template
	// models holds the declared ones as "name@version on service".
	models   map[string]bool
	problems []Problem
	// section and name are those of the declaration under check.
	section, name string
}

// newValidator returns a validator of workspaces that refer to templates.
func newValidator(shared Templates) *validator {
	v := &validator{shape: shared, templates: map[string]Template{}, models: map[string]bool{}}
	for _, t := range shared.Templates {
		v.templates[t.Name] = t
	}
	for _, m := range shared.Models {
		v.models[m.Key()] = true
	}
	return v
}

// begin sets the declaration that problems are recorded for.
func (v *validator) begin(section, name string) { v.section, v.name = section, name }

// reject records a problem.
func (v *validator) reject(key, format string, args ...any) {
	v.problems = append(v.problems, Problem{v.section, v.name, key, fmt.Sprintf(format, args...)})
}

// inRange rejects a number outside low to high.
func (v *validator) inRange(key string, value, low, high int) {
	if value < low || value > high {
		v.reject(key, "must be %d to %d, is %d", low, high, value)
	}
}

// isName rejects a text that is no name.
func (v *validator) isName(key, text string) {
	if !namePattern.MatchString(text) {
		v.reject(key, "must be 1 to 63 lower-case letters, digits and hyphens, is %q", text)
	}
}

// isModel rejects a text that is no model name or version.
func (v *validator) isModel(key, text string) {
	if !modelPattern.MatchString(text) {
		v.reject(key, "must be 1 to 63 letters, digits, dots, underscores and hyphens, is %q", text)
	}
}

// unique rejects names that stand twice.
func (v *validator) unique(section string, names []string) {
	sorted := slices.Sorted(slices.Values(names))
	for i := 1; i < len(sorted); i++ {
		if sorted[i] == sorted[i-1] && (i == 1 || sorted[i] != sorted[i-2]) {
			v.begin(section, sorted[i])
			v.reject("name", "stands twice")
		}
	}
}

// shared checks all but the workspaces.
func (v *validator) shared() {
	v.names()
	v.counts()
	for _, t := range v.shape.Templates {
		v.template(t)
	}
	for _, m := range v.shape.Models {
		v.model(m)
	}
	for _, upstream := range v.shape.Drained {
		v.begin(SectionDrained, upstream)
		v.isName("", upstream)
	}
}

// names rejects what is declared twice.
func (v *validator) names() {
	v.unique(SectionTemplates, keys(v.shape.Templates, func(t Template) string { return t.Name }))
	v.unique(SectionModels, modelKeys(v.shape.Models))
	v.unique(SectionDrained, v.shape.Drained)
}

// counts bounds how many declarations there are.
func (v *validator) counts() {
	for _, section := range []struct {
		name        string
		count, most int
	}{
		{SectionTemplates, len(v.shape.Templates), MaxTemplates},
		{SectionModels, len(v.shape.Models), MaxModels},
		{SectionDrained, len(v.shape.Drained), MaxDrained},
	} {
		if section.count > section.most {
			v.begin(section.name, "")
			v.reject("", "%d are declared, at most %d are allowed", section.count, section.most)
		}
	}
}

// model checks one model version.
func (v *validator) model(m Model) {
	v.begin(SectionModels, m.Key())
	v.isModel("name", m.Name)
	v.isModel("version", m.Version)
	v.isName("service", m.Service)
	v.inRange("replicas", m.Replicas, 1, MaxReplicas)
}

// shardSize rejects a shard that doesn't fit one object.
func (v *validator) shardSize(i int, shard *Shard) {
	size := len(encodeShard(shard.workspaces).Data)
	if size > MaxShardBytes {
		v.begin(SectionWorkspaces, shard.workspaces[0].Name)
		v.reject("", "the %d workspaces of shard %d take %d bytes, at most %d are allowed", len(shard.workspaces), i, size, MaxShardBytes)
	}
}
