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

// lookEvery is how often the settings file is read without a signal: often enough for
// changes that are in force within seconds, at some 50 µs a reading.
const lookEvery = 2 * time.Second

// reloader reads the settings again on SIGHUP and now and then without a signal.
// Settings that can't be read change nothing.
type reloader struct {
	current Settings
	load    func() (Settings, error)
	apply   func(Settings)
	logger  *observe.Logger
	// failing is the text of the last error, so that a file that stays unreadable is
	// logged once.
	failing string
	signals chan os.Signal
}

// newReloader returns a reloader that catches SIGHUP from now on: without that the
// signal ends the process.
func newReloader(current Settings, load func() (Settings, error), apply func(Settings), logger *observe.Logger) *reloader {
	r := &reloader{current: current, load: load, apply: apply, logger: logger, signals: make(chan os.Signal, 1)}
	signal.Notify(r.signals, syscall.SIGHUP)
	return r
}

// run looks for changes until ctx ends.
func (r *reloader) run(ctx context.Context) error {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.signals:
			r.look(true)
		case <-ticker.C:
			r.look(false)
		}
	}
}

// look reads the settings and applies changed ones. With always set it logs also that
// nothing has changed.
func (r *reloader) look(always bool) {
	loaded, err := r.load()
	if err != nil {
		if text := err.Error(); always || text != r.failing {
			r.failing = text
			r.logger.Warn(event.SettingsReloaded, observe.Fields{"changed": false, "error": text})
		}
		return
	}
	r.failing = ""
	changed := loaded != r.current
	if changed {
		r.current = loaded
		r.apply(loaded)
	}
	if changed || always {
		r.logger.Event(event.SettingsReloaded, observe.Fields{"changed": changed, "error": ""})
	}
}
