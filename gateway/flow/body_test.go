package flow

import (
	"errors"
	"io"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// part is what a client sends after a pause.
type part struct {
	after time.Duration
	bytes int
}

// slowClient is a connection on which parts arrive; its clock goes on while a read waits, and before each read by the
// next of lags: the time in which the process that reads did not run.
type slowClient struct {
	parts   []part
	lags    []time.Duration
	clock   time.Time
	limit   time.Time
	arrived time.Time
}

// Read implements io.Reader.
func (c *slowClient) Read(p []byte) (int, error) {
	if len(c.parts) == 0 {
		return 0, io.EOF
	}
	if len(c.lags) > 0 {
		c.clock, c.lags = c.clock.Add(c.lags[0]), c.lags[1:]
	}
	next := &c.parts[0]
	at := c.arrived.Add(next.after)
	if at.After(c.limit) || c.clock.After(c.limit) {
		c.clock = latest(c.clock, c.limit)
		return 0, os.ErrDeadlineExceeded
	}
	c.clock = latest(c.clock, at)
	n := min(len(p), next.bytes)
	if next.bytes -= n; next.bytes == 0 {
		c.arrived, c.parts = at, c.parts[1:]
	}
	return n, nil
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Close implements io.Closer.
func (c *slowClient) Close() error { return nil }

// TestOnlyClientsThatCantEndInTimeAreRefused guards against a client that holds memory by sending nothing or too little,
// and against the refusal of one that only began late: of 60 long bodies at once one was refused so.
func TestOnlyClientsThatCantEndInTimeAreRefused(t *testing.T) {
	const length = 4 << 20
	steady := func(count int, p part) (list []part) {
		for range count {
			list = append(list, p)
		}
		return list
	}
	for name, c := range map[string]struct {
		parts []part
		lags  []time.Duration
		slow  bool
	}{
		"at once":         {parts: []part{{0, length}}},
		"a late start":    {parts: append([]part{{0, 1}, {1200 * time.Millisecond, 64 << 10}}, steady(64, part{10 * time.Millisecond, 64 << 10})...)},
		"one pause":       {parts: append(steady(16, part{20 * time.Millisecond, 64 << 10}), append([]part{{1800 * time.Millisecond, 64 << 10}}, steady(48, part{20 * time.Millisecond, 64 << 10})...)...)},
		"just in time":    {parts: steady(64, part{140 * time.Millisecond, 64 << 10})},
		"stopped gateway": {parts: []part{{0, length}}, lags: []time.Duration{0, 0, 3 * time.Second, 200 * time.Millisecond}},
		"nothing more":    {parts: []part{{0, 1 << 20}, {time.Hour, 1}}, slow: true},
		"drops":           {parts: steady(1000, part{1900 * time.Millisecond, 500}), slow: true},
		"far too slowly":  {parts: steady(64, part{900 * time.Millisecond, 64 << 10}), slow: true},
	} {
		t.Run(name, func(t *testing.T) {
			begin := time.Unix(1000, 0)
			client := &slowClient{parts: c.parts, lags: c.lags, clock: begin, arrived: begin}
			body := &pacedBody{ReadCloser: client, length: length, deadline: begin.Add(10 * time.Second),
				setDeadline: func(limit time.Time) error { client.limit = limit; return nil }, now: func() time.Time { return client.clock }}
			read, err := io.Copy(io.Discard, io.LimitReader(body, length))
			var slow *slowBodyError
			assert.Equal(t, errors.As(err, &slow), c.slow, "%v after %d bytes", err, read)
			assert.Assert(t, c.slow && client.clock.Sub(begin) < 5*time.Second || !c.slow && read == length, "%v, %d bytes", client.clock.Sub(begin), read)
		})
	}
}
