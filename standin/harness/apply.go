package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"acaciawinch/core"
)

// applyOutput is the part of the output of `acaciawinch apply` that trials use.
type applyOutput struct {
	Revision core.Revision `json:"revision"`
}

// entryStatus is the part of an entry's status that trials use.
type entryStatus struct {
	Revision core.Revision `json:"revision"`
	Hosts    int           `json:"hosts"`
}

// Apply applies the operators' files and waits until every running entry has their
// revision.
func (f *Fleet) Apply(ctx context.Context, files ...string) error {
	revision, err := f.Submit(ctx, files...)
	if err != nil {
		return err
	}
	return f.AwaitRevision(ctx, revision)
}

// Submit applies the operators' files and returns the accepted revision without
// waiting until the entries have it.
func (f *Fleet) Submit(ctx context.Context, files ...string) (core.Revision, error) {
	output, err := f.Command(ctx, append([]string{"--output", "json", "apply"}, files...)...)
	if err != nil {
		return 0, err
	}
	var result applyOutput
	if err := json.Unmarshal([]byte(output), &result); err != nil {
		return 0, fmt.Errorf("apply printed %q: %w", output, err)
	}
	return result.Revision, nil
}

// AwaitRevision waits until every running entry has at least the given revision and
// a non-empty host list.
func (f *Fleet) AwaitRevision(ctx context.Context, revision core.Revision) error {
	for _, entry := range f.Entries {
		if !entry.Running() {
			continue
		}
		what := fmt.Sprintf("%s has not reached revision %d", entry.Name, revision)
		err := Await(ctx, what, func(ctx context.Context) error { return entry.hasRevision(ctx, revision) })
		if err != nil {
			return err
		}
	}
	return nil
}

// hasRevision returns an error unless the entry has at least the given revision and a
// non-empty host list.
func (e *Entry) hasRevision(ctx context.Context, revision core.Revision) error {
	var status entryStatus
	if err := send(ctx, http.MethodGet, e.AdminURL+"/v1/status", nil, &status); err != nil {
		return err
	}
	if status.Revision < revision || status.Hosts == 0 {
		return fmt.Errorf("revision %d, %d hosts", status.Revision, status.Hosts)
	}
	return nil
}
