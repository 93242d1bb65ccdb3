package faults

import (
	_ "embed"
	"fmt"
	"strings"
)

// Descriptions of how the matrix works and of what it does not prove.
var (
	//go:embed page/method.md
	method string
	//go:embed page/notproved.md
	notProved string
)

// Markdown returns the page in Markdown.
func (p Page) Markdown() string {
	var text strings.Builder
	fmt.Fprintf(&text, "# Fault matrix\n\nWritten by `make faults` from a run of commit %s. Don't edit.\n\n", p.Commit)
	fmt.Fprintf(&text, "%s.\n\n", strings.ReplaceAll(p.Summary(), "\n", ".\n\n"))
	text.WriteString(method)
	text.WriteString("\n## The matrix\n\n" + legend + "\n\n")
	p.writeGrid(&text)
	text.WriteString("\n## What the records hold, cell by cell\n\n")
	p.writeCells(&text)
	text.WriteString("\n## Cells that can't apply\n\n")
	p.writeExcluded(&text)
	text.WriteString(notProved)
	return text.String()
}

// writeGrid writes the matrix.
func (p Page) writeGrid(text *strings.Builder) {
	faults, steps, cells := p.grid()
	fmt.Fprintf(text, "| | %s |\n|---%s|\n", strings.Join(steps, " | "), strings.Repeat("|---", len(steps)))
	for _, fault := range faults {
		fmt.Fprintf(text, "| %s |", fault)
		for _, step := range steps {
			letters := ""
			if r, ok := cells[[2]string{fault, step}]; ok {
				letters = r.tableCell()
			}
			fmt.Fprintf(text, " %s |", letters)
		}
		text.WriteString("\n")
	}
}

// writeCells writes the counts of each cell that ran, and its findings.
func (p Page) writeCells(text *strings.Builder) {
	text.WriteString("| fault | step | verdict | sent | answered | not_run | failed | unknown | excused | executions | claimed ones | runs | ms |\n")
	text.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range p.Reports {
		if r.Excluded != "" {
			continue
		}
		c := r.Counts
		fmt.Fprintf(text, "| %s | %s | %s | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d |\n",
			r.Fault, r.Step, r.tableCell(), c.Sent, c.Answered, c.NotRun, c.Failed, c.Unknown, c.Excused,
			c.Starts, c.Paid, r.Runs, r.TookMS)
	}
	for _, r := range p.Reports {
		for _, finding := range r.Findings {
			fmt.Fprintf(text, "\n- %s at %s: %s", r.Fault, r.Step, finding)
		}
	}
}

// writeExcluded writes the cells that can't apply, by reason.
func (p Page) writeExcluded(text *strings.Builder) {
	var reasons []string
	cells := map[string]map[string][]string{}
	var order []string
	for _, r := range p.Reports {
		if r.Excluded == "" {
			continue
		}
		if cells[r.Excluded] == nil {
			cells[r.Excluded] = map[string][]string{}
			reasons = append(reasons, r.Excluded)
		}
		if cells[r.Excluded][r.Fault] == nil {
			order = append(order, r.Excluded+"\x00"+r.Fault)
		}
		cells[r.Excluded][r.Fault] = append(cells[r.Excluded][r.Fault], r.Step)
	}
	for _, reason := range reasons {
		fmt.Fprintf(text, "%s:\n\n", strings.ToUpper(reason[:1])+reason[1:])
		for _, entry := range order {
			of, fault, _ := strings.Cut(entry, "\x00")
			if of == reason {
				fmt.Fprintf(text, "- %s: %s\n", fault, strings.Join(cells[reason][fault], ", "))
			}
		}
		text.WriteString("\n")
	}
}
