package trial

import (
	"context"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/standin/bench/report"
	"acaciawinch/standin/bench/usage"
	"acaciawinch/standin/harness"
)

// snapshot is what all processes had spent at one moment.
type snapshot struct {
	at      time.Time
	machine usage.Machine
	entries []node
	sides   []node
}

// node is one process's part of a snapshot. Processes that are gone or don't
// answer have ok unset.
type node struct {
	ok       bool
	reading  usage.Reading
	counters map[string]float64
	status   nodeStatus
}

// nodeStatus is the part of a process's status that the bench reads.
type nodeStatus struct {
	FleetReadBytes    uint64 `json:"fleet_read_bytes"`
	FleetWrittenBytes uint64 `json:"fleet_written_bytes"`
}

// snapshot reads the machine and all processes.
func (r *run) snapshot(ctx context.Context) (snapshot, error) {
	machine, err := usage.OfMachine()
	if err != nil {
		return snapshot{}, err
	}
	s := snapshot{
		at:      time.Now(),
		machine: machine,
		entries: make([]node, len(r.fleet.Entries)),
		sides:   make([]node, len(r.fleet.Upstreams)),
	}
	var group errgroup.Group
	for i, entry := range r.fleet.Entries {
		group.Go(func() error {
			s.entries[i] = read(ctx, entry.Process, entry.AdminURL)
			return nil
		})
	}
	for i, u := range r.fleet.Upstreams {
		group.Go(func() error {
			s.sides[i] = read(ctx, u.Side, u.SideURL)
			return nil
		})
	}
	return s, group.Wait()
}

// read reads one process.
func read(ctx context.Context, process *harness.Process, adminURL string) node {
	if !process.Running() {
		return node{}
	}
	reading, err := usage.OfProcess(process.PID())
	if err != nil {
		return node{}
	}
	counters, err := usage.Metrics(ctx, adminURL)
	if err != nil {
		return node{}
	}
	n := node{ok: true, reading: reading, counters: counters}
	if err := usage.Status(ctx, adminURL, &n.status); err != nil {
		return node{}
	}
	return n
}

// nodes works out what the processes spent between two snapshots.
func nodes(before, after snapshot) report.Nodes {
	seconds := after.at.Sub(before.at).Seconds()
	return report.Nodes{
		IdleShare: after.machine.IdleShare(before.machine),
		Entry:     role(before.entries, after.entries, seconds),
		Side:      role(before.sides, after.sides, seconds),
	}
}

// role works out the means over the processes that answered both times.
func role(before, after []node, seconds float64) report.Role {
	sum := report.Role{Counters: map[string]float64{}}
	count := 0.0
	for i := range after {
		if !before[i].ok || !after[i].ok {
			continue
		}
		count++
		addNode(&sum, before[i], after[i])
	}
	if count == 0 || seconds <= 0 {
		return report.Role{}
	}
	sum.CoreShare /= count * seconds
	sum.FleetBytes /= count * seconds
	sum.ProbeBytes /= count * seconds
	sum.ResidentBytes /= count
	return sum
}

// probeBytes is the end of the name of the counter of probes' bytes.
const probeBytes = "routing_probe_bytes"

// ownCounters begins the names of the counters that the system publishes.
const ownCounters = "acaciawinch_"

// addNode adds one process's spending between two readings.
func addNode(sum *report.Role, before, after node) {
	sum.CoreShare += after.reading.CPUSeconds - before.reading.CPUSeconds
	sum.ResidentBytes += float64(after.reading.ResidentBytes)
	sum.FleetBytes += float64(after.status.FleetReadBytes - before.status.FleetReadBytes)
	sum.FleetBytes += float64(after.status.FleetWrittenBytes - before.status.FleetWrittenBytes)
	for name, value := range after.counters {
		if !strings.HasPrefix(name, ownCounters) {
			continue
		}
		grown := value - before.counters[name]
		sum.Counters[name] += grown
		if strings.HasSuffix(name, probeBytes) {
			sum.ProbeBytes += grown
		}
	}
}
