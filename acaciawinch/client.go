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

// Limits of the questions to entries.
const (
	askTimeout     = 3 * time.Second
	maxAnswerBytes = 8 << 20
)

// ask reads JSON from an admin listener. Errors are NotFound, or Unavailable.
func ask(ctx context.Context, step, base, path string) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+path, nil)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, step, base, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, step, base, err)
	}
	defer func() { _ = resp.Body.Close() }() // it was only read
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
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

// admins returns the admin listeners that the settings name.
func (e *env) admins(step string) ([]string, error) {
	s, err := e.settings()
	if err != nil {
		return nil, err
	}
	if len(s.Entries.Admin) == 0 {
		return nil, fault.New(fault.Invalid, step, "", "%s: entries.admin: missing: it names the entries to ask", e.opts.Config)
	}
	return s.Entries.Admin, nil
}
