package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"

	"acaciawinch/core"
	"acaciawinch/core/fault"
	"acaciawinch/feed"
	"acaciawinch/feed/store"
)

// statusCommand shows the configuration in force at the store and at entries.
type statusCommand struct {
	env *env
}

// fleetStatus is what status prints as JSON.
type fleetStatus struct {
	Store   storeStatus   `json:"store"`
	Entries []entryStatus `json:"entries"`
}

// storeStatus is what the store says.
type storeStatus struct {
	Revision core.Revision `json:"revision"`
	ChangeID string        `json:"change_id,omitempty"`
	Error    string        `json:"error,omitempty"`
}

// entryStatus is what one entry says, in whole and what the text shows of it.
type entryStatus struct {
	Admin  string          `json:"admin"`
	Status json.RawMessage `json:"status,omitempty"`
	Error  string          `json:"error,omitempty"`
	shown  shownStatus
}

// shownStatus is the part of an entry's status that the text shows.
type shownStatus struct {
	Name             string        `json:"name"`
	Zone             string        `json:"zone"`
	Ready            bool          `json:"ready"`
	Revision         core.Revision `json:"revision"`
	Hosts            int           `json:"hosts"`
	PlacementVersion uint64        `json:"placement_version"`
	PlacementLease   bool          `json:"placement_lease"`
	Feed             feed.Stats    `json:"feed"`
}

// text returns one line.
func (s shownStatus) text() string {
	line := fmt.Sprintf("%s (%s): ready %t, revision %d, hosts %d, placement %d", s.Name, s.Zone, s.Ready, s.Revision, s.Hosts, s.PlacementVersion)
	if s.PlacementLease {
		line += ", holds the placement lease"
	}
	switch {
	case s.Feed.Relay:
		line += fmt.Sprintf(", relay to %d", s.Feed.Subscribers)
	case s.Feed.Direct:
		line += ", reads the platform itself"
	case s.Feed.Provider != "":
		line += ", follows " + s.Feed.Provider
	}
	return line
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	admins, err := c.env.admins("status")
	if err != nil {
		return err
	}
	status := fleetStatus{Store: c.store(), Entries: make([]entryStatus, len(admins))}
	var group sync.WaitGroup
	for i, admin := range admins {
		group.Go(func() { status.Entries[i] = c.entry(admin) })
	}
	group.Wait()
	if err := c.env.print(status, status.text()); err != nil {
		return err
	}
	if silent := status.silent(); silent > 0 {
		return &exitError{code: exitUnavailable, printed: true,
			err: fault.New(fault.Unavailable, "status", "", "%d gave no answer", silent)}
	}
	return nil
}

// store asks the store for the head.
func (c *statusCommand) store() storeStatus {
	api, err := c.env.objects()
	if err != nil {
		return storeStatus{Error: err.Error()}
	}
	head, _, err := store.NewReader(api).Head(c.env.ctx)
	if err != nil {
		return storeStatus{Error: err.Error()}
	}
	return storeStatus{Revision: head.Revision, ChangeID: head.ChangeID}
}

// entry asks one entry.
func (c *statusCommand) entry(admin string) entryStatus {
	answer, err := ask(c.env.ctx, "status", admin, "/v1/status")
	status := entryStatus{Admin: admin, Status: answer}
	if err == nil {
		err = json.Unmarshal(answer, &status.shown)
	}
	if err != nil {
		status.Status, status.Error = nil, err.Error()
	}
	return status
}

// silent counts who gave no answer.
func (s fleetStatus) silent() int {
	count := 0
	if s.Store.Error != "" {
		count++
	}
	for _, entry := range s.Entries {
		if entry.Error != "" {
			count++
		}
	}
	return count
}

// text returns one line for the store and one for each entry.
func (s fleetStatus) text() string {
	lines := []string{fmt.Sprintf("store: revision %d, change %s", s.Store.Revision, s.Store.ChangeID)}
	if s.Store.Error != "" {
		lines[0] = "store: " + s.Store.Error
	}
	for _, entry := range s.Entries {
		if entry.Error != "" {
			lines = append(lines, entry.Admin+": "+entry.Error)
			continue
		}
		lines = append(lines, entry.shown.text())
	}
	return strings.Join(lines, "\n")
}
