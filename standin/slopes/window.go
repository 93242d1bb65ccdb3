package slopes

import (
	"context"
	"time"

	"acaciawinch/standin/harness"
	"acaciawinch/standin/objectstore"
)

// group is the processes of one role, whose spending is added up. Name begins
// the names of its measures.
type group struct {
	name  string
	nodes []node
}

// window is a stretch of time over which a fleet's spending is measured.
type window struct {
	fleet  *harness.Fleet
	groups []group
	began  time.Time
	before []reading
	stats  objectstore.Stats
}

// openWindow begins a window over some groups of processes.
func openWindow(ctx context.Context, fleet *harness.Fleet, groups ...group) (*window, error) {
	w := &window{fleet: fleet, groups: groups}
	for _, g := range groups {
		sum, err := g.sum(ctx, node.open)
		if err != nil {
			return nil, err
		}
		w.before = append(w.before, sum)
	}
	stats, err := fleet.ObjectStats(ctx)
	w.stats = stats
	w.began = time.Now()
	return w, err
}

// sum adds up the readings of a group.
func (g group) sum(ctx context.Context, read func(node, context.Context) (reading, error)) (reading, error) {
	var total reading
	for _, n := range g.nodes {
		one, err := read(n, ctx)
		if err != nil {
			return total, err
		}
		total = total.add(one)
	}
	return total, nil
}

// close ends the window. It returns the rates a second, the memory at the end,
// and how long the window was, in seconds.
func (w *window) close(ctx context.Context) (Values, float64, error) {
	values := Values{}
	seconds := time.Since(w.began).Seconds()
	stats, err := w.fleet.ObjectStats(ctx)
	if err != nil {
		return nil, 0, err
	}
	values["store_reads"] = float64(stats.Reads-w.stats.Reads) / seconds
	values["store_writes"] = float64(stats.Writes-w.stats.Writes) / seconds
	values["store_watches"] = float64(stats.Watches-w.stats.Watches) / seconds
	values["store_waiting"] = float64(stats.Waiting)
	for i, g := range w.groups {
		after, err := g.sum(ctx, node.closing)
		if err != nil {
			return nil, 0, err
		}
		values.note(g, w.before[i], after, seconds)
	}
	return values, seconds, nil
}

// note adds the spending of one group.
func (v Values) note(g group, before, after reading, seconds float64) {
	v[g.name+"_cpu"] = (after.cpu - before.cpu) / seconds
	v[g.name+"_in"] = (after.in - before.in) / seconds
	v[g.name+"_out"] = (after.out - before.out) / seconds
	v[g.name+"_moved"] = (after.moved - before.moved) / seconds
	v[g.name+"_log"] = (after.log - before.log) / seconds
	v[g.name+"_probes"] = (after.probes - before.probes) / seconds
	v[g.name+"_resident"] = after.resident
	v[g.name+"_heap"] = after.heap
}

// pause waits, or fails if ctx ends first.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// over measures groups for a time during which nothing is done.
func over(ctx context.Context, fleet *harness.Fleet, d time.Duration, groups ...group) (Values, error) {
	w, err := openWindow(ctx, fleet, groups...)
	if err != nil {
		return nil, err
	}
	if err := pause(ctx, d); err != nil {
		return nil, err
	}
	values, _, err := w.close(ctx)
	return values, err
}

// during measures what an action spends in all, above what the groups spend at
// rest in the same time. The rates of rest are subtracted, so that the values are
// amounts, not rates; memory is that at the end.
func during(ctx context.Context, fleet *harness.Fleet, rest Values, action func() error, groups ...group) (Values, error) {
	w, err := openWindow(ctx, fleet, groups...)
	if err != nil {
		return nil, err
	}
	if err := action(); err != nil {
		return nil, err
	}
	values, seconds, err := w.close(ctx)
	for name, value := range values {
		if !isMemory(name) {
			values[name] = (value - rest[name]) * seconds
		}
	}
	return values, err
}
