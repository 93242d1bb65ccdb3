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

// reportInterval is how often buffered counters reach the Prometheus reporter.
const reportInterval = time.Second

// Metrics is a process's root of metrics. It may be used by many goroutines.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter promreporter.Reporter
}

// NewMetrics returns metrics whose names begin with prefix. Those of the Go
// runtime (heap, goroutines, collections) stand beside them under their usual names.
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

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports what is buffered and stops the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
