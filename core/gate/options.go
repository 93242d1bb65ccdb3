package gate

import (
	"time"

	"acaciawinch/core"
)

// Options bound and tune a Gate. Zero durations and counts take the defaults.
type Options struct {
	// Upstream is the upstream's name, for errors.
	Upstream core.UpstreamID
	// Incarnation is the side process's own.
	Incarnation core.Incarnation
	// Capacity is how many attempts the upstream runs at once; zero waits for
	// the upstream's own report.
	Capacity int
	// FIFO serves in order of arrival, without bound, classes, sharing or
	// admission by deadline. It is a baseline for measurements.
	FIFO bool
	// MaxQueued bounds the attempts that wait.
	MaxQueued int
	// StarvationTurns is how often in a row a waiting class can be passed over.
	StarvationTurns int
	// TicketLifetime is the age at which a ticket is refused.
	TicketLifetime time.Duration
	// KeepResult is how long a result of an idempotent attempt is kept, and how
	// long a claimed one is kept after its acknowledgement.
	KeepResult time.Duration
	// KeepClaimed is how long a claimed attempt is remembered. It is longer than
	// TicketLifetime.
	KeepClaimed time.Duration
	// MaxClaimed and MaxUnclaimed bound the settled attempts that are remembered.
	MaxClaimed   int
	MaxUnclaimed int
	// MaxKeptBytes bounds the output kept of settled attempts.
	MaxKeptBytes int
	// Grace is how long an idempotent attempt without a reader goes on.
	Grace time.Duration
	// ClaimedOverrun is how long a started claimed attempt may go on behind its
	// deadline, so that its outcome can still become known.
	ClaimedOverrun time.Duration
	// DrainWindow is how long after the begin of a drain waiting attempts may
	// still start.
	DrainWindow time.Duration
	// StallMin and StallMax bound the quiet time after which an upstream that
	// holds work counts as stalled. StallMax holds while nothing is measured.
	StallMin time.Duration
	StallMax time.Duration
	// TrialMin and TrialMax bound the wait before a stalled upstream is tried
	// with one attempt; the wait doubles with each failure.
	TrialMin time.Duration
	TrialMax time.Duration
	// ModelLag is how long the taking away of a model overrides the upstream's
	// report, which lags.
	ModelLag time.Duration
}

// DefaultTicketLifetime is the age at which a ticket is refused.
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
	defaultModelLag        = 5 * time.Second
)

// withDefaults returns the options with every zero value filled in, except
// Upstream, Incarnation and Capacity.
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
	setDefault(&o.ModelLag, defaultModelLag)
	return o
}

// setDefault sets *value if it is zero.
func setDefault[T comparable](value *T, preset T) {
	var zero T
	if *value == zero {
		*value = preset
	}
}
