package faults

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Page is the result of a run of the matrix.
type Page struct {
	Reports []Report
	// Commit is the commit that the binaries were built from.
	Commit string
	Took   time.Duration
}

// Failed returns the number of cells with findings.
func (p Page) Failed() int {
	failed := 0
	for _, r := range p.Reports {
		if !r.Passed() {
			failed++
		}
	}
	return failed
}

// totals holds the sums of a run.
type totals struct {
	cells, run, excluded, failed int
	counts                       Counts
}

// totals returns the sums over all cells.
func (p Page) totals() totals {
	t := totals{cells: len(p.Reports), failed: p.Failed()}
	for _, r := range p.Reports {
		if r.Excluded != "" {
			t.excluded++
			continue
		}
		t.run++
		t.counts.Sent += r.Counts.Sent
		t.counts.Answered += r.Counts.Answered
		t.counts.NotRun += r.Counts.NotRun
		t.counts.Failed += r.Counts.Failed
		t.counts.Unknown += r.Counts.Unknown
		t.counts.Excused += r.Counts.Excused
		t.counts.Starts += r.Counts.Starts
		t.counts.Paid += r.Counts.Paid
	}
	return t
}

// Summary returns the sums in two lines.
func (p Page) Summary() string {
	t := p.totals()
	return fmt.Sprintf("%d cells: %d run, %d can't apply, %d failed; %.0f s\n"+
		"requests: %d sent, %d answered, %d not_run, %d failed, %d unknown, %d without an answer because the trial took their entry; "+
		"%d executions, %d of them of the stage that may run at most once",
		t.cells, t.run, t.excluded, t.failed, p.Took.Seconds(),
		t.counts.Sent, t.counts.Answered, t.counts.NotRun, t.counts.Failed, t.counts.Unknown, t.counts.Excused,
		t.counts.Starts, t.counts.Paid)
}

// outcomeLetters holds the letters for outcomes in the table.
var outcomeLetters = map[string]string{
	"whole":   "A",
	"not_run": "N",
	"failed":  "F",
	"unknown": "U",
	"running": "R",
	"broken":  "-",
	"cut":     "-",
}

// tableCell returns the text of a cell in the table.
func (r Report) tableCell() string {
	if r.Excluded != "" {
		return "·"
	}
	if !r.Passed() {
		return "FAIL"
	}
	if r.First == "" {
		return "ok"
	}
	return outcomeLetters[r.First] + outcomeLetters[r.Last]
}

// grid returns the faults and steps in order without duplicates, and the reports by
// fault and step.
func (p Page) grid() (faults, steps []string, cells map[[2]string]Report) {
	cells = map[[2]string]Report{}
	for _, r := range p.Reports {
		if !slices.Contains(faults, r.Fault) {
			faults = append(faults, r.Fault)
		}
		if !slices.Contains(steps, r.Step) {
			steps = append(steps, r.Step)
		}
		cells[[2]string{r.Fault, r.Step}] = r
	}
	return faults, steps, cells
}

// Table returns the matrix as text.
func (p Page) Table() string {
	faults, steps, cells := p.grid()
	var text strings.Builder
	text.WriteString("\n")
	for i, step := range steps {
		fmt.Fprintf(&text, "%2d %s\n", i+1, step)
	}
	fmt.Fprintf(&text, "\n%-58s", "")
	for i := range steps {
		fmt.Fprintf(&text, "%5d", i+1)
	}
	text.WriteString("\n")
	for _, fault := range faults {
		fmt.Fprintf(&text, "%-58s", fault)
		for _, step := range steps {
			letters := ""
			if r, ok := cells[[2]string{fault, step}]; ok {
				letters = r.tableCell()
			}
			fmt.Fprintf(&text, "%5s", letters)
		}
		text.WriteString("\n")
	}
	text.WriteString("\n" + legend + "\n")
	return text.String()
}

// legend explains the table.
const legend = `Two letters: what the first caller got, then what asking again with its key got when the
fault was over. A whole answer, N not_run, F failed, U unknown, - no answer, because the
trial took the entry. "ok" is a course without a single request, "·" can't apply.`
