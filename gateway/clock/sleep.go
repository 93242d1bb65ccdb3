package clock

import (
	"context"
	"time"
)

// Sleep waits for the given duration, or until ctx ends.
func Sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
