package harness

import (
	"context"
	"strings"
)

// ReplaceSide starts a second sidecar for an upstream at new addresses, waits until
// it is ready, makes it the upstream's Side and puts it into the host list. It
// returns the previous sidecar, which is left as it is and ends with the trial.
func (f *Fleet) ReplaceSide(ctx context.Context, u *Upstream) (*Process, error) {
	listen, err := f.reserveAddresses()
	if err != nil {
		return nil, err
	}
	previous := u.Side
	f.replaced = append(f.replaced, previous)
	u.SideURL = "http://" + listen.admin
	if u.listen.fleet, err = f.intercept(LinkSide, u.Name, listen.fleet); err != nil {
		return nil, err
	}
	if err := f.prepareSide(u, strings.TrimPrefix(u.WorkerURL, "http://"), listen); err != nil {
		return nil, err
	}
	if err := startAll(ctx, []*Process{u.Side}); err != nil {
		return nil, err
	}
	return previous, f.SetHosts(ctx, f.HostList())
}
