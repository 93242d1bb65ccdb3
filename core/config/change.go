package config

import (
	"reflect"
	"slices"

	"acaciawinch/core"
)

// Change is an operator's edit of the configuration. Items that it doesn't name stay
// unchanged.
type Change struct {
	PutTemplates     []Template
	RemoveTemplates  []string
	PutModels        []Model
	RemoveModels     []Model
	PutWorkspaces    []Workspace
	RemoveWorkspaces []string
	Drain            []string
	Undrain          []string
}

// Item identifies a template, model, workspace or drained upstream that a change
// touches.
type Item struct {
	// Kind is "template", "model", "workspace" or "drained upstream".
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// String returns the kind and the name.
func (i Item) String() string { return i.Kind + " " + i.Name }

// The kinds of items.
const (
	itemTemplate  = "template"
	itemModel     = "model"
	itemWorkspace = "workspace"
	itemDrained   = "drained upstream"
)

// Change returns the snapshot with the change applied, under a new revision and
// change id. The templates and the shards of the touched workspaces must be loaded.
// The result is not validated.
func (s *Snapshot) Change(c Change, revision core.Revision, id string) *Snapshot {
	next := *s
	next.revision, next.changeID = revision, id
	if c.touchesShared() {
		next.setTemplates(c.templates(s.templates))
	}
	next.editWorkspaces(c.PutWorkspaces, c.RemoveWorkspaces)
	return &next
}

// TouchesTemplates reports whether the change touches templates or models, to which
// workspaces refer.
func (c Change) TouchesTemplates() bool {
	return len(c.PutTemplates)+len(c.RemoveTemplates)+len(c.PutModels)+len(c.RemoveModels) > 0
}

// touchesShared reports whether the change touches anything but workspaces.
func (c Change) touchesShared() bool {
	return c.TouchesTemplates() || len(c.Drain)+len(c.Undrain) > 0
}

// templates returns t, the part that all workspaces share, with the change applied.
func (c Change) templates(t Templates) Templates {
	return Templates{
		Templates: merge(t.Templates, c.PutTemplates, c.RemoveTemplates, func(x Template) string { return x.Name }),
		Models:    merge(t.Models, c.PutModels, modelKeys(c.RemoveModels), Model.Key),
		Drained:   merge(t.Drained, c.Drain, c.Undrain, func(name string) string { return name }),
	}
}

// merge returns values without those whose key is in removed or that put replaces,
// followed by put.
func merge[T any](values, put []T, removed []string, key func(T) string) []T {
	gone := map[string]bool{}
	for _, name := range removed {
		gone[name] = true
	}
	for _, value := range put {
		gone[key(value)] = true
	}
	var merged []T
	for _, value := range values {
		if !gone[key(value)] {
			merged = append(merged, value)
		}
	}
	return append(merged, put...)
}

// modelKeys returns the keys of models.
func modelKeys(models []Model) []string {
	keys := make([]string, len(models))
	for i, m := range models {
		keys[i] = m.Key()
	}
	return keys
}

// Empty reports whether the change touches nothing.
func (c Change) Empty() bool {
	return !c.touchesShared() && len(c.PutWorkspaces)+len(c.RemoveWorkspaces) == 0
}

// Shards returns the indexes of the shards that the change touches, in order.
func (c Change) Shards() []int {
	var shards []int
	for _, w := range c.PutWorkspaces {
		shards = append(shards, ShardOf(w.Name))
	}
	for _, name := range c.RemoveWorkspaces {
		shards = append(shards, ShardOf(name))
	}
	slices.Sort(shards)
	return slices.Compact(shards)
}

// Compare returns the change from one snapshot to another. It leaves out shards that
// are not loaded in both of them.
func Compare(from, to *Snapshot) Change {
	c := Change{}
	if from.templatesHash != to.templatesHash {
		c.compareTemplates(from.templates, to.templates)
	}
	d := Delta{}
	for i := range to.shards {
		if from.shards[i].loaded && to.shards[i].loaded {
			d.addShardDiff(from.shards[i], to.shards[i])
		}
	}
	c.PutWorkspaces, c.RemoveWorkspaces = d.Workspaces, d.Removed
	return c
}

// compareTemplates adds the differences between two versions of the part that all
// workspaces share.
func (c *Change) compareTemplates(from, to Templates) {
	templateName := func(t Template) string { return t.Name }
	self := func(name string) string { return name }
	c.PutTemplates = addedOrChanged(from.Templates, to.Templates, templateName)
	c.RemoveTemplates = keysOf(removedValues(from.Templates, to.Templates, templateName), templateName)
	c.PutModels = addedOrChanged(from.Models, to.Models, Model.Key)
	c.RemoveModels = removedValues(from.Models, to.Models, Model.Key)
	c.Drain = addedOrChanged(from.Drained, to.Drained, self)
	c.Undrain = removedValues(from.Drained, to.Drained, self)
}

// addedOrChanged returns the values of to that from lacks or has with other content.
func addedOrChanged[T any](from, to []T, key func(T) string) []T {
	var found []T
	for _, value := range to {
		old, ok := find(from, key(value), key)
		if !ok || !reflect.DeepEqual(old, value) {
			found = append(found, value)
		}
	}
	return found
}

// removedValues returns the values of from whose key is not in to.
func removedValues[T any](from, to []T, key func(T) string) []T {
	var found []T
	for _, value := range from {
		if _, ok := find(to, key(value), key); !ok {
			found = append(found, value)
		}
	}
	return found
}

// keysOf returns the keys of values.
func keysOf[T any](values []T, key func(T) string) []string {
	var names []string
	for _, value := range values {
		names = append(names, key(value))
	}
	return names
}

// Prune returns the change c extended by the removal of every template, model and
// workspace of s that c doesn't put, so that only those that c puts remain.
func (s *Snapshot) Prune(c Change) Change {
	wanted := NewSnapshot(s.revision, s.changeID,
		Templates{Templates: c.PutTemplates, Models: c.PutModels, Drained: s.templates.Drained}, c.PutWorkspaces)
	removed := Compare(s, wanted)
	c.RemoveTemplates, c.RemoveModels, c.RemoveWorkspaces = removed.RemoveTemplates, removed.RemoveModels, removed.RemoveWorkspaces
	return c
}
