package config

import (
	"cmp"
	"slices"
)

// itemEdits maps each item that a change touches to its new content in canonical
// JSON, or to "" if the change removes it.
type itemEdits map[Item]string

// addRemovals records that the named items are removed.
func (e itemEdits) addRemovals(kind string, names []string) {
	for _, name := range names {
		e[Item{kind, name}] = ""
	}
}

// edits returns the effect of the change on each item. As in Snapshot.Change, an
// item that is both removed and put is put.
func (c Change) edits() itemEdits {
	e := itemEdits{}
	e.addRemovals(itemTemplate, c.RemoveTemplates)
	e.addRemovals(itemModel, modelKeys(c.RemoveModels))
	e.addRemovals(itemWorkspace, c.RemoveWorkspaces)
	e.addRemovals(itemDrained, c.Undrain)
	for _, t := range c.PutTemplates {
		e[Item{itemTemplate, t.Name}] = string(encode(t))
	}
	for _, m := range c.PutModels {
		e[Item{itemModel, m.Key()}] = string(encode(m))
	}
	for _, w := range c.PutWorkspaces {
		e[Item{itemWorkspace, w.Name}] = string(encode(w))
	}
	for _, name := range c.Drain {
		e[Item{itemDrained, name}] = "drained"
	}
	return e
}

// Items returns the items that the change touches, in order of kind and name.
func (c Change) Items() []Item {
	var items []Item
	for item := range c.edits() {
		items = append(items, item)
	}
	sortItems(items)
	return items
}

// Overlap returns the items that both changes touch with different results. Two
// operators who make the same edit to an item don't conflict.
func Overlap(own, other Change) []Item {
	otherEdits := other.edits()
	var items []Item
	for item, content := range own.edits() {
		if otherContent, touched := otherEdits[item]; touched && otherContent != content {
			items = append(items, item)
		}
	}
	sortItems(items)
	return items
}

// sortItems sorts items by kind and name.
func sortItems(items []Item) {
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
}
