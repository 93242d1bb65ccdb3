package pools

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/gateway/view"
)

// waitingLink returns a link with an open task whose owner says nothing, and what ends it.
func waitingLink(now time.Time) (l *ownerLink, ended func() error, cancel context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(context.Background())
	l = newOwnerLink(nil, view.Member{Name: "owner"})
	l.heard, l.pinged = now, now
	l.tasks[1] = Notify{}
	return l, func() error { return context.Cause(ctx) }, cancel
}

// TestASilentOwnerIsGivenUpAfterItsTime: not sooner, and one that speaks is not.
func TestASilentOwnerIsGivenUpAfterItsTime(t *testing.T) {
	now := time.Unix(1000, 0)
	l, ended, cancel := waitingLink(now)
	defer cancel(nil)
	for at := pingEvery; at <= silentAfter; at += pingEvery {
		assert.Assert(t, l.ping(now.Add(at), cancel) != nil, "%v", at)
		assert.NilError(t, ended())
	}
	assert.Assert(t, l.ping(now.Add(silentAfter+pingEvery), cancel) == nil)
	assert.ErrorContains(t, ended(), "silent")

	heard, ended, cancel := waitingLink(now)
	defer cancel(nil)
	for at := pingEvery; at <= 4*silentAfter; at += pingEvery {
		heard.heard = now.Add(at - pingEvery/2)
		assert.Assert(t, heard.ping(now.Add(at), cancel) != nil)
	}
	assert.NilError(t, ended())
}

// TestAProcessThatWasHeldUpItselfBlamesNobody: it asks again first.
func TestAProcessThatWasHeldUpItselfBlamesNobody(t *testing.T) {
	now := time.Unix(1000, 0)
	l, ended, cancel := waitingLink(now)
	defer cancel(nil)
	woken := now.Add(3 * time.Second)
	assert.Assert(t, l.ping(woken, cancel) != nil)
	assert.NilError(t, ended())
	assert.Assert(t, l.ping(woken.Add(pingEvery), cancel) == nil, "it was asked again and said nothing")
	assert.ErrorContains(t, ended(), "silent")
}

// TestAnOwnerWithoutTasksIsNotAsked.
func TestAnOwnerWithoutTasksIsNotAsked(t *testing.T) {
	now := time.Unix(1000, 0)
	l, ended, cancel := waitingLink(now)
	defer cancel(nil)
	delete(l.tasks, 1)
	assert.Assert(t, l.ping(now.Add(time.Hour), cancel) == nil)
	assert.NilError(t, ended())
}
