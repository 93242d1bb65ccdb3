package config

import (
	"fmt"
	"slices"
)

// The sections of a configuration, as they are named in the operators' files.
const (
	SectionTemplates  = "templates"
	SectionModels     = "models"
	SectionWorkspaces = "workspaces"
	SectionDrained    = "drained"
)

// Problem is one violated rule of a configuration.
type Problem struct {
	// Section and Name identify the declaration at fault: Name is the name of a
	// template or workspace, the Key of a model, or an upstream.
	Section string `json:"section"`
	Name    string `json:"name"`
	// Key is the path below the declaration, such as "stages[1].kind"; it may be empty.
	Key string `json:"key,omitempty"`
	// Text describes the problem to the operator.
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

// Validate returns every violated rule of the templates, the models, the drained
// upstreams and the loaded workspaces.
func (s *Snapshot) Validate() []Problem {
	v := newValidator(s.templates)
	v.checkShared()
	for i, shard := range s.shards {
		for _, w := range shard.workspaces {
			v.checkWorkspace(w)
		}
		v.checkShardSize(i, shard)
	}
	return v.problems
}

// ValidateDeclared is like Validate, but for a list of workspaces as declared, which
// may contain a name twice. It doesn't check the sizes of shards.
func ValidateDeclared(templates Templates, workspaces []Workspace) []Problem {
	v := newValidator(templates)
	v.checkShared()
	v.checkUnique(SectionWorkspaces, keysOf(workspaces, workspaceName))
	for _, w := range workspaces {
		v.checkWorkspace(w)
	}
	return v.problems
}

// ValidateUnique returns a problem for each name that the change puts more than once, as
// it is not known which of the declarations is meant.
func (c Change) ValidateUnique() []Problem {
	v := newValidator(Templates{Templates: c.PutTemplates, Models: c.PutModels, Drained: c.Drain})
	v.checkNamesUnique()
	v.checkUnique(SectionWorkspaces, keysOf(c.PutWorkspaces, workspaceName))
	return v.problems
}

// validator collects problems of one configuration.
type validator struct {
	declared  Templates
	templates map[string]Template
	// models holds the declared models as "name@version on service".
	models   map[string]bool
	problems []Problem
	// section and name identify the declaration that is being checked.
	section, name string
}

// newValidator returns a validator of the part that all workspaces share, and of
// workspaces that refer to it.
func newValidator(shared Templates) *validator {
	v := &validator{declared: shared, templates: map[string]Template{}, models: map[string]bool{}}
	for _, t := range shared.Templates {
		v.templates[t.Name] = t
	}
	for _, m := range shared.Models {
		v.models[m.Key()] = true
	}
	return v
}

// setDeclaration sets the declaration for which problems are recorded from now on.
func (v *validator) setDeclaration(section, name string) { v.section, v.name = section, name }

// addProblem records a problem.
func (v *validator) addProblem(key, format string, args ...any) {
	v.problems = append(v.problems, Problem{v.section, v.name, key, fmt.Sprintf(format, args...)})
}

// checkRange rejects a value that is not in the range from low to high, inclusive.
func (v *validator) checkRange(key string, value, low, high int) {
	if value < low || value > high {
		v.addProblem(key, "must be %d to %d, is %d", low, high, value)
	}
}

// checkName rejects a text that is not a valid name.
func (v *validator) checkName(key, text string) {
	if !namePattern.MatchString(text) {
		v.addProblem(key, "must be 1 to 63 lower-case letters, digits and hyphens, is %q", text)
	}
}

// checkModelName rejects a text that is not a valid model name or version.
func (v *validator) checkModelName(key, text string) {
	if !modelPattern.MatchString(text) {
		v.addProblem(key, "must be 1 to 63 letters, digits, dots, underscores and hyphens, is %q", text)
	}
}

// checkUnique records one problem for each name that occurs more than once.
func (v *validator) checkUnique(section string, names []string) {
	sorted := slices.Sorted(slices.Values(names))
	for i := 1; i < len(sorted); i++ {
		if sorted[i] == sorted[i-1] && (i == 1 || sorted[i] != sorted[i-2]) {
			v.setDeclaration(section, sorted[i])
			v.addProblem("name", "stands twice")
		}
	}
}

// checkShared checks everything but the workspaces.
func (v *validator) checkShared() {
	v.checkNamesUnique()
	v.checkCounts()
	for _, t := range v.declared.Templates {
		v.checkTemplate(t)
	}
	for _, m := range v.declared.Models {
		v.checkModel(m)
	}
	for _, upstream := range v.declared.Drained {
		v.setDeclaration(SectionDrained, upstream)
		v.checkName("", upstream)
	}
}

// checkNamesUnique rejects templates, models and drained upstreams that are declared
// more than once.
func (v *validator) checkNamesUnique() {
	v.checkUnique(SectionTemplates, keysOf(v.declared.Templates, func(t Template) string { return t.Name }))
	v.checkUnique(SectionModels, modelKeys(v.declared.Models))
	v.checkUnique(SectionDrained, v.declared.Drained)
}

// checkCounts bounds the number of declarations in each shared section.
func (v *validator) checkCounts() {
	for _, section := range []struct {
		name         string
		count, limit int
	}{
		{SectionTemplates, len(v.declared.Templates), MaxTemplates},
		{SectionModels, len(v.declared.Models), MaxModels},
		{SectionDrained, len(v.declared.Drained), MaxDrained},
	} {
		if section.count > section.limit {
			v.setDeclaration(section.name, "")
			v.addProblem("", "%d are declared, at most %d are allowed", section.count, section.limit)
		}
	}
}

// checkModel checks the declaration of one model version.
func (v *validator) checkModel(m Model) {
	v.setDeclaration(SectionModels, m.Key())
	v.checkModelName("name", m.Name)
	v.checkModelName("version", m.Version)
	v.checkName("service", m.Service)
	v.checkRange("replicas", m.Replicas, 1, MaxReplicas)
}

// checkShardSize rejects a shard that doesn't fit into one object.
func (v *validator) checkShardSize(i int, shard *Shard) {
	size := len(encodeShard(shard.workspaces).Data)
	if size > MaxShardBytes {
		v.setDeclaration(SectionWorkspaces, shard.workspaces[0].Name)
		v.addProblem("", "the %d workspaces of shard %d take %d bytes, at most %d are allowed", len(shard.workspaces), i, size, MaxShardBytes)
	}
}
