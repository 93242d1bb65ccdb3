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
var chartFiles embed.FS

// chartDir is the directory of the embedded charts.
const chartDir = "charts"

// loadedCharts returns all charts by name. They are parsed once, because they are part
// of the binary and can't change.
var loadedCharts = sync.OnceValues(loadAll)

// Load returns the chart with the given name. The error has code NotFound if there is no
// such chart, and Invalid if any embedded chart is invalid.
func Load(name string) (*Chart, error) {
	charts, err := loadedCharts()
	if err != nil {
		return nil, err
	}
	chart, ok := charts[name]
	if !ok {
		return nil, fault.New(fault.NotFound, "chart.load", "", "there is no chart %q", name)
	}
	return chart, nil
}

// MustLoad returns the chart with the given name and panics on an error: the charts
// are part of the binary, and a test loads all of them.
func MustLoad(name string) *Chart {
	chart, err := Load(name)
	if err != nil {
		panic(err)
	}
	return chart
}

// Names returns the sorted names of all charts, or nil if they can't be loaded.
func Names() []string {
	charts, err := loadedCharts()
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

// loadAll parses every embedded chart.
func loadAll() (map[string]*Chart, error) {
	entries, err := chartFiles.ReadDir(chartDir)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "chart.load", "", err)
	}
	charts := make(map[string]*Chart, len(entries))
	for _, entry := range entries {
		data, err := chartFiles.ReadFile(path.Join(chartDir, entry.Name()))
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

// parse decodes and validates one chart. Errors have code Invalid and name the
// file.
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
		return nil, fault.New(fault.Invalid, "chart.parse", "", "%s: the chart's name %q differs from the file's", file, chart.Name)
	}
	if problem := chart.check(); problem != "" {
		return nil, fault.New(fault.Invalid, "chart.parse", "", "%s: %s", file, problem)
	}
	chart.configure()
	return chart, nil
}
