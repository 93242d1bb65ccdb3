package gate

import (
	"time"

	"acaciawinch/core"
)

// Options configures a Gate. Zero durations and counts take the defaults.
type Options struct {
	// Upstream is the upstream's name, for error messages.
	Upstream core.UpstreamID
	// Incarnation is the incarnation of the sidecar process.
	Incarnation core.Incarnation
	// Capacity is how many attempts the upstream runs at once; zero takes it from the
	// upstream's report.
	Capacity int
	// FIFO serves attempts in order of arrival, without a queue bound, classes, fair
	// sharing or admission by deadline. It is a baseline for measurements.
	FIFO bool
	// MaxQueued bounds the number of waiting attempts.
	MaxQueued int
	// StarvationTurns is how many times in a row a class with waiting attempts can be
	// passed over.
	StarvationTurns int
	// TicketLifetime is the age above which a ticket is refused.
	TicketLifetime time.Duration
	// KeepResult is how long the result of an idempotent attempt is kept, and how long
	// the result of a claimed attempt is kept after its acknowledgement.
	KeepResult time.Duration
	// KeepClaimed is how long a settled claimed attempt is remembered. It must be longer
	// than TicketLifetime.
	KeepClaimed time.Duration
	// MaxClaimed and MaxUnclaimed bound the number of settled attempts that are
	// remembered.
	MaxClaimed   int
	MaxUnclaimed int
	// MaxKeptBytes bounds the total size of the outputs kept of settled attempts.
	MaxKeptBytes int
	// Grace is how long an idempotent attempt without a reader continues.
	Grace time.Duration
	// ClaimedOverrun is how long a running claimed attempt may continue after its
	// deadline, so that its outcome can still become known.
	ClaimedOverrun time.Duration
	// DrainWindow is how long after the start of a drain waiting attempts may still
	// start.
	DrainWindow time.Duration
	// StallMin and StallMax bound the time without progress after which an upstream
	// with running work counts as stalled. StallMax applies until latencies are
	// measured.
	StallMin time.Duration
	StallMax time.Duration
	// TrialMin and TrialMax bound the delay before a stalled upstream gets one trial
	// attempt; the delay doubles with each failure.
	TrialMin time.Duration
	TrialMax time.Duration
	// ModelReportLag is how long an unload order overrides the upstream's report, which is
	// delayed.
	ModelReportLag time.Duration
}

// DefaultTicketLifetime is the default of Options.TicketLifetime.
const DefaultTicketLifetime = 60 * time.Second

// Defaults of Options.
const (
	defaultMaxQueued       = 256
	defaultStarvationTurns = 3
	defaultKeepResult      = 10 * time.Second
	defaultKeepClaimed     = 10 * time.Minute
	defaultMaxClaimed      = 20_000
	defaultMaxUnclaimed    = 4_000
	defaultMaxKeptBytes    = 64 << 20
	defaultGrace           = 2 * time.Second
	defaultClaimedOverrun  = 2 * time.Second
	defaultDrainWindow     = time.Second
	defaultStallMin        = 500 * time.Millisecond
	defaultStallMax        = 5 * time.Second
	defaultTrialMin        = 500 * time.Millisecond
	defaultTrialMax        = 8 * time.Second
	defaultModelReportLag  = 5 * time.Second
)

// withDefaults returns the options with the defaults for all zero durations and
// counts except Capacity.
func (o Options) withDefaults() Options {
	setDefault(&o.MaxQueued, defaultMaxQueued)
	setDefault(&o.StarvationTurns, defaultStarvationTurns)
	setDefault(&o.TicketLifetime, DefaultTicketLifetime)
	setDefault(&o.KeepResult, defaultKeepResult)
	setDefault(&o.KeepClaimed, defaultKeepClaimed)
	setDefault(&o.MaxClaimed, defaultMaxClaimed)
	setDefault(&o.MaxUnclaimed, defaultMaxUnclaimed)
	setDefault(&o.MaxKeptBytes, defaultMaxKeptBytes)
	setDefault(&o.Grace, defaultGrace)
	setDefault(&o.ClaimedOverrun, defaultClaimedOverrun)
	setDefault(&o.DrainWindow, defaultDrainWindow)
	setDefault(&o.StallMin, defaultStallMin)
	setDefault(&o.StallMax, defaultStallMax)
	setDefault(&o.TrialMin, defaultTrialMin)
	setDefault(&o.TrialMax, defaultTrialMax)
	setDefault(&o.ModelReportLag, defaultModelReportLag)
	return o
}

// setDefault sets *value to defaultValue if it is zero.
func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}
