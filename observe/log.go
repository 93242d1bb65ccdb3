// Package observe provides logging and metrics for all programs: apex/log lines
// with numbered events, and tally metrics for Prometheus.
package observe

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"acaciawinch/observe/event"
)

// Logger logs numbered events. It is safe for concurrent use.
type Logger struct {
	entry *log.Entry
}

// Fields holds the named values of one log line.
type Fields = log.Fields

// NewLogger returns a logger that writes JSON lines to w, each with the process
// name. level is one of debug, info, warn, error.
func NewLogger(w io.Writer, process, level string) (*Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	base := &log.Logger{Handler: json.New(w), Level: parsed}
	return &Logger{entry: base.WithField("process", process)}, nil
}

// Event logs a catalogued event at level info.
func (l *Logger) Event(e event.Event, fields Fields) {
	l.entry.WithField("event", e.Number).WithFields(fields).Info(e.Name)
}

// Warn logs a catalogued event that needs an operator's attention, at level warn.
func (l *Logger) Warn(e event.Event, fields Fields) {
	l.entry.WithField("event", e.Number).WithFields(fields).Warn(e.Name)
}
