// Package catalog reads the operators' configuration files for the callers of a
// trial, which derive from them the responses to expect.
package catalog

import (
	"fmt"

	"github.com/BurntSushi/toml"

	"acaciawinch/core/config"
)

// Catalog is the configuration of a trial.
type Catalog struct {
	Templates  []config.Template  `toml:"templates"`
	Workspaces []config.Workspace `toml:"workspaces"`
}

// Load reads the files at the given paths and merges them in order.
func Load(paths ...string) (Catalog, error) {
	var merged Catalog
	for _, path := range paths {
		var part Catalog
		if _, err := toml.DecodeFile(path, &part); err != nil {
			return Catalog{}, fmt.Errorf("%s: %w", path, err)
		}
		merged.Templates = append(merged.Templates, part.Templates...)
		merged.Workspaces = append(merged.Workspaces, part.Workspaces...)
	}
	return merged, nil
}

// Template returns the template with the given name, and whether it exists.
func (c Catalog) Template(name string) (config.Template, bool) {
	for _, template := range c.Templates {
		if template.Name == name {
			return template, true
		}
	}
	return config.Template{}, false
}

// Workspace returns the workspace with the given name, and whether it exists.
func (c Catalog) Workspace(name string) (config.Workspace, bool) {
	for _, workspace := range c.Workspaces {
		if workspace.Name == name {
			return workspace, true
		}
	}
	return config.Workspace{}, false
}
