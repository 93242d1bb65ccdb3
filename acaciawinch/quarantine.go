package main

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"acaciawinch/core/fingerprint"
	core "acaciawinch/core/quarantine"
	"acaciawinch/gateway/quarantine"
	"acaciawinch/platform/store"
)

// quarantineCommand lists what the gateways refuse because upstreams crash under it, or clears one suspect.
type quarantineCommand struct {
	env          *env
	Store        string `long:"store" value-name:"IP:PORT" required:"true" description:"address of the platform's store, as in the gateways' settings"`
	ClearPart    string `long:"clear-part" value-name:"ID" description:"let requests with this part in their prompts through again"`
	ClearRequest string `long:"clear-request" value-name:"FINGERPRINT" description:"let this request through again"`
}

// refusedRow is a suspect as it is printed.
type refusedRow struct {
	// Kind is part or request, Name the ID of the part or the fingerprint of the request.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Crashes are those that nothing else explains; Convicted is set if one of them was in a trial.
	Crashes   int  `json:"crashes"`
	Convicted bool `json:"convicted"`
	// Before, Since and Trials are the completions before and since the first crash, and those of trials.
	Before    int      `json:"before"`
	Since     int      `json:"since"`
	Trials    int      `json:"trials"`
	Upstreams []string `json:"upstreams"`
}

// Execute implements flags.Commander.
func (c *quarantineCommand) Execute([]string) error {
	operator := quarantine.Operator{Store: store.New(c.Store)}
	switch {
	case c.ClearPart != "" && c.ClearRequest != "":
		return badInput(fmt.Errorf("--clear-part and --clear-request exclude each other"))
	case c.ClearPart != "":
		return c.clear(operator, fingerprint.OfPart(strings.ToLower(strings.TrimSpace(c.ClearPart))), "part "+c.ClearPart)
	case c.ClearRequest != "":
		suspect, err := fingerprint.Parse(c.ClearRequest)
		if err != nil {
			return err
		}
		return c.clear(operator, suspect, "request "+c.ClearRequest)
	}
	return c.list(operator)
}

// clear clears a suspect.
func (c *quarantineCommand) clear(operator quarantine.Operator, suspect fingerprint.Fingerprint, name string) error {
	crashes, err := operator.Clear(c.env.ctx, suspect)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("%s was cleared of %d crashes", name, crashes)
	return c.env.print(clearedResult{Cleared: name, Crashes: crashes}, text)
}

// clearedResult is the printed result of a clearing.
type clearedResult struct {
	Cleared string `json:"cleared"`
	Crashes int    `json:"crashes"`
}

// list prints what is refused.
func (c *quarantineCommand) list(operator quarantine.Operator) error {
	cases, err := operator.List(c.env.ctx)
	if err != nil {
		return err
	}
	rows := make([]refusedRow, len(cases))
	for i, refused := range cases {
		rows[i] = rowOf(refused)
	}
	text, err := refusedText(rows)
	if err != nil {
		return err
	}
	return c.env.print(rows, text)
}

// rowOf returns the printed form of a case.
func rowOf(c core.Case) refusedRow {
	row := refusedRow{Kind: "request", Name: c.Suspect.String(), Crashes: c.Crashes, Convicted: c.Convicted,
		Before: c.Evidence.Before, Since: c.Evidence.Since, Trials: c.Evidence.Trials, Upstreams: c.Upstreams}
	if c.Suspect.IsPart() {
		row.Kind, row.Name = "part", c.Suspect.PartID()
	}
	return row
}

// refusedText returns the rows as a table.
func refusedText(rows []refusedRow) (string, error) {
	if len(rows) == 0 {
		return "nothing is refused", nil
	}
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "KIND\tNAME\tCRASHES\tCONVICTED\tBEFORE\tSINCE\tTRIALS\tUPSTREAMS")
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%s\t%d\t%t\t%d\t%d\t%d\t%s\n", row.Kind, row.Name, row.Crashes, row.Convicted, row.Before, row.Since, row.Trials, strings.Join(row.Upstreams, " "))
	}
	err := table.Flush()
	return strings.TrimRight(text.String(), "\n"), err
}
