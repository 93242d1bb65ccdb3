package pipeline

import (
	"bytes"
	"context"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/fault"
	"acaciawinch/entry/route"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// Router chooses upstreams; *route.Router implements it.
type Router interface {
	Choose(ctx context.Context, need route.Need) (route.Choice, error)
	ObserveLoad(upstream core.UpstreamID, load *wirepb.Load)
	ObserveResult(result route.Result)
}

// Runner walks requests through their stages.
type Runner struct {
	router Router
	dialer *link.Dialer
}

// NewRunner returns a Runner.
func NewRunner(router Router, dialer *link.Dialer) *Runner {
	return &Runner{router: router, dialer: dialer}
}

// Run carries out one request.
func (r *Runner) Run(ctx context.Context, request Request, emit Emit) Result {
	ctx, cancel := context.WithTimeout(ctx, request.Deadline)
	defer cancel()
	deadline := time.Now().Add(request.Deadline)
	input := request.Body
	for i, stage := range request.Template.Stages {
		stage, prefix := effective(request, stage)
		input = append([]byte(prefix), input...)
		chunks, err := r.stage(ctx, request, stage, input, time.Until(deadline))
		if err != nil {
			return Result{Outcome: core.OutcomeFailed, Cause: CauseFailed, Step: "stage." + stage.Name, Detail: err.Error()}
		}
		input = bytes.Join(chunks, nil)
		if i < len(request.Template.Stages)-1 {
			continue
		}
		for n, chunk := range chunks {
			if err := emit(uint64(n), chunk); err != nil {
				return Result{Outcome: core.OutcomeFailed, Cause: CauseCallerGone, Step: "answer", Detail: err.Error()}
			}
		}
	}
	return Result{Outcome: core.OutcomeAnswered}
}

// stage runs one stage once.
func (r *Runner) stage(ctx context.Context, request Request, stage config.Stage, input []byte, remaining time.Duration) ([][]byte, error) {
	choice, err := r.router.Choose(ctx, route.Need{Request: request.ID, Stage: stage.Name, Service: stage.Service, Kind: stage.Kind, Remaining: remaining})
	if err != nil {
		return nil, err
	}
	key := &wirepb.AttemptKey{RequestId: string(request.ID), Stage: stage.Name, Attempt: 1, SideIncarnation: uint64(choice.Incarnation)}
	conn := r.dialer.Conn(ctx, choice.Addr)
	defer conn.Close()
	stream, err := wirepb.NewDRPCSideClient(conn).Run(ctx, &wirepb.RunRequest{
		Key:         key,
		Workspace:   request.Workspace.Name,
		Pipeline:    request.Template.Name,
		RemainingMs: uint64(remaining.Milliseconds()),
		Weight:      uint32(max(request.Workspace.Weight, 1)),
		Model:       stage.Model,
		Version:     stage.Version,
		MaxTokens:   uint32(stage.MaxTokens),
		Input:       input,
		Revision:    uint64(request.Revision),
	})
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, "stage.run", string(choice.Upstream), err)
	}
	defer stream.Close()
	var chunks [][]byte
	for {
		event, err := stream.Recv()
		if err != nil {
			return nil, fault.Wrap(fault.Ambiguous, "stage.receive", string(choice.Upstream), err)
		}
		switch e := event.GetEvent().(type) {
		case *wirepb.RunEvent_Chunk:
			chunks = append(chunks, e.Chunk.GetData())
		case *wirepb.RunEvent_Done:
			return chunks, nil
		case *wirepb.RunEvent_Refused:
			return nil, fault.New(fault.Refused, "stage.run", string(choice.Upstream), "%s %s", e.Refused.GetReason(), e.Refused.GetDetail())
		case *wirepb.RunEvent_Failed:
			return nil, fault.New(fault.Ambiguous, "stage.run", string(choice.Upstream), "%s", e.Failed.GetDetail())
		}
	}
}
