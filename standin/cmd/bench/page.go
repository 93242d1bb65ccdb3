package main

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"acaciawinch/standin/bench/plots"
	"acaciawinch/standin/bench/report"
)

// pageName is the name of the file with the generated page.
const pageName = "README.md"

// pageCommand writes the page and the plots from earlier results.
type pageCommand struct {
	Out string `long:"out" default:"docs/measurements" description:"folder with the JSON"`
}

// Execute implements flags.Commander.
func (c *pageCommand) Execute([]string) error {
	return writePage(c.Out)
}

// writePage writes the page and the plots from the results in a folder.
func writePage(dir string) error {
	page := report.Page{Plot: plots.Name}
	if err := readJSON(filepath.Join(dir, jsonName), &page.Run); err != nil {
		return err
	}
	var spread report.Spread
	err := readJSON(filepath.Join(dir, spreadName), &spread)
	switch {
	case err == nil:
		page.Spread = &spread
	case !errors.Is(err, fs.ErrNotExist):
		return err
	}
	if err := plots.Draw(page.Run, dir); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(dir, pageName))
	if err != nil {
		return err
	}
	return errors.Join(page.Write(file), file.Close())
}

// readJSON reads results from a file.
func readJSON[T any](path string, results *T) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, results)
}
