package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"acaciawinch/core/fault"
)

// Limits of the requests to admin listeners of entries.
const (
	adminTimeout     = 3 * time.Second
	maxResponseBytes = 8 << 20
)

// getJSON requests a path below the base URL of an admin listener and returns the JSON of
// the response. The error is Invalid for a malformed URL,
// else NotFound or Unavailable.
func getJSON(ctx context.Context, step, base, path string) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+path, nil)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, step, base, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, step, base, err)
	}
	defer func() { _ = resp.Body.Close() }() // nothing was written
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, step, base, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return body, nil
	case http.StatusNotFound:
		return nil, fault.New(fault.NotFound, step, base, "%s", bytes.TrimSpace(body))
	}
	return nil, fault.New(fault.Unavailable, step, base, "status %d", resp.StatusCode)
}

// adminURLs returns the URLs of the entries' admin listeners in the settings.
func (e *env) adminURLs(step string) ([]string, error) {
	s, err := e.settings()
	if err != nil {
		return nil, err
	}
	if len(s.Entries.Admin) == 0 {
		return nil, fault.New(fault.Invalid, step, "", "%s: entries.admin: missing: it lists the admin URLs of the entries to query", e.opts.Config)
	}
	return s.Entries.Admin, nil
}
