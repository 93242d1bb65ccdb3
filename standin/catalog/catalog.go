// Package catalog reads the operators' configuration files for the callers of a
// trial, who work out from them what answers to expect.
package catalog

import (
	"fmt"

	"github.com/BurntSushi/toml"

	"acaciawinch/core/config"
)

// Catalog is the configuration that a trial runs under.
type Catalog struct {
	Templates  []config.Template  `toml:"templates"`
	Workspaces []config.Workspace `toml:"workspaces"`
}

// Load reads and joins the files.
func Load(paths ...string) (Catalog, error) {
	var all Catalog
	for _, path := range paths {
		var one Catalog
		if _, err := toml.DecodeFile(path, &one); err != nil {
			return Catalog{}, fmt.Errorf("%s: %w", path, err)
		}
		all.Templates = append(all.Templates, one.Templates...)
		all.Workspaces = append(all.Workspaces, one.Workspaces...)
	}
	return all, nil
}

// Template returns the template with the given name.
func (c Catalog) Template(name string) (config.Template, bool) {
	for _, template := range c.Templates {
		if template.Name == name {
			return template, true
		}
	}
	return config.Template{}, false
}

// Workspace returns the workspace with the given name.
func (c Catalog) Workspace(name string) (config.Workspace, bool) {
	for _, workspace := range c.Workspaces {
		if workspace.Name == name {
			return workspace, true
		}
	}
	return config.Workspace{}, false
}
