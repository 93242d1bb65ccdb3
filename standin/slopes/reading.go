package slopes

import (
	"context"
	"os"

	"github.com/prometheus/procfs"

	"acaciawinch/standin/bench/usage"
	"acaciawinch/standin/harness"
)

// reading is what one process has spent since its start, and what it holds.
type reading struct {
	// cpu is processor time in milliseconds.
	cpu float64
	// in and out are bytes between processes of the fleet.
	in, out float64
	// moved are the bytes of all reads and writes but the log's: the traffic with
	// the store, the host list, callers and upstreams counts as well.
	moved float64
	// log is the length of the log in bytes.
	log      float64
	resident float64
	// heap is the live heap that the last collection found, in bytes.
	heap float64
	// probes counts the probes that an entry sent.
	probes float64
}

// node is a process that can be read.
type node struct {
	process *harness.Process
	admin   string
}

// entryNode and sideNode return the readable process of an entry and of a side.
func entryNode(e *harness.Entry) node   { return node{e.Process, e.AdminURL} }
func sideNode(u *harness.Upstream) node { return node{u.Side, u.SideURL} }

// open reads the process at the beginning of a window: the kernel's counts come
// last, so that what the reading itself costs stays out of the window.
func (n node) open(ctx context.Context) (reading, error) {
	var r reading
	if err := r.ask(ctx, n); err != nil {
		return r, err
	}
	return r, r.look(n)
}

// closing reads the process at the end of a window: the kernel's counts come first.
func (n node) closing(ctx context.Context) (reading, error) {
	var r reading
	if err := r.look(n); err != nil {
		return r, err
	}
	return r, r.ask(ctx, n)
}

// traffic is the part of a status that tells traffic. Entries and sides name it
// differently.
type traffic struct {
	EntryRead    float64 `json:"fleet_read_bytes"`
	EntryWritten float64 `json:"fleet_written_bytes"`
	SideRead     float64 `json:"fleet_bytes_read"`
	SideWritten  float64 `json:"fleet_bytes_written"`
}

// Names of metrics, and the ratio of the collector's next target to the live
// heap under the runtime's default.
const (
	nextCollection = "go_memstats_next_gc_bytes"
	probesSent     = "acaciawinch_entry_routing_probes_sent"
	targetRatio    = 2
)

// ask reads what the process publishes.
func (r *reading) ask(ctx context.Context, n node) error {
	var t traffic
	if err := usage.Status(ctx, n.admin, &t); err != nil {
		return err
	}
	metrics, err := usage.Metrics(ctx, n.admin)
	if err != nil {
		return err
	}
	r.in = t.EntryRead + t.SideRead
	r.out = t.EntryWritten + t.SideWritten
	r.heap = metrics[nextCollection] / targetRatio
	r.probes = metrics[probesSent]
	return nil
}

// look reads what the kernel tells of the process.
func (r *reading) look(n node) error {
	pid := n.process.PID()
	spent, err := usage.OfProcess(pid)
	if err != nil {
		return err
	}
	process, err := procfs.NewProc(pid)
	if err != nil {
		return err
	}
	io, err := process.IO()
	if err != nil {
		return err
	}
	log, err := os.Stat(n.process.Log)
	if err != nil {
		return err
	}
	r.cpu = 1000 * spent.CPUSeconds
	r.resident = float64(spent.ResidentBytes)
	r.log = float64(log.Size())
	r.moved = float64(io.RChar+io.WChar) - r.log
	return nil
}

// add returns the sum of two readings.
func (r reading) add(o reading) reading {
	return reading{
		cpu: r.cpu + o.cpu, in: r.in + o.in, out: r.out + o.out, moved: r.moved + o.moved,
		log: r.log + o.log, resident: r.resident + o.resident, heap: r.heap + o.heap, probes: r.probes + o.probes,
	}
}
