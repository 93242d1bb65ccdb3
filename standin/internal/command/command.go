// Package command holds what the programs of the stand-ins and measurements share:
// command-line parsing, stopping at a signal, and exit codes.
package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit codes of failures. Success is 0.
const (
	exitFailed = 1
	exitUsage  = 2
)

// RunSubcommands parses the command line and executes the subcommand that it names. On
// failure it exits the process; the parser has printed the error.
func RunSubcommands(parser *flags.Parser) {
	_, err := parser.Parse()
	if code := exitCode(err); code != 0 {
		os.Exit(code)
	}
}

// Run parses the command line of a program without subcommands and calls run with a
// context that ends at SIGTERM or SIGINT. On failure it exits the process.
func Run(parser *flags.Parser, run func(context.Context) error) {
	if _, err := parser.Parse(); err != nil {
		os.Exit(exitCode(err))
	}
	ctx, stop := SignalContext()
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, parser.Name+":", err)
		os.Exit(exitFailed)
	}
}

// exitCode returns the exit code for the parser's error. A request for help is not a
// failure.
func exitCode(err error) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		return 0
	case errors.As(err, &usage):
		return exitUsage
	}
	return exitFailed
}

// SignalContext returns a context that ends at SIGTERM or SIGINT.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
