// Command standin runs one stand-in of a system that the gateways depend on: the
// platform's object API, the platform's host list, or an upstream.
package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/jessevdk/go-flags"

	"acaciawinch/standin/internal/command"
)

// Time limits of the HTTP servers.
const (
	headerTimeout = 5 * time.Second
	// stopTimeout limits the time for which a planned stop waits for calls in flight.
	stopTimeout = 30 * time.Second
)

// options are the subcommands.
type options struct {
	Objects  objectsCommand  `command:"objects" description:"the platform's object API"`
	Hosts    hostsCommand    `command:"hosts" description:"the platform's host list"`
	Upstream upstreamCommand `command:"upstream" description:"a model engine, a pool worker or a plain service"`
}

func main() { command.RunSubcommands(flags.NewParser(&options{}, flags.Default)) }

// serve serves HTTP at address until SIGTERM or SIGINT. Then it calls beforeShutdown and
// waits for the calls in flight.
func serve(address string, handler http.Handler, beforeShutdown func()) error {
	ctx, cancel := command.SignalContext()
	defer cancel()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	beforeShutdown()
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelShutdown()
	return server.Shutdown(shutdownCtx)
}
