package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Table is a titled table of text.
type Table struct {
	Title  string
	Header []string
	Rows   [][]string
}

// WriteText writes the table in aligned columns.
func (t Table) WriteText(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "\n%s\n", t.Title); err != nil {
		return err
	}
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.Header}, t.Rows...) {
		if _, err := fmt.Fprintln(columns, "  "+strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return columns.Flush()
}

// WriteMarkdown writes the table as Markdown.
func (t Table) WriteMarkdown(w io.Writer) error {
	rule := make([]string, len(t.Header))
	for i := range rule {
		rule[i] = "---"
	}
	lines := append([][]string{t.Header, rule}, t.Rows...)
	if t.Title != "" {
		if _, err := fmt.Fprintf(w, "**%s**\n\n", t.Title); err != nil {
			return err
		}
	}
	for _, line := range lines {
		if _, err := fmt.Fprintf(w, "| %s |\n", strings.Join(line, " | ")); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w)
	return err
}

// percent formats a share between 0 and 1 as a percentage.
func percent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

// ms formats milliseconds.
func ms(value float64) string { return fmt.Sprintf("%.0f", value) }

// decimal formats a rate or a ratio.
func decimal(value float64) string { return fmt.Sprintf("%.2f", value) }

// count formats a whole number.
func count[T int | int64 | uint64](value T) string { return fmt.Sprint(value) }
