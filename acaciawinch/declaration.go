package main

import (
	"errors"
	"os"

	"acaciawinch/core/config"
	"acaciawinch/settings"
)

// fileContent is one operators' file.
type fileContent struct {
	Templates  []config.Template  `toml:"templates,omitempty" json:"templates"`
	Models     []config.Model     `toml:"models,omitempty" json:"models"`
	Workspaces []config.Workspace `toml:"workspaces,omitempty" json:"workspaces"`
}

// declaration is what several files declare together.
type declaration struct {
	fileContent
	// lines tells where a declaration stands, by section and name.
	lines map[place]origin
}

// place is one declaration.
type place struct{ section, name string }

// origin is where a declaration stands.
type origin struct {
	lines *settings.Lines
	// key is the path of the declaration in its file, such as "templates[2]".
	key string
}

// readFiles decodes the files. The error names every problem of every file.
func readFiles(paths []string) (*declaration, error) {
	d := &declaration{lines: map[place]origin{}}
	var problems settings.Problems
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, badInput(err)
		}
		err = d.add(path, data)
		var found settings.Problems
		switch {
		case errors.As(err, &found):
			problems = append(problems, found...)
		case err != nil:
			return nil, badInput(err)
		}
	}
	if len(problems) > 0 {
		return nil, badInput(problems)
	}
	return d, nil
}

// add decodes one file.
func (d *declaration) add(path string, data []byte) error {
	var content fileContent
	lines, err := settings.DecodeLines(path, data, &content)
	if err != nil {
		return err
	}
	for i, t := range content.Templates {
		d.note(lines, config.SectionTemplates, t.Name, i)
	}
	for i, m := range content.Models {
		d.note(lines, config.SectionModels, m.Key(), i)
	}
	for i, w := range content.Workspaces {
		d.note(lines, config.SectionWorkspaces, w.Name, i)
	}
	d.Templates = append(d.Templates, content.Templates...)
	d.Models = append(d.Models, content.Models...)
	d.Workspaces = append(d.Workspaces, content.Workspaces...)
	return nil
}

// note remembers where a declaration stands.
func (d *declaration) note(lines *settings.Lines, section, name string, i int) {
	d.lines[place{section, name}] = origin{lines: lines, key: settings.Element(section, i)}
}

// shared returns the declared templates and models.
func (d *declaration) shared() config.Templates {
	return config.Templates{Templates: d.Templates, Models: d.Models}
}

// change returns the change that puts everything declared.
func (d *declaration) change() config.Change {
	return config.Change{PutTemplates: d.Templates, PutModels: d.Models, PutWorkspaces: d.Workspaces}
}

// located returns the problem with file and line if the files declare its
// subject, and as it is if the store does.
func (d *declaration) located(p config.Problem) string {
	at, found := d.lines[place{p.Section, p.Name}]
	if !found {
		return p.String()
	}
	key := at.key
	if p.Key != "" {
		key += "." + p.Key
	}
	return at.lines.Problem(key, p.Text).String()
}

// check returns an error that names the problems, or nil if there are none.
func (d *declaration) check(problems []config.Problem) error {
	if len(problems) == 0 {
		return nil
	}
	var all []error
	for _, p := range problems {
		all = append(all, errors.New(d.located(p)))
	}
	return badInput(errors.Join(all...))
}
