package slopes

import (
	"fmt"
	"io"
	"math"
	"strconv"

	"acaciawinch/standin/bench/report"
)

// Tables returns a table of the fitted lines of each suite, and below it the
// points of the same measures.
func (r Result) Tables() []report.Table {
	var tables []report.Table
	for _, suite := range r.Suites {
		tables = append(tables, suite.lines(), suite.points())
	}
	return tables
}

// lines returns the table of the fitted lines.
func (s SuiteResult) lines() report.Table {
	table := report.Table{
		Title:  fmt.Sprintf("%s: %s (machine %.0f%% idle)", s.Name, s.Title, 100*s.Idle),
		Header: []string{"measure", "unit", "for each one more", "at none", "residual", "residual/range", "R²"},
	}
	for _, fit := range s.Fits {
		table.Rows = append(table.Rows, []string{
			fit.Measure, fit.Unit, figure(fit.Slope), figure(fit.Intercept),
			figure(fit.Residual), fmt.Sprintf("%.0f%%", 100*fit.Relative), fmt.Sprintf("%.2f", fit.R2),
		})
	}
	return table
}

// points returns the table of what was measured: a row for each measure, a
// column for each size.
func (s SuiteResult) points() report.Table {
	table := report.Table{Title: s.Name + ", points by " + s.Size, Header: []string{"measure"}}
	for _, row := range s.Rows {
		table.Header = append(table.Header, figure(row.Size))
	}
	for _, fit := range s.Fits {
		line := []string{fit.Measure}
		for _, row := range s.Rows {
			line = append(line, figure(row.Values[fit.Measure]))
		}
		table.Rows = append(table.Rows, line)
	}
	return table
}

// digits is how many significant digits figures have.
const digits = 3

// figure formats a number with a few significant digits.
func figure(value float64) string {
	if value == 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		return strconv.FormatFloat(value, 'f', -1, 64)
	}
	// The text of a finite number is always a number again.
	rounded, _ := strconv.ParseFloat(strconv.FormatFloat(value, 'e', digits-1, 64), 64)
	places := digits - 1 - int(math.Floor(math.Log10(math.Abs(rounded))))
	return strconv.FormatFloat(rounded, 'f', max(places, 0), 64)
}

// WriteTables writes the page of all tables.
func (r Result) WriteTables(w io.Writer) error {
	_, err := fmt.Fprintf(w, "# Slopes\n\nWritten by `make slopes` at commit %s: %.0f s on %d processors, %.0f%% idle over the run; "+
		"other work ran beside it.\n\nEach table gives the least-squares line through the points below it. "+
		"The residual is the root of the mean squared distance from the line; its ratio to the range that the line covers tells "+
		"how far to trust the slope. Processor time is in milliseconds, names in `_in`, `_out` are bytes between processes of the fleet, "+
		"`_moved` all bytes read and written but the log's, `_heap` the live heap, `_resident` the resident memory. Names that begin with "+
		"`change_`, `host_` and `fresh_` are for one change of the configuration, one change of the host list, and the first state of a "+
		"fresh process; all other amounts are for one second.\n\n", r.Commit, r.Seconds, r.Cores, 100*r.Idle)
	if err != nil {
		return err
	}
	for _, table := range r.Tables() {
		if err := table.WriteMarkdown(w); err != nil {
			return err
		}
	}
	return nil
}
