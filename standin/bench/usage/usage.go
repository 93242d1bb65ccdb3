// Package usage reads the resource usage of the processes of a trial: processor
// time and memory from the kernel, and the metrics that the processes publish.
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

// Reading is the resource usage of one process.
type Reading struct {
	// CPUSeconds is the processor time since the start of the process.
	CPUSeconds float64
	// ResidentBytes is the resident memory at the time of the reading.
	ResidentBytes int
}

// OfProcess returns the usage of one process, or an error if it no longer exists.
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

// Machine is the processor time of the machine since its boot, in seconds summed
// over all processors.
type Machine struct {
	Idle  float64
	Total float64
}

// OfMachine returns the processor time of the machine.
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

// IdleShare returns the fraction of processor time that was idle since an earlier
// reading.
func (m Machine) IdleShare(earlier Machine) float64 {
	total := m.Total - earlier.Total
	if total <= 0 {
		return 0
	}
	return (m.Idle - earlier.Idle) / total
}

// client queries the admin URLs of the processes. Its timeout keeps a frozen
// process from blocking it.
var client = &http.Client{Timeout: time.Second}

// get returns the response to a GET request. A status other than 200 is an error.
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

// Status decodes the status document of the process with the given admin URL.
func Status(ctx context.Context, adminURL string, document any) error {
	response, err := get(ctx, adminURL+"/v1/status")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(document)
}

// traffic holds the traffic counters of a process's status document. Entries and
// sidecars publish them under different names.
type traffic struct {
	EntryRead    uint64 `json:"fleet_read_bytes"`
	EntryWritten uint64 `json:"fleet_written_bytes"`
	SideRead     uint64 `json:"fleet_bytes_read"`
	SideWritten  uint64 `json:"fleet_bytes_written"`
}

// FleetBytes returns the traffic of a process with other processes of the fleet
// since its start, in both directions.
func FleetBytes(ctx context.Context, adminURL string) (float64, error) {
	var t traffic
	err := Status(ctx, adminURL, &t)
	return float64(t.EntryRead + t.EntryWritten + t.SideRead + t.SideWritten), err
}

// Metrics returns the metrics of a process by name, summed over their labels.
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
			sums[name] += metricValue(metric)
		}
	}
	return sums, nil
}

// metricValue returns the value of a counter or gauge, and the sample count of a
// histogram or summary.
func metricValue(metric *dto.Metric) float64 {
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
