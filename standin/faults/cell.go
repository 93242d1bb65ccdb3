package faults

import (
	"context"
	"errors"
	"os"
	"time"
)

// Report is the verdict on one cell.
type Report struct {
	Fault string `json:"fault"`
	Step  string `json:"step"`
	// Excluded is why the cell can't apply, or "". An excluded cell is not run.
	Excluded string `json:"excluded,omitempty"`
	// First is the outcome for the caller of the first request, and Last the outcome of
	// a retry with its key after the fault.
	First string `json:"first,omitempty"`
	Last  string `json:"last,omitempty"`
	// Note is additional information.
	Note     string    `json:"note,omitempty"`
	Counts   Counts    `json:"counts"`
	Findings []Finding `json:"findings,omitempty"`
	// Runs counts the runs of the cell: more than one if the step was missed.
	Runs   int    `json:"runs"`
	TookMS int64  `json:"took_ms"`
	Dir    string `json:"-"`
}

// Passed reports whether the cell has no findings.
func (r Report) Passed() bool { return len(r.Findings) == 0 }

// Cell is one fault at one step of a request or a scenario.
type Cell struct {
	Fault string
	Step  string
	// Excluded is why the cell can't apply, or "".
	Excluded string
	// Needs are the site options that the cell needs.
	Needs siteOptions
	// run runs the cell on a site and fills in the report.
	run func(ctx context.Context, s *Site, report *Report) error
}

// cellTimeout bounds one run of a cell.
const cellTimeout = 60 * time.Second

// KeepEnvironment is the environment variable that keeps the directories of all cells;
// without it only those of cells with findings are kept.
const KeepEnvironment = "ACACIAWINCH_KEEP"

// maxRuns is how often a cell is run if its step is missed.
const maxRuns = 4

// Run runs a cell, each time on a deployment of its own, until its step was not missed.
func (c Cell) Run(ctx context.Context, bin string) Report {
	report := Report{Fault: c.Fault, Step: c.Step, Excluded: c.Excluded}
	if c.Excluded != "" {
		return report
	}
	started := time.Now()
	for report.Runs = 1; ; report.Runs++ {
		missed := c.runOnce(ctx, bin, &report)
		if !missed || report.Runs == maxRuns {
			break
		}
	}
	report.TookMS = time.Since(started).Milliseconds()
	return report
}

// runOnce runs a cell once. It returns true if the step was missed.
func (c Cell) runOnce(ctx context.Context, bin string, report *Report) bool {
	ctx, cancel := context.WithTimeout(ctx, cellTimeout)
	defer cancel()
	report.Findings = nil
	needs := c.Needs
	needs.Bin = bin
	site, err := startSite(ctx, needs)
	if err != nil {
		report.Findings = []Finding{{Reached, err.Error()}}
		return false
	}
	err = c.run(ctx, site, report)
	missed := errors.Is(err, errMissed)
	if err != nil {
		report.Findings = append(report.Findings, Finding{Reached, err.Error()})
	}
	site.Close(!report.Passed() || os.Getenv(KeepEnvironment) != "")
	report.Dir = site.Fleet.Dir
	return missed
}

// maxStarts is how often a site is started. Other programs on the machine may take a
// port between its selection and its use, which is no fault of the system under test.
const maxStarts = 3

// startSite starts a site and retries if that fails.
func startSite(ctx context.Context, o siteOptions) (*Site, error) {
	var site *Site
	var err error
	for range maxStarts {
		if site, err = newSite(ctx, o); err == nil {
			return site, nil
		}
	}
	return nil, err
}
