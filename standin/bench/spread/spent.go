package spread

import (
	"context"
	"time"

	"acaciawinch/standin/bench/report"
	"acaciawinch/standin/bench/usage"
	"acaciawinch/standin/harness"
	"acaciawinch/standin/objectstore"
)

// fleetUsage is the resource usage of the fleet up to one moment.
type fleetUsage struct {
	at      time.Time
	machine usage.Machine
	stats   objectstore.Stats
	entry   roleUsage
	side    roleUsage
}

// roleUsage is the resource usage summed over the processes of a role.
type roleUsage struct {
	count    int
	cpu      float64
	bytes    float64
	resident int
	largest  int
}

// readUsage reads the call counts of the object API and the usage of all processes.
func (m *measurement) readUsage(ctx context.Context) (fleetUsage, error) {
	stats, err := m.fleet.ObjectStats(ctx)
	if err != nil {
		return fleetUsage{}, err
	}
	s := fleetUsage{at: time.Now(), machine: readMachine(), stats: stats}
	for _, entry := range m.fleet.Entries {
		s.entry.add(ctx, entry.Process, entry.AdminURL)
	}
	for _, u := range m.fleet.Upstreams {
		s.side.add(ctx, u.Side, u.SideURL)
	}
	return s, nil
}

// add adds the usage of one process. It skips a process that does not run or whose
// usage cannot be read.
func (r *roleUsage) add(ctx context.Context, p *harness.Process, adminURL string) {
	if !p.Running() {
		return
	}
	reading, err := usage.OfProcess(p.PID())
	if err != nil {
		return
	}
	bytes, err := usage.FleetBytes(ctx, adminURL)
	if err != nil {
		return
	}
	r.count++
	r.bytes += bytes
	r.cpu += reading.CPUSeconds
	r.resident += reading.ResidentBytes
	r.largest = max(r.largest, reading.ResidentBytes)
}

// meanSince returns the mean usage of one process since an earlier reading.
func (r roleUsage) meanSince(earlier roleUsage, seconds float64) report.IdleUsage {
	if r.count == 0 || seconds <= 0 {
		return report.IdleUsage{}
	}
	count := float64(r.count)
	return report.IdleUsage{
		CoreShare:       (r.cpu - earlier.cpu) / (count * seconds),
		FleetBytes:      (r.bytes - earlier.bytes) / (count * seconds),
		ResidentBytes:   float64(r.resident) / count,
		LargestResident: float64(r.largest),
	}
}
