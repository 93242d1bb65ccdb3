// Command bench measures the real processes under an open-loop load. It runs the
// deployments of both users' sizes under the product's policy and under baseline
// policies, and writes tables, JSON, plots and a page.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"acaciawinch/standin/internal/command"
)

// options are the subcommands.
type options struct {
	Load   loadCommand   `command:"load" description:"offer load to both deployments, under each policy"`
	Spread spreadCommand `command:"spread" description:"time accepted changes until they are in force in a large fleet"`
	Bodies bodiesCommand `command:"bodies" description:"send many long bodies to a gateway at once"`
	Page   pageCommand   `command:"page" description:"write the page and the plots from earlier results"`
}

func main() { command.RunSubcommands(flags.NewParser(&options{}, flags.Default)) }

// printProgress prints a line of progress to the standard error.
func printProgress(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
}
