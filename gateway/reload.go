package gateway

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// settingsPollInterval is the interval at which the settings file is read without a signal.
// Changes are thus in force within seconds; one read takes about 50 µs.
const settingsPollInterval = 2 * time.Second

// reloader rereads the settings on SIGHUP and at a fixed interval. If they can't be
// read, the current settings stay in force.
type reloader struct {
	current Settings
	load    func() (Settings, error)
	apply   func(Settings)
	logger  *observe.Logger
	// lastError is the text of the last error, so that a file that stays unreadable is
	// logged once.
	lastError string
	signals   chan os.Signal
}

// newReloader returns a reloader and starts to catch SIGHUP, which would otherwise end
// the process.
func newReloader(current Settings, load func() (Settings, error), apply func(Settings), logger *observe.Logger) *reloader {
	r := &reloader{current: current, load: load, apply: apply, logger: logger, signals: make(chan os.Signal, 1)}
	signal.Notify(r.signals, syscall.SIGHUP)
	return r
}

// run checks the settings for changes until ctx is cancelled.
func (r *reloader) run(ctx context.Context) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.signals:
			r.poll(true)
		case <-ticker.C:
			r.poll(false)
		}
	}
}

// poll reads the settings and applies them if they have changed. If forced is set, it
// also logs an unchanged result and a repeated error.
func (r *reloader) poll(forced bool) {
	loaded, err := r.load()
	if err != nil {
		if text := err.Error(); forced || text != r.lastError {
			r.lastError = text
			r.logger.Warn(event.SettingsReloaded, observe.Fields{"changed": false, "error": text})
		}
		return
	}
	r.lastError = ""
	changed := loaded != r.current
	if changed {
		r.current = loaded
		r.apply(loaded)
	}
	if changed || forced {
		r.logger.Event(event.SettingsReloaded, observe.Fields{"changed": changed, "error": ""})
	}
}
