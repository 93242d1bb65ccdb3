package faults

import (
	"context"
	"fmt"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/config/accept"
	"acaciawinch/core/fault"
	"acaciawinch/platform/objects"
)

// history is the configuration's history in the object API, which the test reads and
// writes directly, without a relay.
type history struct{ store objects.API }

// history returns the history of the site's configuration.
func (s *Site) history() *history { return &history{objects.NewClient(s.Fleet.ObjectsURL())} }

// uniqueDrains is the number of changes at the beginning that each drain another absent
// upstream, and so write a part of the configuration that no later change uses. The later
// changes alternate between two parts.
const uniqueDrains = oldRevisions - 10

// grow makes changes that affect no request until the head reaches a revision.
func (h *history) grow(ctx context.Context, revision core.Revision) error {
	for number := 0; ; number++ {
		head, err := h.head(ctx)
		if err != nil || head.Revision >= revision {
			return err
		}
		machine := accept.New(accept.Request{ChangeID: fmt.Sprint("grow-", number), Change: growth(number)})
		if err := h.accept(ctx, machine); err != nil {
			return err
		}
	}
}

// growth returns the change with the given number: one of the list of drained upstreams.
func growth(number int) config.Change {
	alternating := []string{"absent"}
	switch {
	case number < uniqueDrains:
		return config.Change{Drain: []string{fmt.Sprint("absent-", number)}}
	case number%2 == 0:
		return config.Change{Drain: alternating}
	default:
		return config.Change{Undrain: alternating}
	}
}

// accept executes one change.
func (h *history) accept(ctx context.Context, machine *accept.Machine) error {
	for {
		if result, ended := machine.Result(); ended {
			if result.Outcome != accept.Accepted {
				return fmt.Errorf("a change of the history was %s: %s", result.Outcome, result.Detail)
			}
			return nil
		}
		machine.Handle(h.execute(ctx, machine.Next()))
	}
}

// execute makes one call of the object API.
func (h *history) execute(ctx context.Context, action accept.Action) accept.Reply {
	var object objects.Object
	var err error
	switch action.Kind {
	case accept.ActionGet:
		object, err = h.store.Get(ctx, action.Key)
	case accept.ActionCreate:
		object.Version, err = h.store.Create(ctx, action.Key, action.Value)
	default:
		object.Version, err = h.store.Update(ctx, action.Key, action.Value, action.Version)
	}
	reply := accept.Reply{Value: object.Value, Version: object.Version}
	if err != nil {
		reply.Code, reply.Detail = fault.CodeOf(err), err.Error()
	}
	return reply
}

// head reads the head.
func (h *history) head(ctx context.Context) (config.Head, error) {
	object, err := h.store.Get(ctx, config.HeadKey)
	if err != nil {
		return config.Head{}, err
	}
	return config.DecodeHead(object.Value)
}

// copiesPage is the number of copies of heads that one call lists.
const copiesPage = 50

// copies returns the copies of all heads.
func (h *history) copies(ctx context.Context) ([]config.Head, error) {
	var copies []config.Head
	for after := ""; ; {
		page, err := h.store.List(ctx, config.ChangePrefix, after, copiesPage)
		if err != nil || len(page) == 0 {
			return copies, err
		}
		for _, object := range page {
			head, err := config.DecodeHead(object.Value)
			if err != nil {
				return nil, err
			}
			copies = append(copies, head)
		}
		after = page[len(page)-1].Key
	}
}

// checkRemoved returns an error while a revision that is due for removal still exists.
func (h *history) checkRemoved(ctx context.Context) error {
	head, err := h.head(ctx)
	if err != nil {
		return err
	}
	if head.Oldest+keptRevisions <= head.Revision {
		return fmt.Errorf("revision %d is still kept at revision %d", head.Oldest, head.Revision)
	}
	copies, err := h.copies(ctx)
	if err != nil {
		return err
	}
	for _, copied := range copies {
		if copied.Revision < head.Oldest {
			return fmt.Errorf("revision %d still exists, the oldest kept is %d", copied.Revision, head.Oldest)
		}
	}
	return nil
}

// findLost returns what is missing of the revisions that are kept.
func (h *history) findLost(ctx context.Context) (lost []string, err error) {
	head, err := h.head(ctx)
	if err != nil {
		return nil, err
	}
	copies, err := h.copies(ctx)
	if err != nil {
		return nil, err
	}
	if kept := head.Revision - head.Oldest + 1; kept < keptRevisions {
		lost = append(lost, fmt.Sprintf("only %d revisions are kept", kept))
	}
	found := map[core.Revision]bool{}
	for _, copied := range append(copies, head) {
		if copied.Revision < head.Oldest {
			continue
		}
		found[copied.Revision] = true
		for _, hash := range copied.Parts() {
			if _, err := h.store.Get(ctx, config.PartKey(hash)); err != nil {
				lost = append(lost, fmt.Sprintf("revision %d can't be read: %v", copied.Revision, err))
			}
		}
	}
	for revision := max(head.Oldest, 1); revision <= head.Revision; revision++ {
		if !found[revision] {
			lost = append(lost, fmt.Sprintf("revision %d is gone, the oldest is %d", revision, head.Oldest))
		}
	}
	return lost, nil
}
