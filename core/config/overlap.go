package config

import (
	"cmp"
	"slices"
)

// edit is what a change does to one item: its new content in canonical JSON, or
// "" if it is removed.
type edit map[Item]string

// remove notes that items are removed.
func (e edit) remove(kind string, names []string) {
	for _, name := range names {
		e[Item{kind, name}] = ""
	}
}

// edits returns what the change does, by item. As in Snapshot.Change, what is
// both removed and put is put.
func (c Change) edits() edit {
	e := edit{}
	e.remove(itemTemplate, c.RemoveTemplates)
	e.remove(itemModel, modelKeys(c.RemoveModels))
	e.remove(itemWorkspace, c.RemoveWorkspaces)
	e.remove(itemDrained, c.Undrain)
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

// Items returns what the change touches, in order of kind and name.
func (c Change) Items() []Item {
	var items []Item
	for item := range c.edits() {
		items = append(items, item)
	}
	sortItems(items)
	return items
}

// Overlap returns the items that both changes touch in different ways. Two
// operators who want the same of an item don't clash.
func Overlap(mine, theirs Change) []Item {
	other := theirs.edits()
	var items []Item
	for item, content := range mine.edits() {
		if theirContent, touched := other[item]; touched && theirContent != content {
			items = append(items, item)
		}
	}
	sortItems(items)
	return items
}

// sortItems orders items by kind and name.
func sortItems(items []Item) {
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
}
