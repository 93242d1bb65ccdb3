package harness

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 10 * time.Millisecond

// Await polls condition until it returns nil. When ctx ends first, the returned
// error holds what, which names the awaited condition, and the condition's last error.
func Await(ctx context.Context, what string, condition func(context.Context) error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var last error
	for {
		if err := condition(ctx); err == nil {
			return nil
		} else if ctx.Err() == nil {
			last = err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%s: %w; last error: %v", what, ctx.Err(), last)
		}
	}
}

// httpClient sends readiness checks and control requests. Its timeout keeps a frozen
// process from blocking the caller.
var httpClient = &http.Client{Timeout: time.Second}

// AwaitReady waits until the process's readiness URL returns status 200. It fails
// at once if the process exits.
func (p *Process) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-p.Exited():
			cancel(fmt.Errorf("%s ended (log: %s)", p.Name, p.Log))
		case <-ctx.Done():
		}
	}()
	err := Await(ctx, p.Name+" is not ready", func(ctx context.Context) error {
		return checkReady(ctx, p.ReadyURL)
	})
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// checkReady returns an error unless a GET of url returns status 200.
func checkReady(ctx context.Context, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: %s", url, response.Status)
	}
	return nil
}
