// Command acaciawinchd is the daemon of acaciawinch. It runs as an entry process, as
// a gateway process, or as the side process (sidecar) of one upstream.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	// exitSettings: the command line or the settings are invalid.
	exitSettings = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses the command line, runs the command and returns the exit code.
func run(args []string) int {
	parser := flags.NewParser(nil, flags.Default&^flags.PrintErrors)
	parser.LongDescription = "The daemon of acaciawinch."
	addCommands(parser)
	_, err := parser.ParseArgs(args)
	if err == nil {
		return exitOK
	}
	return report(err)
}

// report prints err and returns its exit code.
func report(err error) int {
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Println(usage.Message)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "acaciawinchd:", err)
	var settings settingsError
	if usage != nil || errors.As(err, &settings) {
		return exitSettings
	}
	return exitFailed
}
