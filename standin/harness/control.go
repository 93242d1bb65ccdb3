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

// Command runs the operators' command and returns its standard output. The error
// contains its standard error.
func (f *Fleet) Command(ctx context.Context, args ...string) (string, error) {
	full := append([]string{"--config", f.settingsPath("acaciawinch.toml")}, args...)
	command := exec.CommandContext(ctx, f.binary("acaciawinch"), full...)
	var output, errorOutput bytes.Buffer
	command.Stdout = &output
	command.Stderr = &errorOutput
	if err := command.Run(); err != nil {
		return output.String(), fmt.Errorf("acaciawinch %v: %w: %s", args, err, errorOutput.String())
	}
	return output.String(), nil
}

// ObjectsURL returns the URL of the object API without a relay.
func (f *Fleet) ObjectsURL() string { return f.objectsURL }

// SetObjects replaces the fault switches of the object API.
func (f *Fleet) SetObjects(ctx context.Context, control objectstore.Control) error {
	return send(ctx, http.MethodPost, f.objectsURL+"/control", control, nil)
}

// ObjectStats returns the object API's call counters.
func (f *Fleet) ObjectStats(ctx context.Context) (objectstore.Stats, error) {
	var stats objectstore.Stats
	err := send(ctx, http.MethodGet, f.objectsURL+"/control/stats", nil, &stats)
	return stats, err
}

// SetHosts replaces the host list. Processes read the new list after Options.HostLag.
func (f *Fleet) SetHosts(ctx context.Context, list fleet.List) error {
	return send(ctx, http.MethodPut, f.hostsURL+"/control/hosts", list, nil)
}

// SetLeaving marks a host as leaving in the host list.
func (f *Fleet) SetLeaving(ctx context.Context, name string, leaving bool) error {
	return send(ctx, http.MethodPost, f.hostsURL+"/control/leaving", hostlist.Leaving{Name: name, Leaving: leaving}, nil)
}

// RemoveHost removes a host from the host list.
func (f *Fleet) RemoveHost(ctx context.Context, name string) error {
	return send(ctx, http.MethodPost, f.hostsURL+"/control/remove", hostlist.Remove{Name: name}, nil)
}

// SetControl replaces the fault switches of the worker.
func (u *Upstream) SetControl(ctx context.Context, control upstream.Control) error {
	return send(ctx, http.MethodPost, u.WorkerURL+"/control", control, nil)
}

// Status returns the worker's load report, which lags by Options.ReportLag.
func (u *Upstream) Status(ctx context.Context) (upstream.Status, error) {
	var status upstream.Status
	err := send(ctx, http.MethodGet, u.WorkerURL+"/v1/status", nil, &status)
	return status, err
}

// send sends body as JSON, unless it is nil, and decodes the response's body into
// result, unless that is nil. It fails unless the response's status is 200.
func send(ctx context.Context, method, url string, body, result any) error {
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
	response, err := httpClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s", method, url, response.Status)
	}
	if result == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(result)
}
