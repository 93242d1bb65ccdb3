package slopes

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/BurntSushi/toml"

	"acaciawinch/core/config"
	"acaciawinch/standin/catalog"
)

// Names in the configuration.
const (
	pool      = "pools"
	ledger    = "ledgers"
	engines   = "engines"
	model     = "m"
	version   = "1"
	claimed   = "claimed"
	workspace = "workspace"
	engineSet = 2
)

// Times of the templates in milliseconds.
const (
	deadlineMS = 5000
	poolMS     = 2
)

// stageCounts are the lengths of the pipelines, and tokenCounts the lengths of the
// engine's answers, the last being the letter's mean of 270,000 / 810.
var (
	stageCounts = []int{3, 4, 5, 6}
	tokenCounts = []int{16, 64, 160, 333}
)

// declaration is what an operators' file declares.
type declaration struct {
	config.Templates
	Workspaces []config.Workspace `toml:"workspaces"`
}

// stagesName and tokensName name the pipelines by what varies.
func stagesName(stages int) string { return fmt.Sprintf("stages%d", stages) }
func tokensName(tokens int) string { return fmt.Sprintf("tokens%d", tokens) }

// loadConfiguration returns the pipelines of the suites of requests, and one
// workspace that may call them all.
func loadConfiguration() declaration {
	var d declaration
	for _, count := range stageCounts {
		d.add(stagesName(count), poolStages(count))
	}
	for _, count := range tokenCounts {
		d.add(tokensName(count), append(poolStages(2), config.Stage{
			Name: "generate", Service: engines, Kind: config.KindEngine, Model: model, Version: version,
			MaxTokens: count, ExpectedMS: 100,
		}))
	}
	d.add(claimed, append(poolStages(2), config.Stage{
		Name: "book", Service: ledger, Kind: config.KindService, NonIdempotent: true, ExpectedMS: poolMS,
	}))
	d.Models = []config.Model{{Name: model, Version: version, Service: engines, Replicas: engineSet}}
	user := config.Workspace{Name: workspace, Weight: 1, MaxInFlight: 1000}
	for _, template := range d.Templates.Templates {
		user.Pipelines = append(user.Pipelines, template.Name)
	}
	d.Workspaces = []config.Workspace{user}
	return d
}

// add declares one pipeline.
func (d *declaration) add(name string, stages []config.Stage) {
	d.Templates.Templates = append(d.Templates.Templates, config.Template{
		Name: name, DeadlineMS: deadlineMS, MaxDeadlineMS: deadlineMS, Stages: stages,
	})
}

// poolStages returns stages that pool workers run.
func poolStages(count int) []config.Stage {
	stages := make([]config.Stage, count)
	for i := range stages {
		stages[i] = config.Stage{Name: fmt.Sprintf("stage%d", i+1), Service: pool, Kind: config.KindPool, ExpectedMS: poolMS}
	}
	return stages
}

// held returns workspaces from number from up to number to, as large as real
// ones: with parameters for a stage and a prompt prefix.
func held(from, to, weight int) []config.Workspace {
	var all []config.Workspace
	for i := from; i < to; i++ {
		all = append(all, config.Workspace{
			Name:        fmt.Sprintf("workspace-%05d", i),
			Pipelines:   []string{tokensName(tokenCounts[0])},
			Weight:      weight,
			MaxInFlight: 300,
			DeadlineMS:  2500,
			Stages: []config.StageParameters{{
				Pipeline: tokensName(tokenCounts[0]),
				Stage:    "generate",
				Prefix:   "Answer in short and plain sentences, and name the source of each figure. ",
			}},
		})
	}
	return all
}

// writeFile writes a declaration as an operators' file and returns its path.
func writeFile(dir, name string, d declaration) (string, error) {
	path := filepath.Join(dir, name)
	file, err := os.Create(path)
	if err != nil {
		return "", err
	}
	defer file.Close()
	return path, toml.NewEncoder(file).Encode(d)
}

// catalogOf returns the declaration as callers read it.
func catalogOf(d declaration) catalog.Catalog {
	return catalog.Catalog{Templates: d.Templates.Templates, Workspaces: d.Workspaces}
}
