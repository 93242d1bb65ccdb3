package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/config/accept"
	"acaciawinch/feed/store"
)

// historyCommand lists accepted changes.
type historyCommand struct {
	env   *env
	Limit int `long:"limit" default:"20" description:"how many changes are listed"`
}

// historyEntry is one accepted change in the output of history.
type historyEntry struct {
	Revision core.Revision `json:"revision"`
	ChangeID string        `json:"change_id"`
	Author   string        `json:"author"`
	Note     string        `json:"note,omitempty"`
	// Accepted is the time of the change by the clock of its operator's machine.
	Accepted time.Time `json:"accepted"`
	// Parts is the number of parts that differ from the previous change; 0 if that
	// change is no longer kept.
	Parts int `json:"parts,omitempty"`
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	api, err := c.env.objects()
	if err != nil {
		return err
	}
	reader := store.NewReader(api)
	head, _, err := reader.Head(c.env.ctx)
	if err != nil {
		return err
	}
	var heads []config.Head
	err = reader.Walk(c.env.ctx, head, func(h config.Head) bool {
		heads = append(heads, h)
		return len(heads) <= c.Limit
	})
	if err != nil {
		return err
	}
	entries := historyEntries(heads, c.Limit)
	return c.env.print(entries, historyText(entries))
}

// historyEntries returns at most limit entries. heads may have one more head, which
// the last entry is compared with.
func historyEntries(heads []config.Head, limit int) []historyEntry {
	entries := []historyEntry{}
	for i, head := range heads {
		if i == limit {
			break
		}
		entries = append(entries, historyEntry{head.Revision, head.ChangeID, head.Author, head.Note,
			time.Unix(head.AcceptedUnix, 0).UTC(), partsChanged(heads[i:])})
	}
	return entries
}

// partsChanged returns the number of parts in which the first head differs from its
// predecessor, the second. It returns 0 if the predecessor is no longer kept.
func partsChanged(heads []config.Head) int {
	after, before := heads[0], config.Empty().Head("", "", "")
	switch {
	case len(heads) > 1:
		before = heads[1]
	case after.Parent != "":
		return 0
	}
	changed := 0
	if before.Templates != after.Templates {
		changed++
	}
	for i := range after.Shards {
		if before.Shards[i] != after.Shards[i] {
			changed++
		}
	}
	return changed
}

// partsText returns the number of parts, or a hyphen if it is unknown.
func (e historyEntry) partsText() string {
	if e.Parts == 0 {
		return "-"
	}
	return strconv.Itoa(e.Parts)
}

// historyText returns one line for each entry.
func historyText(entries []historyEntry) string {
	lines := []string{fmt.Sprintf("%8s  %-20s  %-36s  %-12s  %5s  %s", "REVISION", "ACCEPTED", "CHANGE", "AUTHOR", "PARTS", "NOTE")}
	for _, e := range entries {
		lines = append(lines, fmt.Sprintf("%8d  %-20s  %-36s  %-12s  %5s  %s", e.Revision, e.Accepted.Format(time.RFC3339), e.ChangeID, e.Author, e.partsText(), e.Note))
	}
	return strings.Join(lines, "\n")
}

// rollbackCommand restores an earlier configuration as a new change.
type rollbackCommand struct {
	env  *env
	Note string `long:"note" description:"why the change is made, for the history"`
	Args struct {
		Revision uint64 `positional-arg-name:"REVISION" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. The drained upstreams of the earlier revision
// are not restored: a drain is about the current state of an upstream.
func (c *rollbackCommand) Execute([]string) error {
	api, err := c.env.objects()
	if err != nil {
		return err
	}
	present, head, err := snapshotAt(c.env.ctx, api, 0)
	if err != nil {
		return err
	}
	target, _, err := snapshotAt(c.env.ctx, api, core.Revision(c.Args.Revision))
	if err != nil {
		return err
	}
	change := config.Compare(present, target)
	change.Drain, change.Undrain = nil, nil
	note := c.Note
	if note == "" {
		note = fmt.Sprintf("rollback to revision %d", c.Args.Revision)
	}
	request := accept.Request{Note: note, Change: change, Base: &head}
	return c.env.acceptChange(api, request, config.Problem.String)
}
