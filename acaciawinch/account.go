package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"acaciawinch/observe/account"
)

// accountCommand summarizes the outcomes of requests from log lines of gateways.
type accountCommand struct {
	env *env
	Log []string `long:"log" value-name:"FILE" required:"true" description:"file with log lines of gateways, - for standard input; may be given more than once"`
}

// Limits of reading and printing.
const (
	// maxLineBytes is the maximum length of a log line; a longer line is an error.
	maxLineBytes = 1 << 20
	// maxCausesShown is the maximum number of causes per route in the text output.
	maxCausesShown = 4
)

// Execute implements flags.Commander.
func (c *accountCommand) Execute([]string) error {
	a := account.New()
	for _, name := range c.Log {
		if err := c.read(a, name); err != nil {
			return badInput(err)
		}
	}
	rows := a.Rows()
	text, err := accountText(rows, a.Unread)
	if err != nil {
		return err
	}
	return c.env.print(rows, text)
}

// read adds all lines of one file to the account.
func (c *accountCommand) read(a *account.Account, name string) error {
	var in io.Reader = os.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }() // nothing was written
		in = file
	}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		a.Add(lines.Bytes())
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// accountText returns the rows as a table.
func accountText(rows []account.Row, unread int) (string, error) {
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ROUTE\tIN TIME\tLATE\tREFUSED\tFAILED\tLEFT\tCAUSES")
	for _, r := range rows {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%s\n", routeName(r.Route), r.InTime, r.Late, r.Refused, r.Failed, r.Left, causesText(r.Causes))
	}
	if err := table.Flush(); err != nil {
		return "", err
	}
	fmt.Fprintf(&text, "%d lines could not be read", unread)
	return text.String(), nil
}

// routeName returns the name of a route as printed.
func routeName(name string) string {
	if name == "" {
		return "(none)"
	}
	return name
}

// causesText returns the most frequent causes.
func causesText(causes []account.Cause) string {
	var texts []string
	for _, cause := range causes[:min(maxCausesShown, len(causes))] {
		texts = append(texts, fmt.Sprintf("%s %d", cause.Reason, cause.Requests))
	}
	return strings.Join(texts, ", ")
}
