// Package observe sets up logs and metrics for every program: apex/log lines
// with numbered events, and tally metrics for Prometheus.
package observe

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"acaciawinch/observe/event"
)

// Logger writes numbered events. It may be used by many goroutines.
type Logger struct {
	entry *log.Entry
}

// Fields are the named values of one log line.
type Fields = log.Fields

// NewLogger returns a logger that writes JSON lines to w, each with the
// process's name. Level is one of debug, info, warn, error.
func NewLogger(w io.Writer, process, level string) (*Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	base := &log.Logger{Handler: json.New(w), Level: parsed}
	return &Logger{entry: base.WithField("process", process)}, nil
}

// Event writes one line of a catalogued event.
func (l *Logger) Event(e event.Event, fields Fields) {
	l.entry.WithField("event", e.Number).WithFields(fields).Info(e.Name)
}

// Warn writes one line of a catalogued event that an operator should look at.
func (l *Logger) Warn(e event.Event, fields Fields) {
	l.entry.WithField("event", e.Number).WithFields(fields).Warn(e.Name)
}
