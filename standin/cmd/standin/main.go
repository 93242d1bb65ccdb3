// Command standin runs one small stand-in of what surrounds the system: the
// platform's object API, its host list, or an upstream.
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
	// stopTimeout bounds how long a planned stop waits for calls in flight.
	stopTimeout = 30 * time.Second
)

// options are the subcommands.
type options struct {
	Objects  objectsCommand  `command:"objects" description:"the platform's object API"`
	Hosts    hostsCommand    `command:"hosts" description:"the platform's host list"`
	Upstream upstreamCommand `command:"upstream" description:"a model engine, a pool worker or a plain service"`
}

func main() { command.Subcommands(flags.NewParser(&options{}, flags.Default)) }

// serve answers HTTP at address until a stop signal. Then it calls stopping,
// lets the calls in flight end and returns.
func serve(address string, handler http.Handler, stopping func()) error {
	ctx, cancel := command.StopSignals()
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
	stopping()
	limit, cancelLimit := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelLimit()
	return server.Shutdown(limit)
}
