package observe

import (
	"io"
	"sync/atomic"
)

// queueLines bounds the lines that wait for a slow output: some seconds of a busy
// process's lines, about 2 MB.
const queueLines = 8192

// Queue writes log lines to an output in the background. A line is never waited for:
// when the output is too slow, lines are dropped and counted. It may be used by many
// goroutines.
type Queue struct {
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

// NewQueue returns a Queue that writes to out until Close.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{})}
	go q.run(out)
	return q
}

// run writes lines until Close, and then those that wait.
func (q *Queue) run(out io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			_, _ = out.Write(line) // an output that fails has nobody to be told
		case <-q.stop:
			q.flush(out)
			return
		}
	}
}

// flush writes the lines that wait.
func (q *Queue) flush(out io.Writer) {
	for {
		select {
		case line := <-q.lines:
			_, _ = out.Write(line) // as above
		default:
			return
		}
	}
}

// Write implements io.Writer. It copies p, returns at once and never fails. Lines that
// come after Close are dropped.
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

// Close writes what waits and ends the Queue.
func (q *Queue) Close() {
	close(q.stop)
	<-q.done
}
