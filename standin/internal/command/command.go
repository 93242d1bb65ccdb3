// Package command runs the programs of the stand-ins and measurements: one way to
// parse a command line, to stop at a signal, and to end with an exit code.
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

// Exit codes beside 0.
const (
	exitFailed = 1
	exitUsage  = 2
)

// Subcommands parses the command line and carries out the subcommand that it
// names. It ends the process if that fails; the parser has printed why.
func Subcommands(parser *flags.Parser) {
	_, err := parser.Parse()
	if code := exitCode(err); code != 0 {
		os.Exit(code)
	}
}

// Single parses the command line of a program without subcommands and calls run
// with a context that ends at a stop signal. It ends the process if that fails.
func Single(parser *flags.Parser, run func(context.Context) error) {
	if _, err := parser.Parse(); err != nil {
		os.Exit(exitCode(err))
	}
	ctx, stop := StopSignals()
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, parser.Name+":", err)
		os.Exit(exitFailed)
	}
}

// exitCode returns the exit code for what the parser returned. Asking for help is
// no failure.
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

// StopSignals returns a context that ends at SIGTERM or SIGINT.
func StopSignals() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
