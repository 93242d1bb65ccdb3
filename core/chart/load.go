package chart

import (
	"embed"
	"path"
	"slices"
	"strings"
	"sync"

	"github.com/BurntSushi/toml"

	"acaciawinch/core/fault"
)

//go:embed charts/*.toml
var files embed.FS

// folder holds the embedded charts.
const folder = "charts"

// loaded holds all charts by name. They are read once: they are part of the
// binary, so a second reading could find nothing else.
var loaded = sync.OnceValues(loadAll)

// Load returns the chart of a name. Errors have code NotFound, or Invalid if any
// embedded chart breaks a rule.
func Load(name string) (*Chart, error) {
	charts, err := loaded()
	if err != nil {
		return nil, err
	}
	chart, ok := charts[name]
	if !ok {
		return nil, fault.New(fault.NotFound, "chart.load", "", "there is no chart %q", name)
	}
	return chart, nil
}

// MustLoad returns the chart of a name and panics if it can't: the charts are
// part of the binary, and a test loads all of them.
func MustLoad(name string) *Chart {
	chart, err := Load(name)
	if err != nil {
		panic(err)
	}
	return chart
}

// Names returns the names of all charts, sorted.
func Names() []string {
	charts, err := loaded()
	if err != nil {
		return nil
	}
	names := make([]string, 0, len(charts))
	for name := range charts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// loadAll reads every embedded chart.
func loadAll() (map[string]*Chart, error) {
	entries, err := files.ReadDir(folder)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "chart.load", "", err)
	}
	charts := make(map[string]*Chart, len(entries))
	for _, entry := range entries {
		data, err := files.ReadFile(path.Join(folder, entry.Name()))
		if err != nil {
			return nil, fault.Wrap(fault.Internal, "chart.load", "", err)
		}
		chart, err := parse(entry.Name(), data)
		if err != nil {
			return nil, err
		}
		charts[chart.Name] = chart
	}
	return charts, nil
}

// parse reads and checks one chart. Errors have code Invalid and name the file.
func parse(file string, data []byte) (*Chart, error) {
	chart := &Chart{}
	meta, err := toml.Decode(string(data), chart)
	if err != nil {
		return nil, &fault.Error{Code: fault.Invalid, Step: "chart.parse", Detail: file, Err: err}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fault.New(fault.Invalid, "chart.parse", "", "%s: unknown key %s", file, unknown[0])
	}
	if chart.Name != strings.TrimSuffix(file, ".toml") {
		return nil, fault.New(fault.Invalid, "chart.parse", "", "%s: the name is %q", file, chart.Name)
	}
	if problem := chart.check(); problem != "" {
		return nil, fault.New(fault.Invalid, "chart.parse", "", "%s: %s", file, problem)
	}
	chart.configure()
	return chart, nil
}
