package main

import (
	"fmt"
	"slices"
	"time"
)

// figures are those of a small deployment's route and of the pool of its first stage.
type figures struct {
	// call and item are how long a call and each of its pieces take, keep is how long results are kept.
	call, item, keep time.Duration
	headroomMB       float64
	// timeout is the route's timeout, which requesters also take as their deadline; goal is its objective.
	timeout, goal time.Duration
}

// The small deployments of the cases, each with one of its routes.
var (
	blendops = figures{call: 200 * time.Millisecond, item: 21 * time.Millisecond, keep: 4 * time.Second, headroomMB: 18,
		timeout: 8 * time.Second, goal: 2 * time.Second} // recipe-draft, lotledger
	spread = figures{call: 240 * time.Millisecond, item: 26 * time.Millisecond, keep: 4 * time.Second, headroomMB: 9.6,
		timeout: 15 * time.Second, goal: 2500 * time.Millisecond} // setback-check, parcel-map
)

// startSmall starts two gateways before some stage workers and one model worker, and returns the workers.
func (s *setup) startSmall(f figures, stageWorkers int) (stage []*worker, model *worker, err error) {
	s.figures = f
	kept := &results{by: map[string]result{}, made: map[string]result{}}
	for i := range stageWorkers {
		stage = append(stage, &worker{id: fmt.Sprintf("i-stage%d", i+1), service: "kafi81c", handle: handleStage, results: kept, record: s.record,
			call: f.call, item: f.item, keep: f.keep, slots: make(chan struct{}, 1), waiting: make(chan struct{}, 3)})
	}
	model = &worker{id: "i-model1", service: "huvo11a", handle: handleModel, results: kept, record: s.record, slots: make(chan struct{}, 64)}
	for _, w := range append(slices.Clone(stage), model) {
		if err := s.startWorker(w); err != nil {
			return nil, nil, err
		}
	}
	s.store.put("config", "main", config(f))
	for _, zone := range []string{"hall-a", "hall-b"} {
		if err := s.startGateway(fmt.Sprintf("edge-%s-1", zone), zone); err != nil {
			return nil, nil, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return nil, nil, err
	}
	time.Sleep(settleTime)
	return stage, model, nil
}

// settleTime is how long after their start the gateways get the first request.
const settleTime = 2 * time.Second

// ask sends a request with one piece to a gateway.
func (s *setup) ask(id string, number int) answer {
	return s.send(s.gateways[number], id, "/puxa400/2f", s.figures.timeout, "X-Model", "m", "X-Token-Counts", "1460,80",
		"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,"+randomID()+":250", "X-Pieces", "1", "X-Piece-Key", "key"+id)
}

// config is the operator's configuration with a route for streams with one stage, and one for unsafe requests.
func config(f figures) map[string]any {
	type table = map[string]any
	return table{
		"version": 7,
		"routes": []any{
			table{"name": "r-a", "host": "pule25.example", "path_prefix": "/puxa400/", "route_kind": "streaming", "timeout_ms": f.timeout.Milliseconds(),
				"goal_ms": f.goal.Milliseconds(), "gap_goal_ms": 300, "priority": 1, "service": "huvo11a", "max_attempts": 2, "sticky": true,
				"resumable": false, "anonymous": false, "stages": []any{table{"service": "kafi81c", "after": []int{}, "byte_count": 8000}}},
			table{"name": "r-b", "host": "jepu9.example", "path_prefix": "/bobo563/", "route_kind": "unsafe", "timeout_ms": 1000,
				"goal_ms": 150, "priority": 2, "service": "wuno96b", "max_attempts": 1, "sticky": false, "resumable": false, "anonymous": false},
		},
		"services": []any{
			table{"name": "huvo11a", "health_path": "/healthz", "max_conns": 280, "protocol": "h1", "tls": false,
				"engine": table{"slots": 64, "kv_capacity": 404836, "kv_token_bytes": 163840, "link_mbps": 130000.0, "moves": true, "backups": true,
					"stride": 4, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{table{"name": "m"}}}},
			table{"name": "kafi81c", "health_path": "/healthz", "max_conns": 280, "protocol": "h1", "tls": false,
				"pieces": table{"slots": 1, "queue": 2, "batch": 8, "call_ms": f.call.Milliseconds(), "item_ms": f.item.Milliseconds(),
					"headroom_mb": f.headroomMB, "handle_s": f.keep.Seconds(), "link_mbps": 10000}},
			table{"name": "wuno96b", "health_path": "/healthz", "max_conns": 51, "protocol": "h1", "tls": false},
		},
		"limits":  table{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{table{"name": "bozi300", "api_keys": []string{"9dnn2ctnfzs989anu6ws"}, "priority": 1}},
	}
}
