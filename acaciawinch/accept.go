package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os/user"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"acaciawinch/core/config"
	"acaciawinch/core/config/accept"
	"acaciawinch/core/fault"
	"acaciawinch/platform/objects"
)

// Backoff before a failed call is retried. It doubles from initialBackoff up to
// maxBackoff; the actual wait is random between half of it and all of it.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// acceptChange completes the request, runs the accept protocol of package
// core/config/accept with it and prints the result. problemText returns the text of a
// problem of the change.
func (e *env) acceptChange(api objects.API, request accept.Request, problemText func(config.Problem) string) error {
	request.ChangeID = uuid.NewString()
	request.Author = author()
	request.Time = time.Now()
	machine := accept.New(request)
	runMachine(e.ctx, api, machine)
	result, _ := machine.Result()
	return e.reportResult(result, problemText)
}

// maxConcurrentCalls is the maximum number of concurrent calls of the object API.
const maxConcurrentCalls = 16

// runMachine makes the calls that the state machine of the protocol requests until the
// machine has a result or ctx is done.
func runMachine(ctx context.Context, api objects.API, machine *accept.Machine) {
	replies := map[string]accept.Reply{}
	for {
		if _, ended := machine.Result(); ended {
			return
		}
		action := machine.Next()
		if !waitBackoff(ctx, action.Failures) {
			machine.GiveUp()
			return
		}
		if concurrent := machine.Concurrent(); len(replies) == 0 && len(concurrent) > 1 {
			replies = executeAll(ctx, api, concurrent)
		}
		reply, fetched := replies[action.Key]
		if !fetched {
			reply = execute(ctx, api, action)
		}
		delete(replies, action.Key)
		machine.Handle(reply)
	}
}

// executeAll makes calls on different keys concurrently and returns the replies by
// key.
func executeAll(ctx context.Context, api objects.API, actions []accept.Action) map[string]accept.Reply {
	var mu sync.Mutex
	replies := map[string]accept.Reply{}
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, action := range actions {
		group.Go(func() error {
			reply := execute(ctx, api, action)
			mu.Lock()
			defer mu.Unlock()
			replies[action.Key] = reply
			return nil
		})
	}
	_ = group.Wait() // the functions always return nil
	return replies
}

// waitBackoff sleeps before a retry, for a time that grows with the number of
// failures. It returns false if ctx is done.
func waitBackoff(ctx context.Context, failures int) bool {
	if failures == 0 {
		return ctx.Err() == nil
	}
	backoff := min(initialBackoff<<(failures-1), maxBackoff)
	timer := time.NewTimer(backoff/2 + rand.N(backoff/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// execute makes one call of the object API.
func execute(ctx context.Context, api objects.API, action accept.Action) accept.Reply {
	var reply accept.Reply
	var err error
	switch action.Kind {
	case accept.ActionGet:
		var object objects.Object
		object, err = api.Get(ctx, action.Key)
		reply.Value, reply.Version = object.Value, object.Version
	case accept.ActionCreate:
		reply.Version, err = api.Create(ctx, action.Key, action.Value)
	case accept.ActionUpdate:
		reply.Version, err = api.Update(ctx, action.Key, action.Value, action.Version)
	}
	if err != nil {
		reply.Code, reply.Detail = fault.CodeOf(err), err.Error()
	}
	return reply
}

// author returns the name of the current user account.
func author() string {
	account, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return account.Username
}

// reportResult prints a result of the accept protocol and returns the error that sets the exit code.
func (e *env) reportResult(result accept.Result, problemText func(config.Problem) string) error {
	text := resultText(result, problemText)
	if err := e.print(result, text); err != nil {
		return err
	}
	code := outcomeExitCode(result.Outcome)
	if code == exitOK {
		return nil
	}
	return &exitError{code: code, err: errors.New(text), printed: true}
}

// outcomeExitCode returns the exit code of an outcome.
func outcomeExitCode(outcome accept.Outcome) int {
	switch outcome {
	case accept.Accepted, accept.Unchanged:
		return exitOK
	case accept.Conflict:
		return exitConflict
	case accept.Invalid:
		return exitBadInput
	case accept.Unavailable, accept.Ambiguous:
		return exitUnavailable
	}
	return exitFailed
}

// maxItemsShown is the maximum number of items in text output; JSON has all of them.
const maxItemsShown = 40

// resultText returns the text of a result.
func resultText(result accept.Result, problemText func(config.Problem) string) string {
	var lines []string
	switch result.Outcome {
	case accept.Accepted:
		lines = append(lines, fmt.Sprintf("accepted as revision %d (change %s)", result.Revision, result.ChangeID))
	case accept.Unchanged:
		lines = append(lines, fmt.Sprintf("unchanged: revision %d already has this content", result.Revision))
	case accept.Conflict:
		lines = append(lines, conflictLine(result))
	case accept.Unavailable:
		lines = append(lines, "not accepted: "+result.Detail)
	case accept.Ambiguous:
		lines = append(lines, fmt.Sprintf("may be accepted: %s; look for change %s in the history", result.Detail, result.ChangeID))
	default:
		lines = append(lines, string(result.Outcome)+": "+result.Detail)
	}
	for i, item := range result.Items {
		if i == maxItemsShown {
			lines = append(lines, fmt.Sprintf("  and %d more", len(result.Items)-maxItemsShown))
			break
		}
		lines = append(lines, "  "+item.String())
	}
	for _, problem := range result.Problems {
		lines = append(lines, "  "+problemText(problem))
	}
	return strings.Join(lines, "\n")
}

// conflictLine returns the line for a conflict, with the conflicting change if it is
// known.
func conflictLine(result accept.Result) string {
	if result.Other == nil {
		return "conflict: " + result.Detail
	}
	return fmt.Sprintf("conflict with revision %d (change %s by %s): %s",
		result.Other.Revision, result.Other.ChangeID, result.Other.Author, result.Detail)
}
