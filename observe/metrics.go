package observe

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which buffered metrics are passed to the
// Prometheus reporter.
const reportInterval = time.Second

// Metrics holds the root metrics scope of a process. It is safe for concurrent use.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter promreporter.Reporter
}

// NewMetrics returns metrics whose names begin with prefix. The metrics of the Go
// runtime (heap, goroutines, garbage collection) are added under their usual names.
func NewMetrics(prefix string) *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, reporter: reporter}
}

// Scope returns the root scope.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close passes the buffered metrics to the Prometheus reporter and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
