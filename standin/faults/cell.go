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
	// Excluded says why the cell can't apply; then nothing was run.
	Excluded string `json:"excluded,omitempty"`
	// First is what the first request's caller got, and Last what it got by
	// asking again with its key when the fault was over.
	First string `json:"first,omitempty"`
	Last  string `json:"last,omitempty"`
	// Note says what else is worth knowing.
	Note     string    `json:"note,omitempty"`
	Counts   Counts    `json:"counts"`
	Findings []Finding `json:"findings,omitempty"`
	// Runs counts the tries; more than one if the step was missed.
	Runs   int    `json:"runs"`
	TookMS int64  `json:"took_ms"`
	Dir    string `json:"-"`
}

// Passed tells whether nothing was violated.
func (r Report) Passed() bool { return len(r.Findings) == 0 }

// Cell is one fault at one step, or a course of its own.
type Cell struct {
	Fault string
	Step  string
	// Excluded says why the cell can't apply.
	Excluded string
	// Needs are the options of the site.
	Needs siteOptions
	// run plays the cell on a site and returns what it found.
	run func(ctx context.Context, s *Site, report *Report) error
}

// cellTimeout bounds one run of a cell.
const cellTimeout = 60 * time.Second

// KeepEnvironment names the environment variable that keeps the folders of all
// cells; else only those of cells with findings are kept.
const KeepEnvironment = "ACACIAWINCH_KEEP"

// maxRuns is how often a cell is run if its step is missed.
const maxRuns = 4

// Play runs a cell on deployments of its own until its step was not missed.
func (c Cell) Play(ctx context.Context, bin string) Report {
	report := Report{Fault: c.Fault, Step: c.Step, Excluded: c.Excluded}
	if c.Excluded != "" {
		return report
	}
	began := time.Now()
	for report.Runs = 1; ; report.Runs++ {
		again := c.playOnce(ctx, bin, &report)
		if !again || report.Runs == maxRuns {
			break
		}
	}
	report.TookMS = time.Since(began).Milliseconds()
	return report
}

// playOnce runs a cell once. It returns true if the step was missed.
func (c Cell) playOnce(ctx context.Context, bin string, report *Report) bool {
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

// maxStarts is how often a site is started. Other programs of the machine may take
// a port between its choice and its use, which says nothing of the system.
const maxStarts = 3

// startSite starts a site, once more if that fails.
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
