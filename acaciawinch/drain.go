package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"acaciawinch/core/config"
	"acaciawinch/core/config/accept"
	"acaciawinch/core/fault"
	"acaciawinch/core/fleet"
	"acaciawinch/platform/hosts"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// drainTimeout is the timeout of the direct call to the sidecar.
const drainTimeout = 2 * time.Second

// drainCommand drains an upstream, or undrains it.
type drainCommand struct {
	env *env
	// resume undrains the upstream.
	resume bool
	Note   string `long:"note" description:"why, for the history"`
	Args   struct {
		Upstream string `positional-arg-name:"UPSTREAM" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. The configuration change makes the drain
// persistent and reaches the whole fleet; the call to the sidecar makes it effective
// at once. A drain calls the sidecar first, so that it refuses new work even while the
// store is down. An undrain calls it only after the change was accepted: until then
// the drain is in force.
func (c *drainCommand) Execute([]string) error {
	s, err := c.env.settings()
	if err != nil {
		return err
	}
	host, err := c.findHost(s)
	if err != nil {
		return err
	}
	if !c.resume {
		c.reportSideCall(c.callSide(s, host))
	}
	api, err := c.env.objects()
	if err != nil {
		return err
	}
	request := accept.Request{Note: c.note(), Change: c.change()}
	if err := c.env.acceptChange(api, request, config.Problem.String); err != nil {
		return err
	}
	if c.resume {
		c.reportSideCall(c.callSide(s, host))
	}
	return nil
}

// reportSideCall prints the result of the call to the sidecar.
func (c *drainCommand) reportSideCall(callErr error) {
	if callErr != nil {
		fmt.Fprintf(c.env.errOut, "the sidecar could not be called; it will get the change with the configuration: %v\n", callErr)
		return
	}
	fmt.Fprintf(c.env.errOut, "the sidecar of %s was notified\n", c.Args.Upstream)
}

// change returns the configuration change.
func (c *drainCommand) change() config.Change {
	if c.resume {
		return config.Change{Undrain: []string{c.Args.Upstream}}
	}
	return config.Change{Drain: []string{c.Args.Upstream}}
}

// note returns the note for the history; without --note it names the operation.
func (c *drainCommand) note() string {
	switch {
	case c.Note != "":
		return c.Note
	case c.resume:
		return "undrain " + c.Args.Upstream
	}
	return "drain " + c.Args.Upstream
}

// findHost looks up the upstream in the host list. A drain of an upstream that is not
// in the list is refused as a mistake; an undrain is not, since a drained upstream may
// be gone. The host is empty if it is not in the list or the list is unavailable.
func (c *drainCommand) findHost(s Settings) (fleet.Host, error) {
	if s.Platform.Hosts == "" {
		return fleet.Host{}, nil
	}
	list, err := hosts.NewClient(s.Platform.Hosts).List(c.env.ctx)
	if err != nil {
		return fleet.Host{}, nil
	}
	i := slices.IndexFunc(list.Hosts, func(h fleet.Host) bool {
		return h.Role == fleet.RoleUpstream && h.Name == c.Args.Upstream
	})
	if i >= 0 {
		return list.Hosts[i], nil
	}
	if c.resume {
		return fleet.Host{}, nil
	}
	return fleet.Host{}, fault.New(fault.NotFound, "drain", "", "the host list has no upstream %q", c.Args.Upstream)
}

// callSide calls the sidecar of the upstream to drain it, or to end the drain.
func (c *drainCommand) callSide(s Settings, host fleet.Host) error {
	if host.Addr == "" || s.Fleet.Key == "" {
		return fault.New(fault.Unavailable, "drain", c.Args.Upstream, "the address of the upstream or the fleet key is unknown")
	}
	ctx, cancel := context.WithTimeout(c.env.ctx, drainTimeout)
	defer cancel()
	dialer := link.NewDialer(s.Fleet.Key)
	defer func() { _ = dialer.Close() }() // the command ends after this call
	conn := dialer.Conn(ctx, host.Addr)
	defer func() { _ = conn.Close() }() // the connection is not used again
	_, err := wirepb.NewDRPCSideClient(conn).Drain(ctx, &wirepb.DrainRequest{Resume: c.resume, Reason: c.note()})
	return fault.Wrap(fault.Unavailable, "drain", c.Args.Upstream, err)
}
