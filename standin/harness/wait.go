package harness

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// pollInterval is the pause between two looks at a condition.
const pollInterval = 10 * time.Millisecond

// Await waits until condition holds. It fails with what, and the condition's
// last error, when ctx ends.
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
			return fmt.Errorf("%s: %w; last: %v", what, ctx.Err(), last)
		}
	}
}

// probeClient asks for readiness; a frozen process must not hold it up.
var probeClient = &http.Client{Timeout: time.Second}

// AwaitReady waits until the process answers 200 on its readiness URL. It fails
// at once if the process ends.
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
		return probe(ctx, p.ReadyURL)
	})
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// probe fails unless url answers 200.
func probe(ctx context.Context, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := probeClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: %s", url, response.Status)
	}
	return nil
}
