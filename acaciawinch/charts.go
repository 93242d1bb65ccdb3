package main

import (
	"strings"

	"acaciawinch/core/chart"
	"acaciawinch/core/fault"
)

// chartsCommand prints the state charts.
type chartsCommand struct {
	env  *env
	Name string `long:"name" description:"only this chart"`
}

// chartOutput is the JSON output of one chart.
type chartOutput struct {
	Name        string             `json:"name"`
	Means       string             `json:"means"`
	Initial     chart.State        `json:"initial"`
	States      []stateOutput      `json:"states"`
	Transitions []transitionOutput `json:"transitions"`
}

// stateOutput is the JSON output of one state of a chart.
type stateOutput struct {
	Name  chart.State `json:"name"`
	Means string      `json:"means"`
	Final bool        `json:"final"`
}

// transitionOutput is the JSON output of one transition of a chart.
type transitionOutput struct {
	From  chart.State `json:"from"`
	Event chart.Event `json:"event"`
	To    chart.State `json:"to"`
	Means string      `json:"means"`
}

// Execute implements flags.Commander.
func (c *chartsCommand) Execute([]string) error {
	names := chart.Names()
	if c.Name != "" {
		names = []string{c.Name}
	}
	var outputs []chartOutput
	var texts []string
	for _, name := range names {
		loaded, err := chart.Load(name)
		if err != nil {
			return fault.New(fault.NotFound, "charts", "", "%v; the charts are %s", err, strings.Join(chart.Names(), ", "))
		}
		outputs = append(outputs, newChartOutput(loaded))
		texts = append(texts, loaded.Markdown())
	}
	return c.env.print(outputs, strings.Join(texts, "\n"))
}

// newChartOutput returns the JSON output of a chart.
func newChartOutput(c *chart.Chart) chartOutput {
	output := chartOutput{Name: c.Name, Means: c.Means, Initial: c.Initial}
	for _, s := range c.States {
		output.States = append(output.States, stateOutput(s))
	}
	for _, t := range c.Transitions {
		output.Transitions = append(output.Transitions, transitionOutput(t))
	}
	return output
}
