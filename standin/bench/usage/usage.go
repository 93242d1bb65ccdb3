// Package usage reads what the processes of a trial spend: processor time and
// memory from the kernel, and the counters that they publish themselves.
package usage

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/procfs"
)

// Reading is what one process has spent since its start.
type Reading struct {
	// CPUSeconds is the processor time.
	CPUSeconds float64
	// ResidentBytes is the memory in use now.
	ResidentBytes int
}

// OfProcess reads one process. It fails if the process is gone.
func OfProcess(pid int) (Reading, error) {
	process, err := procfs.NewProc(pid)
	if err != nil {
		return Reading{}, err
	}
	stat, err := process.Stat()
	if err != nil {
		return Reading{}, err
	}
	return Reading{CPUSeconds: stat.CPUTime(), ResidentBytes: stat.ResidentMemory()}, nil
}

// Machine is the machine's processor time since its start, in seconds over all
// its processors.
type Machine struct {
	Idle  float64
	Total float64
}

// OfMachine reads the machine.
func OfMachine() (Machine, error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return Machine{}, err
	}
	stat, err := fs.Stat()
	if err != nil {
		return Machine{}, err
	}
	c := stat.CPUTotal
	idle := c.Idle + c.Iowait
	return Machine{Idle: idle, Total: idle + c.User + c.Nice + c.System + c.IRQ + c.SoftIRQ + c.Steal}, nil
}

// IdleShare returns the part of the processors that was idle since an earlier
// reading.
func (m Machine) IdleShare(earlier Machine) float64 {
	total := m.Total - earlier.Total
	if total <= 0 {
		return 0
	}
	return (m.Idle - earlier.Idle) / total
}

// client reads the processes' admin paths; a frozen process must not hold it up.
var client = &http.Client{Timeout: time.Second}

// get returns the answer of a GET, or fails unless its status is 200.
func get(ctx context.Context, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, fmt.Errorf("GET %s: %s", url, response.Status)
	}
	return response, nil
}

// Status decodes the status document at a process's admin URL.
func Status(ctx context.Context, adminURL string, into any) error {
	response, err := get(ctx, adminURL+"/v1/status")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

// traffic is the part of a process's status that tells its traffic. Entries and
// sides name it differently.
type traffic struct {
	EntryRead    uint64 `json:"fleet_read_bytes"`
	EntryWritten uint64 `json:"fleet_written_bytes"`
	SideRead     uint64 `json:"fleet_bytes_read"`
	SideWritten  uint64 `json:"fleet_bytes_written"`
}

// FleetBytes returns a process's traffic with other processes of the fleet so
// far, in both directions.
func FleetBytes(ctx context.Context, adminURL string) (float64, error) {
	var t traffic
	err := Status(ctx, adminURL, &t)
	return float64(t.EntryRead + t.EntryWritten + t.SideRead + t.SideWritten), err
}

// Metrics returns the sums of a process's counters and gauges by name, over all
// their tags.
func Metrics(ctx context.Context, adminURL string) (map[string]float64, error) {
	response, err := get(ctx, adminURL+"/metrics")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var parser expfmt.TextParser
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return nil, err
	}
	sums := map[string]float64{}
	for name, family := range families {
		for _, metric := range family.GetMetric() {
			sums[name] += value(metric)
		}
	}
	return sums, nil
}

// value returns the value of a counter or a gauge, and the count of others.
func value(metric *dto.Metric) float64 {
	switch {
	case metric.Counter != nil:
		return metric.GetCounter().GetValue()
	case metric.Gauge != nil:
		return metric.GetGauge().GetValue()
	case metric.Histogram != nil:
		return float64(metric.GetHistogram().GetSampleCount())
	default:
		return float64(metric.GetSummary().GetSampleCount())
	}
}
