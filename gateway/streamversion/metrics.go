package streamversion

import "github.com/uber-go/tally/v4"

// metrics counts what a Keeper decided and holds.
type metrics struct {
	// begun and held are the numbers of records of own streams, and of those held for other gateways.
	begun, held tally.Gauge
	// copied counts the streams whose record was copied before the first event, uncopied those of which too few
	// copies were acknowledged in time.
	copied, uncopied tally.Counter
	// found and missing count the lookups of records at other gateways.
	found, missing tally.Counter
	// resumed, postponed and refused count the streams that clients took up, by outcome.
	resumed, postponed, refused tally.Counter
	// syncs counts the reads of registers, and syncsFailed those without a response.
	syncs, syncsFailed tally.Counter
}

// newMetrics returns metrics under scope.
func newMetrics(scope tally.Scope) metrics {
	return metrics{
		begun:       scope.Gauge("stream_records_begun"),
		held:        scope.Gauge("stream_records_held"),
		copied:      scope.Counter("stream_records_copied"),
		uncopied:    scope.Counter("stream_records_uncopied"),
		found:       scope.Counter("stream_lookups_found"),
		missing:     scope.Counter("stream_lookups_missing"),
		resumed:     scope.Counter("streams_resumed"),
		postponed:   scope.Counter("streams_postponed"),
		refused:     scope.Counter("streams_refused"),
		syncs:       scope.Counter("stream_register_syncs"),
		syncsFailed: scope.Counter("stream_register_syncs_failed"),
	}
}
