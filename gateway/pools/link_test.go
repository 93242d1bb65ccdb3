package pools

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/gateway/view"
)

// newSilentLink returns a link with an open task whose owner sends nothing, a function that
// returns why the link was ended, and its cancel function.
func newSilentLink(now time.Time) (l *ownerLink, ended func() error, cancel context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(context.Background())
	l = newOwnerLink(nil, view.Member{Name: "owner"})
	l.lastReceived, l.lastPing = now, now
	l.tasks[1] = Notify{}
	return l, func() error { return context.Cause(ctx) }, cancel
}

// TestSilentOwnerIsDroppedAfterTheTimeout: a silent owner is not dropped sooner, and one that
// sends messages is not dropped at all.
func TestSilentOwnerIsDroppedAfterTheTimeout(t *testing.T) {
	now := time.Unix(1000, 0)
	l, ended, cancel := newSilentLink(now)
	defer cancel(nil)
	for at := pingInterval; at <= silenceTimeout; at += pingInterval {
		assert.Assert(t, l.ping(now.Add(at), cancel) != nil, "%v", at)
		assert.NilError(t, ended())
	}
	assert.Assert(t, l.ping(now.Add(silenceTimeout+pingInterval), cancel) == nil)
	assert.ErrorContains(t, ended(), "silent")

	active, ended, cancel := newSilentLink(now)
	defer cancel(nil)
	for at := pingInterval; at <= 4*silenceTimeout; at += pingInterval {
		active.lastReceived = now.Add(at - pingInterval/2)
		assert.Assert(t, active.ping(now.Add(at), cancel) != nil)
	}
	assert.NilError(t, ended())
}

// TestStalledProcessPingsAgainBeforeDroppingAnOwner: after this process was stalled, the
// owner's replies may still be unread, so the owner is pinged once more first.
func TestStalledProcessPingsAgainBeforeDroppingAnOwner(t *testing.T) {
	now := time.Unix(1000, 0)
	l, ended, cancel := newSilentLink(now)
	defer cancel(nil)
	resumed := now.Add(3 * time.Second)
	assert.Assert(t, l.ping(resumed, cancel) != nil)
	assert.NilError(t, ended())
	assert.Assert(t, l.ping(resumed.Add(pingInterval), cancel) == nil, "the owner was pinged again and stayed silent")
	assert.ErrorContains(t, ended(), "silent")
}

func TestOwnerWithoutTasksIsNotPinged(t *testing.T) {
	now := time.Unix(1000, 0)
	l, ended, cancel := newSilentLink(now)
	defer cancel(nil)
	delete(l.tasks, 1)
	assert.Assert(t, l.ping(now.Add(time.Hour), cancel) == nil)
	assert.NilError(t, ended())
}
