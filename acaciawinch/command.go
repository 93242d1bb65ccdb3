package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"acaciawinch/core/fault"
	"acaciawinch/settings"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailed      = 1
	exitBadInput    = 2
	exitConflict    = 3
	exitUnavailable = 4
)

// defaultTimeout is the default timeout of a whole command.
const defaultTimeout = 30 * time.Second

// options holds the flags common to all commands.
type options struct {
	Config  string        `long:"config" value-name:"FILE" default:"acaciawinch.toml" description:"TOML file with the settings of this command"`
	Output  string        `long:"output" choice:"text" choice:"json" default:"text" description:"form of what is printed"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"time for the whole command"`
}

// env holds the context, options and outputs of a command.
type env struct {
	ctx  context.Context
	opts options
	out  io.Writer
	// errOut is for messages that are not part of the result.
	errOut io.Writer
}

// exitError is an error with an exit code. printed is set if its text has already been
// printed.
type exitError struct {
	code    int
	err     error
	printed bool
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// badInput returns an error for input that the operator must correct.
func badInput(err error) error { return &exitError{code: exitBadInput, err: err} }

// run runs one command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	e := &env{ctx: ctx, out: stdout, errOut: stderr, opts: options{Timeout: defaultTimeout}}
	err := e.parseAndRun(args)
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, help.Message)
		return exitOK
	}
	var exit *exitError
	if err != nil && !(errors.As(err, &exit) && exit.printed) {
		fmt.Fprintln(stderr, err)
	}
	return exitCode(err)
}

// parseAndRun parses a command line and runs the command that it names.
func (e *env) parseAndRun(args []string) error {
	parser := flags.NewNamedParser("acaciawinch", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "operate an acaciawinch fleet"
	if _, err := parser.AddGroup("Options", "", &e.opts); err != nil {
		return err
	}
	for _, c := range commandSpecs(e) {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return err
		}
	}
	dispatched := false
	parser.CommandHandler = func(command flags.Commander, extra []string) error {
		dispatched = true
		if len(extra) > 0 {
			return badInput(fmt.Errorf("unexpected arguments %q", extra))
		}
		ctx, cancel := context.WithTimeout(e.ctx, e.opts.Timeout)
		defer cancel()
		e.ctx = ctx
		return command.Execute(extra)
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	if err != nil && !dispatched && !errors.As(err, &usage) {
		return badInput(fmt.Errorf("wrong argument: %w", err))
	}
	return err
}

// exitCode returns the exit code for err.
func exitCode(err error) int {
	var exit *exitError
	var usage *flags.Error
	var problems settings.Problems
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &usage), errors.As(err, &problems):
		return exitBadInput
	}
	switch fault.CodeOf(err) {
	case fault.Invalid, fault.NotFound:
		return exitBadInput
	case fault.Conflict:
		return exitConflict
	case fault.Unavailable, fault.Ambiguous, fault.DeadlineExceeded, fault.Cancelled:
		return exitUnavailable
	}
	return exitFailed
}

// commandSpec describes one command.
type commandSpec struct {
	name, short, long string
	data              flags.Commander
}

// commandSpecs returns the descriptions of all commands.
func commandSpecs(e *env) []commandSpec {
	return []commandSpec{
		{"validate", "check declarations without applying them", "Checks the files together, without regard to the configuration in force.", &validateCommand{env: e}},
		{"apply", "apply declarations to the configuration in force", "Adds or replaces what the files declare; other declarations stay unless --prune is given.", &applyCommand{env: e}},
		{"get", "print the configuration", "Prints the configuration, as TOML that apply accepts or as JSON.", &getCommand{env: e}},
		{"history", "list accepted changes", "Lists accepted changes, the latest first.", &historyCommand{env: e}},
		{"rollback", "return to an earlier configuration", "Accepts a new change with the content of an earlier revision.", &rollbackCommand{env: e}},
		{"status", "show the configuration at the store and the status of entries", "Queries the store and the entries listed in the settings.", &statusCommand{env: e}},
		{"explain", "show the decisions about a request and their reasons", "Queries entries for the trace of a recent request.", &explainCommand{env: e}},
		{"account", "summarize the outcomes of requests from logs of gateways", "Counts, by route, the requests that were in time, late, refused or failed, and the causes.", &accountCommand{env: e}},
		{"drain", "take an upstream out of service", "Stops new work at the upstream; work in flight finishes.", &drainCommand{env: e}},
		{"undrain", "put a drained upstream back into service", "Allows new work at the upstream again.", &drainCommand{env: e, resume: true}},
		{"quarantine", "list and clear what is refused because upstreams crash under it", "Reads the gateways' records of crashes in the platform's store. Lists the parts of prompts and the requests that gateways refuse, or clears one of them everywhere.", &quarantineCommand{env: e}},
		{"charts", "print the state charts", "Prints the state charts as Markdown with Mermaid diagrams.", &chartsCommand{env: e}},
	}
}
