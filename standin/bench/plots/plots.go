// Package plots draws the results of the bench as SVG files.
package plots

import (
	"fmt"
	"image/color"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"acaciawinch/standin/bench/report"
)

// Dimensions of a plot.
const (
	width  = 6 * vg.Inch
	height = 3 * vg.Inch
)

// Colours and widths of the lines: the offered load first, then the policies in
// the order of their trials. The y axis ends at headroom times the highest value.
var (
	offeredColour  = color.Gray{Y: 0xb0}
	policyColours  = []color.Color{color.RGBA{R: 0x1b, G: 0x7f, B: 0x4b, A: 0xff}, color.RGBA{R: 0xc9, G: 0x6a, B: 0x12, A: 0xff}, color.RGBA{R: 0x7a, G: 0x3f, B: 0x9d, A: 0xff}}
	policyWidth    = vg.Points(1.5)
	offeredWidth   = vg.Points(3)
	headroom       = 1.4
	secondsPerStep = 1.0
)

// Name returns the file name of the plot of a case.
func Name(size, name string) string { return fmt.Sprintf("%s-%s.svg", size, name) }

// Draw writes one plot for each case of the run into the directory dir.
func Draw(run report.Run, dir string) error {
	cases := map[string][]report.Trial{}
	for _, trial := range run.Trials {
		name := Name(trial.Size, trial.Case)
		cases[name] = append(cases[name], trial)
	}
	for name, trials := range cases {
		if err := draw(trials, filepath.Join(dir, name)); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// draw writes the plot of one case. For each second of the trial it shows how many
// requests were due, and how many of them each policy answered in time.
func draw(trials []report.Trial, path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %s", trials[0].Size, trials[0].Title)
	p.X.Label.Text = "second in which requests were due"
	p.Y.Label.Text = "requests"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	offered := func(s report.Second) int { return s.Offered }
	attained := func(s report.Second) int { return s.Attained }
	if err := addLine(p, trials[0].Series, offered, "offered", offeredColour, offeredWidth); err != nil {
		return err
	}
	for i, trial := range trials {
		colour := policyColours[i%len(policyColours)]
		if err := addLine(p, trial.Series, attained, trial.Policy+", in time", colour, policyWidth); err != nil {
			return err
		}
	}
	p.Y.Max *= headroom
	return p.Save(width, height, path)
}

// addLine adds a line and its legend entry to the plot.
func addLine(p *plot.Plot, series []report.Second, value func(report.Second) int, name string, c color.Color, w vg.Length) error {
	points := make(plotter.XYs, len(series))
	for i, second := range series {
		points[i].X = float64(i) * secondsPerStep
		points[i].Y = float64(value(second))
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = c
	line.Width = w
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}
