package harness

import (
	"context"
	"fmt"
	"net/http"
)

// entryLoad is the part of an entry's status that holds the requests in flight.
type entryLoad struct {
	Requests struct {
		InFlight int `json:"in_flight"`
	} `json:"requests"`
}

// sideLoad is the part of a sidecar's status that holds the queued and in-flight work.
type sideLoad struct {
	Queued   int `json:"queued"`
	InFlight int `json:"in_flight"`
}

// workerLoad is the part of a worker's status that holds the calls in flight.
type workerLoad struct {
	InFlight int `json:"in_flight"`
}

// CheckIdle returns an error if the entry is running and has requests in flight.
func (e *Entry) CheckIdle(ctx context.Context) error {
	if !e.Running() {
		return nil
	}
	var load entryLoad
	if err := send(ctx, http.MethodGet, e.AdminURL+"/v1/status", nil, &load); err != nil {
		return err
	}
	if load.Requests.InFlight > 0 {
		return fmt.Errorf("%s has %d requests in flight", e.Name, load.Requests.InFlight)
	}
	return nil
}

// CheckIdle returns an error if the sidecar or the worker is running and has work queued or
// in flight.
func (u *Upstream) CheckIdle(ctx context.Context) error {
	if u.Side.Running() {
		var load sideLoad
		if err := send(ctx, http.MethodGet, u.SideURL+"/v1/status", nil, &load); err != nil {
			return err
		}
		if load.Queued+load.InFlight > 0 {
			return fmt.Errorf("%s has %d queued and %d in flight", u.Side.Name, load.Queued, load.InFlight)
		}
	}
	if !u.Worker.Running() {
		return nil
	}
	var load workerLoad
	if err := send(ctx, http.MethodGet, u.WorkerURL+"/v1/status", nil, &load); err != nil {
		return err
	}
	if load.InFlight > 0 {
		return fmt.Errorf("%s has %d in flight", u.Name, load.InFlight)
	}
	return nil
}
