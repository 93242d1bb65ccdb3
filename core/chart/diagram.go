package chart

import (
	"fmt"
	"strings"
)

// Diagram returns the chart as a Mermaid state diagram.
func (c *Chart) Diagram() string {
	var b strings.Builder
	b.WriteString("stateDiagram-v2\n")
	fmt.Fprintf(&b, "    [*] --> %s\n", c.Initial)
	for _, t := range c.Transitions {
		fmt.Fprintf(&b, "    %s --> %s: %s\n", t.From, t.To, t.Event)
	}
	for _, state := range c.States {
		if state.Final {
			fmt.Fprintf(&b, "    %s --> [*]\n", state.Name)
		}
	}
	return b.String()
}

// Markdown returns the chart's section of docs/CHARTS.md: meaning, diagram and
// tables of states and transitions.
func (c *Chart) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n%s\n\n```mermaid\n%s```\n\n", c.Name, c.Means, c.Diagram())
	b.WriteString("| state | meaning |\n|---|---|\n")
	for _, state := range c.States {
		fmt.Fprintf(&b, "| %s | %s |\n", state.Name, state.Means)
	}
	b.WriteString("\n| from | event | to | when |\n|---|---|---|---|\n")
	for _, t := range c.Transitions {
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", t.From, t.Event, t.To, t.Means)
	}
	return b.String()
}

// Page returns the text of docs/CHARTS.md: the sections of all charts, sorted by
// name.
func Page() string {
	var b strings.Builder
	b.WriteString("# State charts\n\n")
	b.WriteString("The files are in core/chart/charts and are part of the binaries, which interpret them.\n")
	b.WriteString("An event that a chart does not allow is an error with step and peer.\n")
	for _, name := range Names() {
		b.WriteString("\n" + MustLoad(name).Markdown())
	}
	return b.String()
}
