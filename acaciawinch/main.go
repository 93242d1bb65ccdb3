// Command acaciawinch is the command line of operators: it changes and prints the
// configuration, shows the state of the fleet and explains its decisions.
//
// Exit codes: 0 done, 1 failed, 2 wrong usage or bad input, 3 conflict with
// another operator, 4 the store or a process did not respond.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// main runs the command until it ends or is interrupted by a signal.
func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
