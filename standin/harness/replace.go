package harness

import (
	"context"
	"strings"
)

// ReplaceSide starts another side beside an upstream, at addresses of its own,
// puts it into the host list and waits until it is ready. It becomes the
// upstream's Side. The one before stays as it is and is returned; it ends with
// the trial.
func (f *Fleet) ReplaceSide(ctx context.Context, u *Upstream) (*Process, error) {
	listen, err := f.addresses()
	if err != nil {
		return nil, err
	}
	old := u.Side
	f.replaced = append(f.replaced, old)
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
	return old, f.SetHosts(ctx, f.HostList())
}
