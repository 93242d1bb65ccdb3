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

// drainTimeout bounds the call to the side itself.
const drainTimeout = 2 * time.Second

// drainCommand takes an upstream out of service, or puts it back.
type drainCommand struct {
	env *env
	// resume puts the upstream back.
	resume bool
	Note   string `long:"note" description:"why, for the history"`
	Args   struct {
		Upstream string `positional-arg-name:"UPSTREAM" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. The configuration makes the drain last and
// tells everybody; the call to the side makes it hold at once. A drain calls the
// side first, so that new work ends there also while the store is down. An undrain
// calls it only after the change was accepted: until then the drain is in force.
func (c *drainCommand) Execute([]string) error {
	s, err := c.env.settings()
	if err != nil {
		return err
	}
	host, err := c.find(s)
	if err != nil {
		return err
	}
	if !c.resume {
		c.remark(c.tell(s, host))
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
		c.remark(c.tell(s, host))
	}
	return nil
}

// remark tells the operator whether the side knows already.
func (c *drainCommand) remark(told error) {
	if told != nil {
		fmt.Fprintf(c.env.errOut, "the side was not reached, the configuration will tell it: %v\n", told)
		return
	}
	fmt.Fprintf(c.env.errOut, "the side of %s was told\n", c.Args.Upstream)
}

// change returns the change of the configuration.
func (c *drainCommand) change() config.Change {
	if c.resume {
		return config.Change{Undrain: []string{c.Args.Upstream}}
	}
	return config.Change{Drain: []string{c.Args.Upstream}}
}

// note returns why, for the history.
func (c *drainCommand) note() string {
	switch {
	case c.Note != "":
		return c.Note
	case c.resume:
		return "undrain " + c.Args.Upstream
	}
	return "drain " + c.Args.Upstream
}

// find looks the upstream up in the host list. If the list says that there is no
// such upstream, a drain is refused as a mistake; an undrain is not, since a
// drained upstream may be gone. Without the list, the host is empty.
func (c *drainCommand) find(s Settings) (fleet.Host, error) {
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

// tell calls the side of the upstream.
func (c *drainCommand) tell(s Settings, host fleet.Host) error {
	if host.Addr == "" || s.Fleet.Key == "" {
		return fault.New(fault.Unavailable, "drain", c.Args.Upstream, "its address or the fleet's key is not known")
	}
	ctx, cancel := context.WithTimeout(c.env.ctx, drainTimeout)
	defer cancel()
	dialer := link.NewDialer(s.Fleet.Key)
	defer func() { _ = dialer.Close() }() // the command ends
	conn := dialer.Conn(ctx, host.Addr)
	defer func() { _ = conn.Close() }() // the call is over; a connection that fails to close is not used again
	_, err := wirepb.NewDRPCSideClient(conn).Drain(ctx, &wirepb.DrainRequest{Resume: c.resume, Reason: c.note()})
	return fault.Wrap(fault.Unavailable, "drain", c.Args.Upstream, err)
}
