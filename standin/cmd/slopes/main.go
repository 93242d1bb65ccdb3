// Command slopes measures how each cost of the system grows, and writes the
// slopes as JSON and tables, and the page that works out the costs at the size
// the system is designed for.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/jessevdk/go-flags"

	"acaciawinch/standin/internal/command"
	"acaciawinch/standin/slopes"
)

// options are the command line.
type options struct {
	Bin      string   `long:"bin" default:"bin" description:"folder of the built binaries"`
	Only     []string `long:"only" description:"run this suite only; may be given several times"`
	Out      string   `long:"out" description:"folder for the JSON and the tables; none if empty"`
	Capacity string   `long:"capacity" description:"file of the page worked out from the slopes; none if empty"`
	Commit   string   `long:"commit" description:"the commit that is measured"`
	From     string   `long:"from" description:"read the slopes from this JSON file instead of measuring"`
}

func main() {
	var o options
	parser := flags.NewParser(&o, flags.Default)
	parser.LongDescription = "Suites: " + strings.Join(slopes.Names(), ", ")
	command.Single(parser, func(ctx context.Context) error { return run(ctx, o) })
}

// run measures, or reads an earlier result, and writes what is asked for.
func run(ctx context.Context, o options) error {
	result, err := result(ctx, o)
	// What was measured before a failure is shown, but not kept.
	for _, table := range result.Tables() {
		if err := table.WriteText(os.Stdout); err != nil {
			return err
		}
	}
	if err != nil {
		return err
	}
	if o.Out != "" {
		if err := writeResult(o.Out, result); err != nil {
			return err
		}
	}
	if o.Capacity == "" {
		return nil
	}
	return write(o.Capacity, result.WriteCapacity)
}

// result returns the slopes, measured or read.
func result(ctx context.Context, o options) (slopes.Result, error) {
	if o.From != "" {
		var r slopes.Result
		data, err := os.ReadFile(o.From)
		if err != nil {
			return r, err
		}
		return r, json.Unmarshal(data, &r)
	}
	return slopes.Run(ctx, slopes.Options{
		Bin: o.Bin, Only: o.Only, Commit: o.Commit,
		Note: func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) },
	})
}

// writeResult writes the JSON and the tables.
func writeResult(dir string, result slopes.Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	err := write(filepath.Join(dir, "slopes.json"), func(w io.Writer) error {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", " ")
		return encoder.Encode(result)
	})
	if err != nil {
		return err
	}
	return write(filepath.Join(dir, "slopes.md"), result.WriteTables)
}

// write creates a file and fills it.
func write(path string, fill func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := fill(file); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}
