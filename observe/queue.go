package observe

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines is the maximum number of lines queued for a slow output: some seconds
// of log lines of a busy process, about 2 MB.
const maxQueuedLines = 8192

// Queue writes log lines to an output in the background. Writers never block: when
// the output is too slow, lines are dropped and counted. It is safe for concurrent
// use.
type Queue struct {
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

// NewQueue returns a Queue that writes to out until it is closed.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go q.run(out)
	return q
}

// run writes lines until Close is called, then the lines still queued.
func (q *Queue) run(out io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			_, _ = out.Write(line) // there is nowhere to report a failure of the log output
		case <-q.stop:
			q.flush(out)
			return
		}
	}
}

// flush writes the queued lines.
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

// Write implements io.Writer. It copies p, never blocks and never returns an error.
// Lines written after Close are dropped.
func (q *Queue) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case q.lines <- line:
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped so far.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close writes the queued lines and stops the Queue.
func (q *Queue) Close() {
	close(q.stop)
	<-q.done
}
