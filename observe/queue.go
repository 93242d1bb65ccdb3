package observe

import (
	"io"
	"sync/atomic"
)

// queueLines bounds the lines that wait for a slow output: some seconds of a busy
// process's lines, about 2 MB.
const queueLines = 8192

// Queue writes log lines to an output in the background. A line is never waited for:
// when the output is too slow, lines are dropped and counted.
type Queue struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewQueue returns a Queue that writes to out until Close.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for line := range q.lines {
			_, _ = out.Write(line) // an output that fails has nobody to be told
		}
	}()
	return q
}

// Write implements io.Writer. It copies p, returns at once and never fails.
func (q *Queue) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case q.lines <- line:
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were dropped so far.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close writes what waits and ends the Queue. No line may be written any more.
func (q *Queue) Close() {
	close(q.lines)
	<-q.done
}
