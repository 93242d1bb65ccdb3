// Command bench measures the real processes under an open-loop load, in both of
// the users' sizes, under the product's own policy and the baselines, and writes
// tables, JSON, plots and a page.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// options are the subcommands.
type options struct {
	Load   loadCommand   `command:"load" description:"offer load to both deployments, under each policy"`
	Spread spreadCommand `command:"spread" description:"time accepted changes until they are in force in a large fleet"`
	Page   pageCommand   `command:"page" description:"write the page and the plots from earlier results"`
}

func main() {
	_, err := flags.Parse(&options{})
	var usage *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
	case errors.As(err, &usage):
		os.Exit(exitUsage)
	default:
		os.Exit(exitFailed)
	}
}

// stopSignals returns a context that ends at SIGTERM or SIGINT.
func stopSignals() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// note prints a line of progress.
func note(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
}
