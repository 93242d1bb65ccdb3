// Command acaciawinch is the operators' command: it changes and shows the
// configuration, and explains what the fleet does.
//
// Exit codes: 0 done, 1 failed, 2 wrong usage or bad input, 3 conflict with
// another operator, 4 the store or a process gave no answer.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// main runs the command until it ends or is interrupted.
func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
