package feed

import (
	"context"
	"time"

	"acaciawinch/core/fleet"
)

// Limits of direct reads, in longest waits between tries.
const (
	// maxAloneWait is the longest wait of a side between direct reads. An entry
	// doesn't wait so long, as sides that find no relay can follow it then.
	maxAloneWait = 4
	// freshRead is how long an entry that reads the platform itself counts as an
	// origin after a read that succeeded.
	freshRead = 4
)

// readAlone reads the platform directly while this process follows nobody, until
// ctx ends.
func (f *Feed) readAlone(ctx context.Context) error {
	for reads := 0; ctx.Err() == nil; {
		began := f.aloneBegan.wait()
		if !f.direct.Load() {
			reads = 0
			select {
			case <-began:
			case <-ctx.Done():
			}
			continue
		}
		if f.readPlatform(ctx) == nil {
			f.lastRead.Store(time.Now().UnixNano())
		}
		reads++
		pause(ctx, f.jitter(f.aloneWait(reads)))
	}
	return nil
}

// aloneWait is the wait after so many direct reads in a row.
func (f *Feed) aloneWait(reads int) time.Duration {
	if f.opts.Role == fleet.RoleEntry {
		return f.timing.LongestWait
	}
	return doubled(f.timing.LongestWait, reads-1, maxAloneWait*f.timing.LongestWait)
}

// readsAlone tells whether this process reads the platform itself with success.
func (f *Feed) readsAlone() bool {
	return f.direct.Load() && time.Since(time.Unix(0, f.lastRead.Load())) < freshRead*f.timing.LongestWait
}

// beat sends heartbeats to this process's subscribers while it is an origin,
// until ctx ends.
func (f *Feed) beat(ctx context.Context) error {
	for pause(ctx, f.timing.Heartbeat) {
		if f.isOrigin() {
			f.pulse.send()
		}
	}
	return nil
}
