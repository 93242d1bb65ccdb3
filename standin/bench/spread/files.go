package spread

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/BurntSushi/toml"

	"acaciawinch/core/config"
)

// Names in the configuration.
const (
	service  = "pool"
	pipeline = "p"
)

// declaration is the content of an operator's configuration file.
type declaration struct {
	config.Templates
	Workspaces []config.Workspace `toml:"workspaces"`
}

// configuration returns the templates and the given number of workspaces. The
// engines' service has no upstream, since the fleet serves no requests.
func configuration(workspaces int) declaration {
	var d declaration
	d.Models = []config.Model{{Name: "m", Version: "1", Service: "engines", Replicas: 1}}
	d.Templates.Templates = []config.Template{{
		Name:          pipeline,
		DeadlineMS:    3000,
		MaxDeadlineMS: 5000,
		Stages: []config.Stage{
			{Name: "one", Service: service, Kind: config.KindPool, ExpectedMS: 5},
			{Name: "two", Service: service, Kind: config.KindPool, ExpectedMS: 5},
			{Name: "three", Service: "engines", Kind: config.KindEngine, Model: "m", Version: "1",
				MaxTokens: 16, ExpectedMS: 500},
		},
	}}
	for i := range workspaces {
		d.Workspaces = append(d.Workspaces, workspace(i, 1))
	}
	return d
}

// workspace returns one workspace with parameters like those of a real one.
func workspace(i, weight int) config.Workspace {
	return config.Workspace{
		Name:        fmt.Sprintf("workspace-%05d", i),
		Pipelines:   []string{pipeline},
		Weight:      weight,
		MaxInFlight: 300,
		DeadlineMS:  2500,
		Stages: []config.StageParameters{{
			Pipeline: pipeline,
			Stage:    "three",
			Prefix:   "Answer in short and plain sentences, and name the source of each figure. ",
		}},
	}
}

// writeFile writes a configuration file and returns its path.
func writeFile(dir, name string, d declaration) (string, error) {
	path := filepath.Join(dir, name)
	file, err := os.Create(path)
	if err != nil {
		return "", err
	}
	defer file.Close()
	return path, toml.NewEncoder(file).Encode(d)
}
