package main

import (
	"fmt"

	"acaciawinch/standin/bench/bodies"
	"acaciawinch/standin/internal/command"
)

// bodiesCommand measures a gateway while many clients send long bodies at once.
type bodiesCommand struct {
	Bin     string   `long:"bin" default:"bin" description:"folder of the built binaries"`
	Clients []int    `long:"clients" default:"60" default:"240" default:"1000" description:"how many clients send a long body; may be repeated"`
	Modes   []string `long:"mode" default:"length" default:"chunked" default:"stalling" description:"how they send it; may be repeated"`
}

// Execute implements flags.Commander.
func (c *bodiesCommand) Execute([]string) error {
	ctx, stop := command.SignalContext()
	defer stop()
	fmt.Println("mode      clients  peak MiB  killed  served of sending  refused  tries  small served  small failed")
	for _, mode := range c.Modes {
		for _, clients := range c.Clients {
			r, err := bodies.Run(ctx, bodies.Options{Bin: c.Bin, Clients: clients, Mode: mode})
			if err != nil {
				return err
			}
			fmt.Printf("%-9s %7d  %8.0f  %6t  %6d of %-8d  %7d  %5d  %12d  %12d\n", r.Mode, r.Clients, r.PeakMB, r.Killed, r.Served, r.Sending, r.Refused, r.Tries, r.SmallServed, r.SmallFailed)
		}
	}
	return nil
}
