package report

import (
	"fmt"
	"io"
)

// Page is the Markdown page of all measurements.
type Page struct {
	Run    Run
	Spread *Spread
	// Plot returns the file name of the plot of a case.
	Plot func(size, name string) string
}

// introduction explains how the figures were obtained. Its formatting verbs are
// filled in from the run.
const introduction = `# Measurements

This page is written by ` + "`make bench`" + ` and ` + "`make spread`" + ` from their own runs; what was found out
from them stands in [FINDINGS.md](FINDINGS.md).

The real binaries ran as separate processes on one machine with %d processors, before stand-in
upstreams; begun %s, by ` + "`%s`" + `. Requests are offered open-loop: each is sent at a time drawn beforehand,
whether or not earlier ones were answered, and all times count from when it was due. Every policy of
a case gets the same arrivals, and the policies of a case run one after the other; with ` + "`--parallel`" + ` the
two sizes ran side by side. What a stage cost
comes from the ledgers of the stand-in upstreams, what callers got from the callers themselves.

Times are scaled to fit one machine: an engine decodes a batch of up to 8, a step takes 16 ms for a
batch of one and 27 ms for a full one, a prompt 80 ms or, with its prefix cached, 20 ms; pools take
4 ms, plain services 6 ms. Capacity is worked out from these times; steady load is 0.6 of it. Deadlines
are 3 s. A fault begins in second 3, and "from 2 s on" is from second 5 on.

Absolute times are noisy where other work shares the machine: "machine idle" tells how much was left,
"trial cores" how many processors all processes of the trial and the load generator used. A trial that
left less than a quarter of the machine idle ran again, whatever its figures were; of
its runs ("runs") the one with the most idle machine counts.

`

// Write writes the page as Markdown.
func (p Page) Write(w io.Writer) error {
	r := p.Run
	if _, err := fmt.Fprintf(w, introduction, r.Cores, r.Began.Format("2006-01-02 15:04 MST"), r.Command); err != nil {
		return err
	}
	if err := p.writeTargets(w); err != nil {
		return err
	}
	if err := p.writeSpread(w); err != nil {
		return err
	}
	for _, g := range r.groups() {
		if err := p.writeCase(w, g); err != nil {
			return err
		}
	}
	return nil
}

// writeTargets writes the targets with the measured values.
func (p Page) writeTargets(w io.Writer) error {
	if _, err := fmt.Fprint(w, "## Targets\n\n"); err != nil {
		return err
	}
	table := p.Run.TargetTable()
	table.Title = ""
	return table.WriteMarkdown(w)
}

// writeSpread writes how long changes took to be in force everywhere, if that was
// measured.
func (p Page) writeSpread(w io.Writer) error {
	if p.Spread == nil {
		return nil
	}
	if _, err := fmt.Fprint(w, "## Configuration in force everywhere\n\n"); err != nil {
		return err
	}
	for _, table := range p.Spread.Tables() {
		if err := table.WriteMarkdown(w); err != nil {
			return err
		}
	}
	return nil
}

// writeCase writes the plot and the tables of one case.
func (p Page) writeCase(w io.Writer, g group) error {
	first := g.trials[0]
	_, err := fmt.Fprintf(w, "## %s: %s\n\nVersion %s, begun %s.\n\n![requests by second](%s)\n\n",
		g.size, g.title, first.Version, first.Began.Format("15:04:05 MST"), p.Plot(g.size, g.name))
	if err != nil {
		return err
	}
	for _, table := range g.tables() {
		if err := table.WriteMarkdown(w); err != nil {
			return err
		}
	}
	return nil
}
