package spread

import (
	"context"
	"time"

	"acaciawinch/standin/bench/report"
	"acaciawinch/standin/bench/usage"
	"acaciawinch/standin/harness"
	"acaciawinch/standin/objectstore"
)

// spent is what the fleet had spent at one moment.
type spent struct {
	at      time.Time
	machine usage.Machine
	stats   objectstore.Stats
	entry   roleSpent
	side    roleSpent
}

// roleSpent is the sum over the processes of a role.
type roleSpent struct {
	count    int
	cpu      float64
	bytes    float64
	resident int
	largest  int
}

// spent reads the object API's counts and all processes.
func (m *measurement) spent(ctx context.Context) (spent, error) {
	stats, err := m.fleet.ObjectStats(ctx)
	if err != nil {
		return spent{}, err
	}
	s := spent{at: time.Now(), machine: machineNow(), stats: stats}
	for _, entry := range m.fleet.Entries {
		s.entry.add(ctx, entry.Process, entry.AdminURL)
	}
	for _, u := range m.fleet.Upstreams {
		s.side.add(ctx, u.Side, u.SideURL)
	}
	return s, nil
}

// add adds one process, if it runs.
func (r *roleSpent) add(ctx context.Context, p *harness.Process, adminURL string) {
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

// since returns the mean of a process's spending since an earlier reading.
func (r roleSpent) since(earlier roleSpent, seconds float64) report.Rest {
	if r.count == 0 || seconds <= 0 {
		return report.Rest{}
	}
	count := float64(r.count)
	return report.Rest{
		CoreShare:       (r.cpu - earlier.cpu) / (count * seconds),
		FleetBytes:      (r.bytes - earlier.bytes) / (count * seconds),
		ResidentBytes:   float64(r.resident) / count,
		LargestResident: float64(r.largest),
	}
}
