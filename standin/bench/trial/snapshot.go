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

// snapshot is the resource usage of all processes up to one moment.
type snapshot struct {
	at      time.Time
	machine usage.Machine
	entries []nodeUsage
	sides   []nodeUsage
	// otherCPU holds the processor seconds of each stand-in and of the load
	// generator.
	otherCPU []float64
}

// nodeUsage is the usage of one process in a snapshot. readable is unset if the
// process no longer runs or does not respond.
type nodeUsage struct {
	readable bool
	reading  usage.Reading
	counters map[string]float64
	// fleetBytes is the traffic with other processes of the fleet since the start
	// of the process.
	fleetBytes float64
}

// takeSnapshot reads the usage of the machine and of all processes.
func (r *run) takeSnapshot(ctx context.Context) (snapshot, error) {
	machine, err := usage.OfMachine()
	if err != nil {
		return snapshot{}, err
	}
	s := snapshot{
		at:       time.Now(),
		machine:  machine,
		entries:  make([]nodeUsage, len(r.fleet.Entries)),
		sides:    make([]nodeUsage, len(r.fleet.Upstreams)),
		otherCPU: r.readOtherCPU(),
	}
	var group errgroup.Group
	for i, entry := range r.fleet.Entries {
		group.Go(func() error {
			s.entries[i] = readNode(ctx, entry.Process, entry.AdminURL)
			return nil
		})
	}
	for i, u := range r.fleet.Upstreams {
		group.Go(func() error {
			s.sides[i] = readNode(ctx, u.Side, u.SideURL)
			return nil
		})
	}
	return s, group.Wait()
}

// readOtherCPU returns the processor seconds of each stand-in and of the load
// generator, zero for processes that no longer run.
func (r *run) readOtherCPU() []float64 {
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

// cores returns the mean number of processors used by all processes that still run
// at the second snapshot.
func cores(before, after snapshot, seconds float64) float64 {
	total := 0.0
	for i := range after.otherCPU {
		total += max(0, after.otherCPU[i]-before.otherCPU[i])
	}
	earlier := slices.Concat(before.entries, before.sides)
	for i, n := range slices.Concat(after.entries, after.sides) {
		if n.readable {
			total += n.reading.CPUSeconds - earlier[i].reading.CPUSeconds
		}
	}
	return total / seconds
}

// readNode reads the usage of one process.
func readNode(ctx context.Context, process *harness.Process, adminURL string) nodeUsage {
	if !process.Running() {
		return nodeUsage{}
	}
	reading, err := usage.OfProcess(process.PID())
	if err != nil {
		return nodeUsage{}
	}
	counters, err := usage.Metrics(ctx, adminURL)
	if err != nil {
		return nodeUsage{}
	}
	bytes, err := usage.FleetBytes(ctx, adminURL)
	if err != nil {
		return nodeUsage{}
	}
	return nodeUsage{readable: true, reading: reading, counters: counters, fleetBytes: bytes}
}

// nodes computes the usage of the processes between two snapshots.
func nodes(before, after snapshot) report.Nodes {
	seconds := after.at.Sub(before.at).Seconds()
	return report.Nodes{
		IdleShare:  after.machine.IdleShare(before.machine),
		TrialCores: cores(before, after, seconds),
		Entry:      role(before.entries, after.entries, seconds),
		Side:       role(before.sides, after.sides, seconds),
	}
}

// role computes the mean usage of the processes that both snapshots could read.
func role(before, after []nodeUsage, seconds float64) report.Role {
	sum := report.Role{Counters: map[string]float64{}}
	count := 0.0
	for i := range after {
		if !before[i].readable || !after[i].readable {
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

// probeBytesSuffix is the suffix of the names of the counters of probe traffic.
const probeBytesSuffix = "routing_probe_bytes"

// ownMetricPrefix is the prefix of the names of the system's own metrics.
const ownMetricPrefix = "acaciawinch_"

// addNode adds the usage of one process between two snapshots to sum.
func addNode(sum *report.Role, before, after nodeUsage) {
	sum.CoreShare += after.reading.CPUSeconds - before.reading.CPUSeconds
	sum.ResidentBytes += float64(after.reading.ResidentBytes)
	sum.FleetBytes += after.fleetBytes - before.fleetBytes
	for name, value := range after.counters {
		if !strings.HasPrefix(name, ownMetricPrefix) {
			continue
		}
		increase := value - before.counters[name]
		sum.Counters[name] += increase
		if strings.HasSuffix(name, probeBytesSuffix) {
			sum.ProbeBytes += increase
		}
	}
}
