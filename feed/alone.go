package feed

import (
	"context"
	"time"

	"acaciawinch/core/fleet"
)

// Limits of direct reads, in multiples of Timing.MaxBackoff.
const (
	// maxDirectFactor bounds the wait of a sidecar between direct reads. An entry does
	// not wait that long, since sidecars that find no relay can then follow it.
	maxDirectFactor = 4
	// freshReadFactor bounds how long an entry that reads the platform itself counts
	// as an origin after a successful read.
	freshReadFactor = 4
)

// pollDirectly reads the platform directly while this process follows no entry,
// until ctx ends.
func (f *Feed) pollDirectly(ctx context.Context) error {
	for reads := 0; ctx.Err() == nil; {
		began := f.directBegan.wait()
		if !f.direct.Load() {
			reads = 0
			select {
			case <-began:
			case <-ctx.Done():
			}
			continue
		}
		if f.readPlatform(ctx) == nil {
			f.lastDirectRead.Store(time.Now().UnixNano())
		}
		reads++
		sleep(ctx, f.jitter(f.directWait(reads)))
	}
	return nil
}

// directWait returns the wait after the given number of consecutive direct reads.
func (f *Feed) directWait(reads int) time.Duration {
	if f.opts.Role == fleet.RoleEntry {
		return f.timing.MaxBackoff
	}
	return doubled(f.timing.MaxBackoff, reads-1, maxDirectFactor*f.timing.MaxBackoff)
}

// readsDirectly reports whether this process reads the platform itself and its last
// successful read is recent.
func (f *Feed) readsDirectly() bool {
	return f.direct.Load() && time.Since(time.Unix(0, f.lastDirectRead.Load())) < freshReadFactor*f.timing.MaxBackoff
}

// sendHeartbeats sends heartbeats to this process's subscribers while it is an
// origin, until ctx ends.
func (f *Feed) sendHeartbeats(ctx context.Context) error {
	for sleep(ctx, f.timing.HeartbeatInterval) {
		if f.isOrigin() {
			f.heartbeat.send()
		}
	}
	return nil
}
