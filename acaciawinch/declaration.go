package main

import (
	"errors"
	"os"

	"acaciawinch/core/config"
	"acaciawinch/settings"
)

// fileContent is the content of one declaration file.
type fileContent struct {
	Templates  []config.Template  `toml:"templates,omitempty" json:"templates"`
	Models     []config.Model     `toml:"models,omitempty" json:"models"`
	Workspaces []config.Workspace `toml:"workspaces,omitempty" json:"workspaces"`
}

// declaration holds the declarations of several files.
type declaration struct {
	fileContent
	// locations holds the location of each declaration.
	locations map[declarationKey]location
}

// declarationKey identifies a declaration by section and name.
type declarationKey struct{ section, name string }

// location is the file and key of a declaration.
type location struct {
	lines *settings.Lines
	// key is the path of the declaration in its file, such as "templates[2]".
	key string
}

// readFiles decodes the files. The error lists every problem of every file.
func readFiles(paths []string) (*declaration, error) {
	d := &declaration{locations: map[declarationKey]location{}}
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
		d.recordLocation(lines, config.SectionTemplates, t.Name, i)
	}
	for i, m := range content.Models {
		d.recordLocation(lines, config.SectionModels, m.Key(), i)
	}
	for i, w := range content.Workspaces {
		d.recordLocation(lines, config.SectionWorkspaces, w.Name, i)
	}
	d.Templates = append(d.Templates, content.Templates...)
	d.Models = append(d.Models, content.Models...)
	d.Workspaces = append(d.Workspaces, content.Workspaces...)
	return nil
}

// recordLocation records the location of a declaration.
func (d *declaration) recordLocation(lines *settings.Lines, section, name string, i int) {
	d.locations[declarationKey{section, name}] = location{lines: lines, key: settings.Element(section, i)}
}

// shared returns the declared templates and models, which all workspaces share.
func (d *declaration) shared() config.Templates {
	return config.Templates{Templates: d.Templates, Models: d.Models}
}

// change returns the configuration change that puts all declarations.
func (d *declaration) change() config.Change {
	return config.Change{PutTemplates: d.Templates, PutModels: d.Models, PutWorkspaces: d.Workspaces}
}

// problemText returns the text of a problem, with file and line if the problem is in
// a declaration of the files, not of the store.
func (d *declaration) problemText(p config.Problem) string {
	at, found := d.locations[declarationKey{p.Section, p.Name}]
	if !found {
		return p.String()
	}
	key := at.key
	if p.Key != "" {
		key += "." + p.Key
	}
	return at.lines.Problem(key, p.Text).String()
}

// problemsError returns an error that lists the problems, or nil if there are none.
func (d *declaration) problemsError(problems []config.Problem) error {
	if len(problems) == 0 {
		return nil
	}
	var all []error
	for _, p := range problems {
		all = append(all, errors.New(d.problemText(p)))
	}
	return badInput(errors.Join(all...))
}
