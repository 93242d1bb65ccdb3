package main

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"github.com/BurntSushi/toml"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/fault"
)

// getCommand prints a configuration or a part of it.
type getCommand struct {
	env       *env
	Revision  uint64 `long:"revision" description:"an earlier revision instead of the one in force"`
	Workspace string `long:"workspace" description:"only this workspace"`
	Template  string `long:"template" description:"only this template"`
}

// configOutput is the JSON output of get.
type configOutput struct {
	Revision core.Revision `json:"revision"`
	ChangeID string        `json:"change_id"`
	fileContent
	Drained []string `json:"drained"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	api, err := c.env.objects()
	if err != nil {
		return err
	}
	snapshot, _, err := snapshotAt(c.env.ctx, api, core.Revision(c.Revision))
	if err != nil {
		return err
	}
	content, err := c.content(snapshot)
	if err != nil {
		return err
	}
	text, err := encodeTOML(snapshot, content)
	if err != nil {
		return err
	}
	value := configOutput{Revision: snapshot.Revision(), ChangeID: snapshot.ChangeID(), fileContent: content,
		Drained: snapshot.Templates().Drained}
	return c.env.print(value, text)
}

// content returns the selected declarations, or all if none are selected.
func (c *getCommand) content(s *config.Snapshot) (fileContent, error) {
	if c.Workspace == "" && c.Template == "" {
		return fullContent(s), nil
	}
	var content fileContent
	if c.Workspace != "" {
		workspace, found := s.Workspace(c.Workspace)
		if !found {
			return content, fault.New(fault.NotFound, "config.get", "", "no workspace %q at revision %d", c.Workspace, s.Revision())
		}
		content.Workspaces = []config.Workspace{workspace}
	}
	if c.Template != "" {
		template, found := s.Template(c.Template)
		if !found {
			return content, fault.New(fault.NotFound, "config.get", "", "no template %q at revision %d", c.Template, s.Revision())
		}
		content.Templates = []config.Template{template}
	}
	return content, nil
}

// fullContent returns all declarations, with the workspaces sorted by name.
func fullContent(s *config.Snapshot) fileContent {
	workspaces := s.Workspaces()
	slices.SortFunc(workspaces, func(a, b config.Workspace) int { return cmp.Compare(a.Name, b.Name) })
	return fileContent{Templates: s.Templates().Templates, Models: s.Templates().Models, Workspaces: workspaces}
}

// encodeTOML returns the content as a TOML file that apply accepts.
func encodeTOML(s *config.Snapshot, content fileContent) (string, error) {
	var text bytes.Buffer
	fmt.Fprintf(&text, "# revision %d, change %s\n", s.Revision(), s.ChangeID())
	for _, upstream := range s.Templates().Drained {
		fmt.Fprintf(&text, "# drained: %s\n", upstream)
	}
	encoder := toml.NewEncoder(&text)
	encoder.Indent = ""
	err := encoder.Encode(content)
	return text.String(), err
}
