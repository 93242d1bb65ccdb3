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

// shownChart is a chart as charts prints it in JSON.
type shownChart struct {
	Name        string            `json:"name"`
	Means       string            `json:"means"`
	Initial     chart.State       `json:"initial"`
	States      []shownState      `json:"states"`
	Transitions []shownTransition `json:"transitions"`
}

// shownState is one state of a chart.
type shownState struct {
	Name  chart.State `json:"name"`
	Means string      `json:"means"`
	Final bool        `json:"final"`
}

// shownTransition is one transition of a chart.
type shownTransition struct {
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
	var shown []shownChart
	var texts []string
	for _, name := range names {
		loaded, err := chart.Load(name)
		if err != nil {
			return fault.New(fault.NotFound, "charts", "", "%v; the charts are %s", err, strings.Join(chart.Names(), ", "))
		}
		shown = append(shown, shownOf(loaded))
		texts = append(texts, loaded.Markdown())
	}
	return c.env.print(shown, strings.Join(texts, "\n"))
}

// shownOf returns the JSON form of a chart.
func shownOf(c *chart.Chart) shownChart {
	shown := shownChart{Name: c.Name, Means: c.Means, Initial: c.Initial}
	for _, s := range c.States {
		shown.States = append(shown.States, shownState(s))
	}
	for _, t := range c.Transitions {
		shown.Transitions = append(shown.Transitions, shownTransition(t))
	}
	return shown
}
