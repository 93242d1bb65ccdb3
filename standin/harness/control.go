package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"

	"acaciawinch/core/fleet"
	"acaciawinch/standin/hostlist"
	"acaciawinch/standin/objectstore"
	"acaciawinch/standin/upstream"
)

// Command runs the operators' command and returns its output. The error holds
// what it wrote to its error output.
func (f *Fleet) Command(ctx context.Context, args ...string) (string, error) {
	full := append([]string{"--config", f.settingsPath("acaciawinch.toml")}, args...)
	command := exec.CommandContext(ctx, f.binary("acaciawinch"), full...)
	var output, problems bytes.Buffer
	command.Stdout = &output
	command.Stderr = &problems
	if err := command.Run(); err != nil {
		return output.String(), fmt.Errorf("acaciawinch %v: %w: %s", args, err, problems.String())
	}
	return output.String(), nil
}

// ObjectsURL returns the object API's own URL, past all relays.
func (f *Fleet) ObjectsURL() string { return f.objectsURL }

// SetObjects replaces the fault switches of the object API.
func (f *Fleet) SetObjects(ctx context.Context, control objectstore.Control) error {
	return send(ctx, http.MethodPost, f.objectsURL+"/control", control, nil)
}

// ObjectStats returns the calls that the object API counted.
func (f *Fleet) ObjectStats(ctx context.Context) (objectstore.Stats, error) {
	var stats objectstore.Stats
	err := send(ctx, http.MethodGet, f.objectsURL+"/control/stats", nil, &stats)
	return stats, err
}

// SetHosts replaces the true host list.
func (f *Fleet) SetHosts(ctx context.Context, list fleet.List) error {
	return send(ctx, http.MethodPut, f.hostsURL+"/control/hosts", list, nil)
}

// SetLeaving marks a host as leaving in the host list.
func (f *Fleet) SetLeaving(ctx context.Context, name string, leaving bool) error {
	return send(ctx, http.MethodPost, f.hostsURL+"/control/leaving", hostlist.Leaving{Name: name, Leaving: leaving}, nil)
}

// RemoveHost takes a host out of the host list.
func (f *Fleet) RemoveHost(ctx context.Context, name string) error {
	return send(ctx, http.MethodPost, f.hostsURL+"/control/remove", hostlist.Remove{Name: name}, nil)
}

// Set replaces the fault switches of the stand-in upstream.
func (u *Upstream) Set(ctx context.Context, control upstream.Control) error {
	return send(ctx, http.MethodPost, u.WorkerURL+"/control", control, nil)
}

// Status returns what the stand-in upstream reports, with its lag.
func (u *Upstream) Status(ctx context.Context) (upstream.Status, error) {
	var status upstream.Status
	err := send(ctx, http.MethodGet, u.WorkerURL+"/v1/status", nil, &status)
	return status, err
}

// send sends body as JSON, unless it is nil, and decodes the answer into answer,
// unless that is nil. It fails unless the answer's status is 200.
func send(ctx context.Context, method, url string, body, answer any) error {
	var data io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return err
		}
		data = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, data)
	if err != nil {
		return err
	}
	response, err := probeClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s", method, url, response.Status)
	}
	if answer == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(answer)
}
