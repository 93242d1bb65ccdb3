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

// statusCommand prints the configuration in force at the store and the status of the
// entries.
type statusCommand struct {
	env *env
}

// fleetStatus is the JSON output of status.
type fleetStatus struct {
	Store   storeStatus   `json:"store"`
	Entries []entryStatus `json:"entries"`
}

// storeStatus is the head of the configuration in the store, or the error of reading
// it.
type storeStatus struct {
	Revision core.Revision `json:"revision"`
	ChangeID string        `json:"change_id,omitempty"`
	Error    string        `json:"error,omitempty"`
}

// entryStatus is the status of one entry: the full response, and the summary of it that is
// shown as text.
type entryStatus struct {
	Admin   string          `json:"admin"`
	Status  json.RawMessage `json:"status,omitempty"`
	Error   string          `json:"error,omitempty"`
	summary statusSummary
}

// statusSummary is the part of an entry's status that is shown as text.
type statusSummary struct {
	Name             string        `json:"name"`
	Zone             string        `json:"zone"`
	Ready            bool          `json:"ready"`
	Revision         core.Revision `json:"revision"`
	Hosts            int           `json:"hosts"`
	PlacementVersion uint64        `json:"placement_version"`
	PlacementLease   bool          `json:"placement_lease"`
	Feed             feed.Stats    `json:"feed"`
}

// text returns the summary as one line.
func (s statusSummary) text() string {
	line := fmt.Sprintf("%s (%s): ready %t, revision %d, hosts %d, placement %d", s.Name, s.Zone, s.Ready, s.Revision, s.Hosts, s.PlacementVersion)
	if s.PlacementLease {
		line += ", holds the placement lease"
	}
	switch {
	case s.Feed.Relay:
		line += fmt.Sprintf(", relay to %d", s.Feed.Subscribers)
	case s.Feed.Direct:
		line += ", reads directly from the platform"
	case s.Feed.Provider != "":
		line += ", follows " + s.Feed.Provider
	}
	return line
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	adminURLs, err := c.env.adminURLs("status")
	if err != nil {
		return err
	}
	status := fleetStatus{Store: c.readStore(), Entries: make([]entryStatus, len(adminURLs))}
	var group sync.WaitGroup
	for i, adminURL := range adminURLs {
		group.Go(func() { status.Entries[i] = c.requestStatus(adminURL) })
	}
	group.Wait()
	if err := c.env.print(status, status.text()); err != nil {
		return err
	}
	if failed := status.countErrors(); failed > 0 {
		return &exitError{code: exitUnavailable, printed: true,
			err: fault.New(fault.Unavailable, "status", "", "%d did not respond", failed)}
	}
	return nil
}

// readStore reads the head of the configuration from the store.
func (c *statusCommand) readStore() storeStatus {
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

// requestStatus requests the status of one entry.
func (c *statusCommand) requestStatus(adminURL string) entryStatus {
	response, err := getJSON(c.env.ctx, "status", adminURL, "/v1/status")
	status := entryStatus{Admin: adminURL, Status: response}
	if err == nil {
		err = json.Unmarshal(response, &status.summary)
	}
	if err != nil {
		status.Status, status.Error = nil, err.Error()
	}
	return status
}

// countErrors returns how many of the store and the entries could not be read.
func (s fleetStatus) countErrors() int {
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
		lines = append(lines, entry.summary.text())
	}
	return strings.Join(lines, "\n")
}
