// Command platformdemo runs gateways as real processes against stand-ins of the users'
// platform. It sends requests of each kind from several clients; meanwhile it removes a
// worker, and kills and restarts a gateway. It checks the clients' responses against the
// runs at the workers, then stops all gateways gracefully. It exits 1 on any violation.
package main

import (
	"context"
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"

	"acaciawinch/standin/internal/command"
	"acaciawinch/standin/platformfleet"
)

// Time limits.
const (
	runTimeout  = 40 * time.Second
	stopTimeout = 10 * time.Second
)

// options are the command-line flags.
type options struct {
	Bin      string `long:"bin" default:"bin" description:"folder of the built binaries"`
	Gateways int    `long:"gateways" default:"3" description:"gateways to run"`
	Requests int    `long:"requests" default:"90" description:"requests to send"`
}

func main() {
	var o options
	command.Run(flags.NewParser(&o, flags.Default), func(ctx context.Context) error { return run(ctx, o) })
}

// run starts the deployment, sends the requests, judges the responses and stops the
// deployment.
func run(ctx context.Context, o options) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	fleet, err := platformfleet.Start(ctx, platformfleet.Options{Bin: o.Bin, Gateways: o.Gateways})
	if err != nil {
		return err
	}
	defer fleet.Kill()
	fmt.Printf("%d gateways serve; %d requests from clients, a worker leaves and a gateway is killed meanwhile\n", o.Gateways, o.Requests)
	d := &demo{fleet: fleet}
	d.sendAll(ctx, o.Requests)
	if err := d.judge(); err != nil {
		return err
	}
	stopCtx, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	if err := fleet.Stop(stopCtx); err != nil {
		return err
	}
	fmt.Println("all gateways stopped with exit code 0")
	return nil
}
