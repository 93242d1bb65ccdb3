package usage

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

func TestMetricsAreSummedOverLabels(t *testing.T) {
	text := "# TYPE a counter\na{zone=\"x\"} 2\na{zone=\"y\"} 3\n# TYPE b gauge\nb 7\n" +
		"# TYPE c histogram\nc_bucket{le=\"+Inf\"} 4\nc_sum 1\nc_count 4\n"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/metrics" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = io.WriteString(w, text)
	}))
	defer server.Close()
	sums, err := Metrics(t.Context(), server.URL)
	assert.NilError(t, err)
	assert.DeepEqual(t, sums, map[string]float64{"a": 5, "b": 7, "c": 4})
	assert.ErrorContains(t, Status(t.Context(), server.URL, &sums), "404")
}

func TestTrafficIsReadOfBothRoles(t *testing.T) {
	for text, want := range map[string]float64{
		`{"fleet_read_bytes":3,"fleet_written_bytes":4}`: 7,
		`{"fleet_bytes_read":5,"fleet_bytes_written":6}`: 11,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, text)
		}))
		got, err := FleetBytes(t.Context(), server.URL)
		server.Close()
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
}

func TestOwnProcessIsRead(t *testing.T) {
	reading, err := OfProcess(os.Getpid())
	assert.NilError(t, err)
	assert.Assert(t, reading.ResidentBytes > 0)
	_, err = OfProcess(-1)
	assert.Assert(t, err != nil)
}

func TestIdleShareCoversTimeSinceEarlierReading(t *testing.T) {
	earlier := Machine{Idle: 10, Total: 100}
	assert.Equal(t, Machine{Idle: 40, Total: 140}.IdleShare(earlier), 0.75)
	assert.Equal(t, earlier.IdleShare(earlier), 0.0)
}
