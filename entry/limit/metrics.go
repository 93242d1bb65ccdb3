package limit

import (
	"time"

	"github.com/uber-go/tally/v4"

	"acaciawinch/core/share"
)

// metrics counts the permits requested by this entry, and those granted and refused as a
// home.
type metrics struct {
	// granted, unchecked and refused count the requests for permits by their outcome;
	// refusedUnchecked counts those refused because homes did not respond and this entry's
	// own share was in use.
	granted, unchecked, refused, refusedUnchecked tally.Counter
	// wait is the time until a request for a permit is decided.
	wait tally.Timer
	// silences counts the calls that homes did not respond to, homeChanges the running
	// requests that another home counts since, and lostReleases the releases that failed.
	silences, homeChanges, lostReleases tally.Counter
	// homeGranted and homeRefused count the permits that this entry granted and refused as
	// a home; homePermits is the number of permits in its ledger.
	homeGranted, homeRefused tally.Counter
	homePermits              tally.Gauge
}

// newMetrics registers the metrics below scope; a nil scope drops them.
func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("limit")
	return &metrics{
		granted:          scope.Counter("granted"),
		unchecked:        scope.Counter("unchecked"),
		refused:          scope.Counter("refused"),
		refusedUnchecked: scope.Counter("refused_unchecked"),
		wait:             scope.Timer("wait"),
		silences:         scope.Counter("home_silences"),
		homeChanges:      scope.Counter("home_changes"),
		lostReleases:     scope.Counter("releases_lost"),
		homeGranted:      scope.Counter("home_granted"),
		homeRefused:      scope.Counter("home_refused"),
		homePermits:      scope.Gauge("home_permits"),
	}
}

// decided counts the outcome of a request for a permit.
func (m *metrics) decided(kind share.StepKind, wait time.Duration) {
	m.wait.Record(wait)
	switch kind {
	case share.StepGranted:
		m.granted.Inc(1)
	case share.StepGrantedLocally:
		m.unchecked.Inc(1)
	case share.StepRefused:
		m.refused.Inc(1)
	case share.StepRefusedLocally:
		m.refusedUnchecked.Inc(1)
	}
}

// respondedAsHome counts a response that this entry gives as a home.
func (m *metrics) respondedAsHome(response share.AcquireResponse) {
	if response.Granted {
		m.homeGranted.Inc(1)
		return
	}
	m.homeRefused.Inc(1)
}
