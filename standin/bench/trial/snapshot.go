package trial

import (
	"context"
	"os"
	"slices"
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
	// others are the processor seconds of the stand-ins and of the load generator.
	others []float64
}

// node is one process's part of a snapshot. Processes that are gone or don't
// answer have ok unset.
type node struct {
	ok       bool
	reading  usage.Reading
	counters map[string]float64
	// fleetBytes is the traffic with other processes of the fleet so far.
	fleetBytes float64
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
		others:  r.others(),
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

// others reads the processor time of the stand-ins and of the load generator,
// zero for those that are gone.
func (r *run) others() []float64 {
	pids := []int{os.Getpid(), r.fleet.Objects.PID(), r.fleet.Hosts.PID()}
	for _, u := range r.fleet.Upstreams {
		pids = append(pids, u.Worker.PID())
	}
	times := make([]float64, len(pids))
	for i, pid := range pids {
		reading, err := usage.OfProcess(pid)
		if err == nil {
			times[i] = reading.CPUSeconds
		}
	}
	return times
}

// cores returns how many processors all processes that lived on used on average.
func cores(before, after snapshot, seconds float64) float64 {
	total := 0.0
	for i := range after.others {
		total += max(0, after.others[i]-before.others[i])
	}
	earlier := slices.Concat(before.entries, before.sides)
	for i, n := range slices.Concat(after.entries, after.sides) {
		if n.ok {
			total += n.reading.CPUSeconds - earlier[i].reading.CPUSeconds
		}
	}
	return total / seconds
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
	bytes, err := usage.FleetBytes(ctx, adminURL)
	if err != nil {
		return node{}
	}
	return node{ok: true, reading: reading, counters: counters, fleetBytes: bytes}
}

// nodes works out what the processes spent between two snapshots.
func nodes(before, after snapshot) report.Nodes {
	seconds := after.at.Sub(before.at).Seconds()
	return report.Nodes{
		IdleShare:  after.machine.IdleShare(before.machine),
		TrialCores: cores(before, after, seconds),
		Entry:      role(before.entries, after.entries, seconds),
		Side:       role(before.sides, after.sides, seconds),
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
	sum.FleetBytes += after.fleetBytes - before.fleetBytes
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
