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

// Waits before a failed call is repeated: they double from the first up to the
// longest, each by chance between half and the whole.
const (
	firstWait   = 50 * time.Millisecond
	longestWait = 2 * time.Second
)

// acceptChange runs the accept protocol and prints how it ended.
func (e *env) acceptChange(api objects.API, request accept.Request, located func(config.Problem) string) error {
	request.ChangeID = uuid.NewString()
	request.Author = author()
	request.Time = time.Now()
	machine := accept.New(request)
	drive(e.ctx, api, machine)
	result, _ := machine.Result()
	return e.report(result, located)
}

// callsAtOnce bounds the calls that are carried out together.
const callsAtOnce = 16

// drive carries out the machine's calls until it ends or ctx does.
func drive(ctx context.Context, api objects.API, machine *accept.Machine) {
	replies := map[string]accept.Reply{}
	for {
		if _, ended := machine.Result(); ended {
			return
		}
		action := machine.Next()
		if !wait(ctx, action.Failures) {
			machine.GiveUp()
			return
		}
		if ahead := machine.Ahead(); len(replies) == 0 && len(ahead) > 1 {
			replies = carryOutAll(ctx, api, ahead)
		}
		reply, made := replies[action.Key]
		if !made {
			reply = carryOut(ctx, api, action)
		}
		delete(replies, action.Key)
		machine.Handle(reply)
	}
}

// carryOutAll makes calls on different keys, some at once, and returns the replies
// by key.
func carryOutAll(ctx context.Context, api objects.API, actions []accept.Action) map[string]accept.Reply {
	var mu sync.Mutex
	replies := map[string]accept.Reply{}
	var group errgroup.Group
	group.SetLimit(callsAtOnce)
	for _, action := range actions {
		group.Go(func() error {
			reply := carryOut(ctx, api, action)
			mu.Lock()
			defer mu.Unlock()
			replies[action.Key] = reply
			return nil
		})
	}
	_ = group.Wait() // its functions return nil
	return replies
}

// wait sleeps before a call that follows failed ones. It returns false if ctx ended.
func wait(ctx context.Context, failures int) bool {
	if failures == 0 {
		return ctx.Err() == nil
	}
	longest := min(firstWait<<(failures-1), longestWait)
	timer := time.NewTimer(longest/2 + rand.N(longest/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// carryOut makes one call of the object API.
func carryOut(ctx context.Context, api objects.API, action accept.Action) accept.Reply {
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

// author returns the name of the operator's account.
func author() string {
	account, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return account.Username
}

// report prints the end of a run and returns the error that sets the exit code.
func (e *env) report(result accept.Result, located func(config.Problem) string) error {
	text := describe(result, located)
	if err := e.print(result, text); err != nil {
		return err
	}
	code := codeOf(result.Outcome)
	if code == exitDone {
		return nil
	}
	return &exitError{code: code, err: errors.New(text), printed: true}
}

// codeOf returns the exit code of an outcome.
func codeOf(outcome accept.Outcome) int {
	switch outcome {
	case accept.Accepted, accept.Unchanged:
		return exitDone
	case accept.Conflict:
		return exitConflict
	case accept.Invalid:
		return exitBadInput
	case accept.Unavailable, accept.Ambiguous:
		return exitUnavailable
	}
	return exitFailed
}

// itemsShown bounds the items in a text; the JSON holds all.
const itemsShown = 40

// describe returns the text of a result.
func describe(result accept.Result, located func(config.Problem) string) string {
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
		if i == itemsShown {
			lines = append(lines, fmt.Sprintf("  and %d more", len(result.Items)-itemsShown))
			break
		}
		lines = append(lines, "  "+item.String())
	}
	for _, problem := range result.Problems {
		lines = append(lines, "  "+located(problem))
	}
	return strings.Join(lines, "\n")
}

// conflictLine names the change that a conflict is with.
func conflictLine(result accept.Result) string {
	if result.Other == nil {
		return "conflict: " + result.Detail
	}
	return fmt.Sprintf("conflict with revision %d (change %s by %s): %s",
		result.Other.Revision, result.Other.ChangeID, result.Other.Author, result.Detail)
}
